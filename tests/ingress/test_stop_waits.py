"""Planned stops beside requests that wait: each wait ends by the plan of the stop."""

from contextlib import asynccontextmanager
from time import monotonic

import curio
import msgspec
import pytest
from tests.ingress.in_process import KEY, plain, run_ingress, start_relay, stream_whole
from tests.ingress.test_stops import open_caller, stop_within

from ragwortkeel.ingress import worker
from ragwortkeel.links import Link, Received
from ragwortkeel.messages import (
    PlatformAnswer,
    PlatformCall,
    PlatformError,
    PlatformOperation,
)

NOTICE_SECONDS = 0.1
PROMPT_SECONDS = 1.0
"""Most time until a waiting request is refused: it may not wait for the end of the stop
or for its own time limit, which are both longer."""
STOP_SECONDS = 4.0
CALL_SECONDS = 4.0
"""Duration of a relayed call, longer than a relay without calls takes to stop."""
TOKENS = {"x_token_bound": "40,60", "x_prompt_parts": "p:40"}


@pytest.fixture(autouse=True)
def _short_notice(monkeypatch):
    monkeypatch.setattr(worker, "BALANCER_NOTICE_SECONDS", NOTICE_SECONDS)


class Hold:
    """Holds the calls of one method of a component until they are released."""

    def __init__(self, component, name):
        self.entered = curio.Event()
        self.released = curio.Event()
        self._original = getattr(component, name)
        setattr(component, name, self._call)

    async def _call(self, *args, **options):
        await self.entered.set()
        await self.released.wait()
        return await self._original(*args, **options)


@asynccontextmanager
async def stopping(fleet, seconds=STOP_SECONDS):
    """Stop the first process meanwhile, and wait for the end of the stop."""
    task = await curio.spawn(stop_within, fleet, seconds)
    try:
        yield monotonic()
    finally:
        await task.join()


HOLDS = {
    "tokens": (lambda w: (w._budget_keeper, "reserve"), {}),
    "origin": (lambda w: (w._origins, "find"), {"last_event_id": "2"}),
    "connect": (lambda w: (w._connections, "acquire"), {}),
    "place": (lambda w: (w._dispatcher, "acquire"), {}),
}


class TestWaitsOfRequests:
    @pytest.mark.parametrize("wait", HOLDS)
    def test_a_waiting_request_is_refused_and_never_runs(self, wait):
        """Guards against requests that a stop leaves waiting, or runs unasked."""
        find, headers = HOLDS[wait]

        async def scenario(fleet):
            hold = Hold(*find(fleet.workers[0]))
            options = TOKENS | headers | {"x_deadline_ms": "9000"}
            asking = await curio.spawn(lambda: fleet.ask("/chat/1", **options))
            await hold.entered.wait()
            async with stopping(fleet) as began_at:
                answer = await asking.join()
                waited = monotonic() - began_at
                await hold.released.set()
            return answer, waited, fleet.seen()["e1"]

        answer, waited, runs = run_ingress(scenario, prepaid=10_000)
        assert answer.status == 503
        assert msgspec.json.decode(answer.body)["outcome"] == "not_run"
        assert "retry-after" in answer.headers
        assert waited < PROMPT_SECONDS
        assert not runs

    def test_a_request_that_waits_for_the_end_of_a_pause_is_refused(self):
        """Guards against requests that are held for a pause longer than the stop."""

        async def pausing(seen, sock):
            extra = "x-not-run: 1\r\nretry-after: 3"
            refusal = plain(seen, status="503 Busy", proof=False, extra=extra)
            await sock.sendall(refusal)
            return True

        async def scenario(fleet):
            asking = await curio.spawn(
                lambda: fleet.ask("/lookup/1", x_deadline_ms="9000")
            )
            while not fleet.seen()["u1"]:
                await curio.sleep(0.01)
            async with stopping(fleet) as began_at:
                answer = await asking.join()
                return answer, monotonic() - began_at

        scripts = {"u1": pausing, "e1": stream_whole}
        answer, waited = run_ingress(scenario, scripts=scripts)
        assert answer.status == 503
        assert waited < PROMPT_SECONDS

    def test_tokens_that_a_slow_platform_grants_too_late_are_not_waited_for(self):
        """Guards against requests that wait for a renewal beyond the stop."""

        async def scenario(fleet):
            fleet.platform.switches.slow_seconds = 8.0
            headers = {"x_token_bound": "40,8000", "x_deadline_ms": "9000"}
            asking = await curio.spawn(lambda: fleet.ask("/review/1", **headers))
            await curio.sleep(0.1)
            async with stopping(fleet, 1.5) as began_at:
                answer = await asking.join()
                waited = monotonic() - began_at
                fleet.platform.switches.slow_seconds = 0.0
            return answer, waited, fleet.seen()["e1"]

        answer, waited, runs = run_ingress(scenario, prepaid=100_000)
        assert answer.status == 503
        assert waited < PROMPT_SECONDS
        assert not runs


class TestBodies:
    HEAD = "\r\n".join(
        (
            "POST /lookup/1 HTTP/1.1",
            "host: app.example",
            "x-request-id: r1",
            f"authorization: Bearer {KEY}",
            "content-length: 2",
        )
    ).encode()

    def test_a_body_that_is_complete_too_late_is_refused(self):
        """Guards against requests that are read slowly, run in a stop and cut off."""

        async def scenario(fleet):
            caller = await open_caller(fleet)
            await caller.sendall(self.HEAD + b"\r\n\r\nq")
            async with stopping(fleet):
                await curio.sleep(NOTICE_SECONDS + 0.3)
                await caller.sendall(b"q")
                async with curio.timeout_after(2):
                    return await caller.recv(65536), fleet.seen()["u1"]

        answer, runs = run_ingress(scenario)
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"retry-after" in answer.lower()
        assert not runs

    def test_a_body_without_end_does_not_hold_up_the_stop(self):
        """Guards against a stop that waits for a caller until the process is killed."""

        async def scenario(fleet):
            caller = await open_caller(fleet)
            await caller.sendall(self.HEAD + b"\r\n\r\nq")
            await curio.sleep(0.1)
            began_at = monotonic()
            await stop_within(fleet, 1.0)
            return monotonic() - began_at

        assert run_ingress(scenario) < 1.6


class TestRelayedCalls:
    def test_a_relay_that_stops_completes_the_calls_that_it_relays(self):
        """Guards against writes that are lost as the relay beside them is stopped."""

        async def scenario(fleet):
            relay, running = await start_relay(fleet)
            inbox = curio.Queue()
            link = await open_link(fleet, relay, inbox)
            fleet.platform.switches.slow_seconds = CALL_SECONDS
            await link.try_send(
                PlatformCall(
                    call_id=7,
                    operation=PlatformOperation.CREATE,
                    kind="notes",
                    name="n",
                    value=b"{}",
                )
            )
            while not relay._peers.open_calls:
                await curio.sleep(0.01)
            leftover = await relay.stop()
            answer = await next_answer(inbox)
            await running.cancel()
            return leftover, answer, await fleet.platform.get("notes", "n")

        leftover, answer, stored = run_ingress(scenario)
        assert leftover.is_clean
        assert (answer.call_id, answer.error) == (7, PlatformError.NONE)
        assert stored is not None


async def open_link(fleet, relay, inbox):
    """Return a link to the relay that is up; what it receives goes to the inbox."""
    link = Link(
        name="relay-0",
        address=relay._settings.address,
        incarnation="caller/1",
        revision=lambda: 1,
        inbox=inbox,
    )
    fleet.tasks.append(await curio.spawn(link.run, daemon=True))
    while not link.up:
        await curio.sleep(0.01)
    return link


async def next_answer(inbox):
    """Return the next answer to a platform call."""
    async with curio.timeout_after(5):
        while True:
            match await inbox.get():
                case Received(envelope=envelope):
                    if isinstance(envelope.message, PlatformAnswer):
                        return envelope.message
