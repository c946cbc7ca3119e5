"""Upstreams that announce a rate limit for the whole fleet."""

from time import monotonic

import curio
from tests.ingress.in_process import (
    SETTLED_SECONDS,
    answer_whole,
    plain,
    run_ingress,
)

LIMIT_PER_SECOND = 1.2
"""Requests a second that the upstream accepts from all processes together."""

WINDOW_SECONDS = 4.0
MAX_IN_WINDOW = 1.5 * LIMIT_PER_SECOND * WINDOW_SECONDS + 5
"""The users' bound on requests that arrive at a limited upstream within a window.

It holds from `PROPAGATION_SECONDS` after a process forwarded a response with the limit.
"""

PROPAGATION_SECONDS = 0.5
PROCESSES = 3
REQUEST_INTERVAL_SECONDS = 0.1
REQUESTS_SECONDS = 6.0

SHARE_SECONDS = PROCESSES / LIMIT_PER_SECOND
"""Time between two requests of one process to the limited upstream."""
SELECTION_SECONDS = 1.0
"""Time until one of its requests is assigned there, once it may be."""


class LimitedUpstream:
    """A script that may announce a limit and records when requests arrive."""

    def __init__(self):
        self.announces_limit = True
        self.arrived_at = []

    async def __call__(self, seen, sock):
        self.arrived_at.append(monotonic())
        extra = f"x-rate-limit: {LIMIT_PER_SECOND}" if self.announces_limit else ""
        await sock.sendall(plain(seen, extra=extra))
        return True

    def max_in_a_window(self, begun):
        """Return the most arrivals in any window that begins at `begun` or later."""
        arrivals = [at for at in self.arrived_at if at >= begun]
        windows = [
            sum(first <= at < first + WINDOW_SECONDS for at in arrivals)
            for first in arrivals
        ]
        return max(windows, default=0)


async def ask_all(fleet, seconds):
    """Send lookups to all processes; return the response and duration of each."""
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
            await curio.sleep(REQUEST_INTERVAL_SECONDS)
    return answers


def test_a_limited_upstream_gets_its_limit_from_all_processes_together():
    """Guards against processes that ignore the limit, or each use the whole of it."""
    limited_upstream = LimitedUpstream()

    async def scenario(fleet):
        await curio.sleep(SETTLED_SECONDS)
        begun = monotonic()
        answers = await ask_all(fleet, REQUESTS_SECONDS)
        return begun, answers

    scripts = {"u1": limited_upstream, "u2": answer_whole, "u3": answer_whole}
    begun, answers = run_ingress(scenario, scripts=scripts, processes=PROCESSES)
    assert (
        limited_upstream.max_in_a_window(begun + PROPAGATION_SECONDS) <= MAX_IN_WINDOW
    )
    last_due = begun + REQUESTS_SECONDS - SHARE_SECONDS - SELECTION_SECONDS
    assert limited_upstream.arrived_at[-1] > last_due
    assert {response.status for response, _ in answers} == {200}


def test_where_all_upstreams_are_limited_requests_are_refused_at_once():
    """Guards against requests held until no upstream can serve them in time."""
    limited_upstream = LimitedUpstream()

    async def scenario(fleet):
        await curio.sleep(SETTLED_SECONDS)
        await ask_all(fleet, 1.0)
        return await ask_all(fleet, 3.0)

    answers = run_ingress(
        scenario, scripts={"u1": limited_upstream}, processes=PROCESSES
    )
    refused = [each for each in answers if each[0].status == 503]
    assert len(refused) > len(answers) / 2
    for response, seconds in refused:
        assert float(response.headers["retry-after"]) > 0
        assert seconds < 0.5


def test_all_processes_use_an_upstream_after_its_limit_ends():
    """Guards against a limit that stays in force after its upstream dropped it."""
    limited_upstream = LimitedUpstream()

    async def scenario(fleet):
        await curio.sleep(SETTLED_SECONDS)
        await ask_all(fleet, 2.0)
        limited_upstream.announces_limit = False
        await ask_all(fleet, 4.0)
        before = len(limited_upstream.arrived_at)
        answers = await ask_all(fleet, 1.0)
        return len(limited_upstream.arrived_at) - before, len(answers)

    scripts = {"u1": limited_upstream, "u2": answer_whole}
    arrived, asked = run_ingress(scenario, scripts=scripts, processes=PROCESSES)
    assert arrived > asked / 4


def test_a_process_learns_a_limit_from_a_peer():
    """Guards against processes that only learn a limit from a request of their own."""
    limited_upstream = LimitedUpstream()

    async def scenario(fleet):
        await curio.sleep(SETTLED_SECONDS)
        await fleet.ask("/lookup/1", process=0)
        async with curio.timeout_after(5):
            while any(
                worker._limit_tracker.limits.limit_of("u1") is None
                for worker in fleet.workers
            ):
                await curio.sleep(0.01)
        return len(limited_upstream.arrived_at)

    scripts = {"u1": limited_upstream}
    assert run_ingress(scenario, scripts=scripts, processes=PROCESSES) == 1
