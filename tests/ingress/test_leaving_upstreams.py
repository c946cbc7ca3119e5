"""Upstreams that announce in their responses that they leave."""

from time import monotonic

import curio
import pytest
from tests.ingress.in_process import (
    END,
    SETTLED_SECONDS,
    answer_whole,
    chunk,
    events,
    plain,
    run_ingress,
    stream_head,
    stream_whole,
)

DRAIN_SECONDS = 2.0
"""The users' bound on requests from a process that forwarded an announcement.

Those that callers send later must not reach the upstream from that process.
"""

LEAVING_HEADER = "x-leaving: 1"
REQUESTS = 12


def in_stream(seen):
    """Return a whole stream whose head announces that the upstream leaves."""
    head = stream_head(seen).replace(
        b"\r\n\r\n", f"\r\n{LEAVING_HEADER}\r\n\r\n".encode()
    )
    return head + chunk(events(1, 5)) + END


def in_success(seen):
    return plain(seen, extra=LEAVING_HEADER)


def in_server_error(seen):
    return plain(seen, status="500 Failed", extra=LEAVING_HEADER)


def in_refusal(seen):
    extra = f"x-not-run: 1\r\n{LEAVING_HEADER}"
    return plain(seen, status="503 Busy", proof=False, extra=extra)


def in_misdirected(seen):
    return plain(seen, status="421 Other", proof=False, extra=LEAVING_HEADER)


class LeavingUpstream:
    """A script that announces leaving and records when requests arrive."""

    def __init__(self, response=in_success):
        self.response = response
        self.arrived_at = []

    async def __call__(self, seen, sock):
        self.arrived_at.append(monotonic())
        await sock.sendall(self.response(seen))
        return True


async def ask_until_seen(fleet, path, upstream, *, process=0):
    """Send requests until one reaches the upstream."""
    async with curio.timeout_after(5):
        while not upstream.arrived_at:
            await fleet.ask(path, process=process)


@pytest.mark.parametrize("response", [in_success, in_server_error, in_refusal])
def test_a_leaving_upstream_gets_no_new_request(response):
    """Guards against an announcement that counts only once the platform has it too.

    The platform keeps the entry as ready, as it does while it is unreachable.
    """
    leaving = LeavingUpstream(response)

    async def scenario(fleet):
        await ask_until_seen(fleet, "/lookup/1", leaving)
        forwarded_at = monotonic()
        await curio.sleep(DRAIN_SECONDS)
        answers = [await fleet.ask("/lookup/1") for _ in range(REQUESTS)]
        return forwarded_at, answers

    scripts = {"u1": leaving, "u2": answer_whole}
    forwarded_at, answers = run_ingress(scenario, scripts=scripts)
    assert [at for at in leaving.arrived_at if at > forwarded_at + DRAIN_SECONDS] == []
    assert {response.status for response in answers} == {200}


def test_the_head_of_a_stream_counts():
    """Guards against an announcement that counts only when its stream has ended."""
    leaving = LeavingUpstream(in_stream)

    async def scenario(fleet):
        await ask_until_seen(fleet, "/chat/1", leaving)
        forwarded_at = monotonic()
        await curio.sleep(DRAIN_SECONDS)
        for _ in range(REQUESTS):
            await fleet.ask("/chat/1")
        return forwarded_at

    forwarded_at = run_ingress(scenario, scripts={"e1": leaving, "e2": stream_whole})
    assert [at for at in leaving.arrived_at if at > forwarded_at + DRAIN_SECONDS] == []


def test_peers_send_nothing_new_either():
    """Guards against requests that are cut off since only a peer knew of the exit."""
    leaving = LeavingUpstream()

    async def scenario(fleet):
        await curio.sleep(SETTLED_SECONDS)
        await ask_until_seen(fleet, "/lookup/1", leaving)
        await curio.sleep(DRAIN_SECONDS)
        before = len(leaving.arrived_at)
        for process in (1, 2):
            for _ in range(REQUESTS):
                await fleet.ask("/lookup/1", process=process)
        return len(leaving.arrived_at) - before

    scripts = {"u1": leaving, "u2": answer_whole}
    assert run_ingress(scenario, scripts=scripts, processes=3) == 0


def test_where_all_upstreams_leave_requests_are_refused_at_once():
    """Guards against requests held for an upstream that does not come back."""
    leaving = LeavingUpstream()

    async def scenario(fleet):
        await ask_until_seen(fleet, "/lookup/1", leaving)
        asked_at = monotonic()
        response = await fleet.ask("/lookup/1")
        return response, monotonic() - asked_at

    response, seconds = run_ingress(scenario, scripts={"u1": leaving})
    assert len(leaving.arrived_at) == 1
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0
    assert seconds < 0.5


def test_queued_requests_are_refused_when_the_last_upstream_leaves():
    """Guards against queued requests that wait for an upstream that leaves."""
    full = 6
    release = curio.Event()

    async def answer_late(seen, sock):
        await release.wait()
        await sock.sendall(in_success(seen))
        return True

    async def scenario(fleet):
        async def ask():
            asked_at = monotonic()
            response = await fleet.ask("/lookup/1", x_deadline_ms="8000")
            return response.status, monotonic() - asked_at

        tasks = [await curio.spawn(ask) for _ in range(2 * full)]
        await curio.sleep(0.5)
        await release.set()
        return [await task.join() for task in tasks]

    answers = run_ingress(scenario, scripts={"u1": answer_late})
    assert [status for status, _ in answers] == [200] * full + [503] * full
    assert max(seconds for _, seconds in answers) < 1.0


def test_the_next_start_of_a_leaving_upstream_gets_requests():
    """Guards against an announcement that outlives the instance that made it."""
    leaving = LeavingUpstream()

    async def scenario(fleet):
        await ask_until_seen(fleet, "/lookup/1", leaving)
        await fleet.register(fleet.upstreams["u1"], started_ms=5)
        async with curio.timeout_after(5):
            while (await fleet.ask("/lookup/1")).status != 200:
                await curio.sleep(0.05)
        return len(leaving.arrived_at)

    assert run_ingress(scenario, scripts={"u1": leaving}) == 2


def test_the_answer_of_another_instance_does_not_count():
    """Guards against an announcement taken for that of the addressed upstream."""
    other = LeavingUpstream(in_misdirected)

    async def scenario(fleet):
        await ask_until_seen(fleet, "/lookup/1", other)
        return fleet.workers[0].metrics.render()

    metrics = run_ingress(scenario, scripts={"u1": other, "u2": answer_whole})
    assert b'announcements_total{announcement="leaving"}' not in metrics
