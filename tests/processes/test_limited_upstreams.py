"""Tests of an announced rate limit that several ingress processes share."""

import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

from tests.processes.upstream_server import look_up, serving, start_ingresses

LIMIT_PER_SECOND = 1.2
WINDOW_SECONDS = 4.0
MAX_IN_WINDOW_REQUESTS = 1.5 * LIMIT_PER_SECOND * WINDOW_SECONDS + 5
ANNOUNCEMENT_SECONDS = 0.5
PROCESSES = 3
ROUNDS = 60
ROUND_INTERVAL_SECONDS = 0.1
REQUEST_INTERVAL_SECONDS = PROCESSES / LIMIT_PER_SECOND
SELECTION_SECONDS = 1.0


def max_in_window(arrived):
    return max(
        sum(first <= at < first + WINDOW_SECONDS for at in arrived) for first in arrived
    )


def test_processes_share_an_announced_limit(fleet):
    """Guards against processes that each use the full limit of an upstream."""
    with ExitStack() as stack, ThreadPoolExecutor(24) as pool:
        announcing = serving({"x-rate-limit": f"{LIMIT_PER_SECOND}"})
        limited, arrivals = stack.enter_context(announcing)
        unlimited = [stack.enter_context(serving())[0] for _ in range(2)]
        processes = start_ingresses(fleet, count=PROCESSES, ports=[limited, *unlimited])
        begun = time.monotonic()
        answers = []
        for round_number in range(ROUNDS):
            answers += [
                pool.submit(look_up, process, f"p{number}-{round_number}")
                for number, process in enumerate(processes)
            ]
            time.sleep(ROUND_INTERVAL_SECONDS)
        assert {answer.result() for answer in answers} == {200}
    late = [at for _, at in arrivals if at >= begun + ANNOUNCEMENT_SECONDS]
    assert max_in_window(late) <= MAX_IN_WINDOW_REQUESTS
    last_due = (
        begun
        + ROUNDS * ROUND_INTERVAL_SECONDS
        - REQUEST_INTERVAL_SECONDS
        - SELECTION_SECONDS
    )
    assert late[-1] > last_due
