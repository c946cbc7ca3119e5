"""An overloaded upstream announces a rate limit for the whole fleet."""

from time import monotonic

import curio
from tests.ingress.in_process import (
    SETTLED_SECONDS,
    answer_whole,
    plain,
    run_ingress,
)

LIMIT = 1.2
"""Requests a second from all processes."""

WINDOW_SECONDS = 4.0
MOST_IN_WINDOW = 1.5 * LIMIT * WINDOW_SECONDS + 5
"""The users' rule, from half a second after a process passed such an answer on."""

TOLD_SECONDS = 0.5
PROCESSES = 3
PAUSE_SECONDS = 0.1
ASKED_SECONDS = 6.0

PART_SECONDS = PROCESSES / LIMIT
"""Between two requests of one process, with some time until one goes that way."""
CHOSEN_SECONDS = 1.0


class Limited:
    """A script that names a limit while `named`, and notes when requests arrive."""

    def __init__(self):
        self.named = True
        self.arrived = []

    async def __call__(self, seen, sock):
        self.arrived.append(monotonic())
        extra = f"x-rate-limit: {LIMIT}" if self.named else ""
        await sock.sendall(plain(seen, extra=extra))
        return True

    def most_in_a_window(self, begun):
        """Return the most arrivals in a window that begins then or later."""
        late = [at for at in self.arrived if at >= begun]
        windows = [
            sum(first <= at < first + WINDOW_SECONDS for at in late) for first in late
        ]
        return max(windows, default=0)


async def ask_all(fleet, seconds):
    """Send lookups to all processes for so long; return status and time of each."""
    answers = []
    begun = monotonic()

    async def ask(process):
        asked_at = monotonic()
        response = await fleet.ask("/lookup/1", process=process)
        answers.append((response, monotonic() - asked_at))

    async with curio.TaskGroup() as group:
        while monotonic() < begun + seconds:
            for process in range(PROCESSES):
                await group.spawn(ask, process)
            await curio.sleep(PAUSE_SECONDS)
    return answers


def test_a_limited_upstream_gets_its_limit_from_all_processes_together():
    """Guards against processes that don't read the limit, or each take it alone."""
    limited = Limited()

    async def scenario(fleet):
        await curio.sleep(SETTLED_SECONDS)
        begun = monotonic()
        answers = await ask_all(fleet, ASKED_SECONDS)
        return begun, answers

    scripts = {"u1": limited, "u2": answer_whole, "u3": answer_whole}
    begun, answers = run_ingress(scenario, scripts=scripts, processes=PROCESSES)
    assert limited.most_in_a_window(begun + TOLD_SECONDS) <= MOST_IN_WINDOW
    last_due = begun + ASKED_SECONDS - PART_SECONDS - CHOSEN_SECONDS
    assert limited.arrived[-1] > last_due
    assert {response.status for response, _ in answers} == {200}


def test_where_all_upstreams_are_limited_callers_are_told_at_once():
    """Guards against requests that are held until nothing can serve them in time."""
    limited = Limited()

    async def scenario(fleet):
        await curio.sleep(SETTLED_SECONDS)
        await ask_all(fleet, 1.0)
        return await ask_all(fleet, 3.0)

    answers = run_ingress(scenario, scripts={"u1": limited}, processes=PROCESSES)
    refused = [each for each in answers if each[0].status == 503]
    assert len(refused) > len(answers) / 2
    for response, seconds in refused:
        assert float(response.headers["retry-after"]) > 0
        assert seconds < 0.5


def test_all_processes_use_an_upstream_again_whose_answers_name_no_limit():
    """Guards against a limit that outlasts the need of its upstream."""
    limited = Limited()

    async def scenario(fleet):
        await curio.sleep(SETTLED_SECONDS)
        await ask_all(fleet, 2.0)
        limited.named = False
        await ask_all(fleet, 4.0)
        before = len(limited.arrived)
        answers = await ask_all(fleet, 1.0)
        return len(limited.arrived) - before, len(answers)

    scripts = {"u1": limited, "u2": answer_whole}
    arrived, asked = run_ingress(scenario, scripts=scripts, processes=PROCESSES)
    assert arrived > asked / 4


def test_a_process_that_got_no_answer_of_it_hears_of_a_limit_from_a_peer():
    """Guards against processes that learn of a limit by sending once more each."""
    limited = Limited()

    async def scenario(fleet):
        await curio.sleep(SETTLED_SECONDS)
        await fleet.ask("/lookup/1", process=0)
        async with curio.timeout_after(5):
            while any(
                worker._limit_reader.limits.limit_of("u1") is None
                for worker in fleet.workers
            ):
                await curio.sleep(0.01)
        return len(limited.arrived)

    scripts = {"u1": limited}
    assert run_ingress(scenario, scripts=scripts, processes=PROCESSES) == 1
