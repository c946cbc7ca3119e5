"""Tests of upstreams that announce in responses that they leave, or want a pause."""

import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

from tests.processes.upstream_server import look_up, serving, start_ingresses

PROCESSES = 3
ROUNDS = 60
ROUND_INTERVAL_SECONDS = 0.1

DRAIN_SECONDS = 2.0
PAUSE_SECONDS = 3
REACTION_SECONDS = 0.5
MAX_IN_PAUSE = 2


def ask_in_turns(fleet, announcing):
    """Send lookups to all processes; return their statuses and the arrivals.

    `announcing` opens the upstream in question; two more serve all requests.
    """
    with ExitStack() as stack, ThreadPoolExecutor(24) as pool:
        port, arrivals = stack.enter_context(announcing)
        others = [stack.enter_context(serving())[0] for _ in range(2)]
        processes = start_ingresses(fleet, count=PROCESSES, ports=[port, *others])
        answers = []
        for round_number in range(ROUNDS):
            answers += [
                pool.submit(look_up, process, f"p{number}-{round_number}")
                for number, process in enumerate(processes)
            ]
            time.sleep(ROUND_INTERVAL_SECONDS)
        return {answer.result() for answer in answers}, arrivals


def test_no_process_sends_to_an_upstream_that_announced_to_leave(fleet):
    """Guards against requests after the bound, and to an upstream about to exit.

    Its entry stays ready on the platform.
    """
    statuses, arrivals = ask_in_turns(fleet, serving({"x-leaving": "1"}))
    assert statuses == {200}
    first_at = arrivals[0][1]
    assert [at for _, at in arrivals if at > first_at + DRAIN_SECONDS] == []


def test_each_process_obeys_the_pause_it_was_asked_for(fleet):
    """Guards against processes that go on sending to an upstream that rejects fast."""
    headers = {"x-not-run": "1", "retry-after": f"{PAUSE_SECONDS}"}
    statuses, arrivals = ask_in_turns(fleet, serving(headers, status=503))
    assert statuses == {200}
    by_process = {}
    for request_id, at in arrivals:
        by_process.setdefault(request_id.partition("-")[0], []).append(at)
    assert len(by_process) == PROCESSES
    for times in by_process.values():
        for asked_at in times:
            start, end = asked_at + REACTION_SECONDS, asked_at + PAUSE_SECONDS
            assert sum(start <= at < end for at in times) <= MAX_IN_PAUSE
