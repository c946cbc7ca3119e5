"""The sidecar with a link, an upstream and a platform."""

import curio
import pytest
from sidecar_setup import (
    DONE,
    SSE,
    USAGE,
    Router,
    Upstream,
    dispatch,
    event,
    run,
    sidecar_beside,
)

from ragwortkeel.configuration import INTENTS, NODES, RECEIPTS, SEALS
from ragwortkeel.messages import (
    Cancel,
    Chunk,
    Failed,
    FailureReason,
    Finished,
    Heartbeat,
    Locate,
    Located,
    RefusalReason,
    Refused,
    Resume,
    Seal,
    Sealed,
    Started,
)
from ragwortkeel.policy.limits import INITIAL_LIMIT_REQUESTS
from ragwortkeel.runs import intent as intents
from ragwortkeel.runs.intent import Intent, Verdict
from ragwortkeel.sidecar import overdue_writes
from ragwortkeel.standins.local_platform import LocalPlatform


async def hold(upstream, request, responder):
    """Stream a token, wait for `release`, then end the stream properly."""
    await responder.start(200, SSE)
    await responder.send(event("al"))
    await upstream.release.wait()
    await responder.send(event("pha") + USAGE + DONE)
    await responder.finish()


async def router_of(sidecar, name="router-1"):
    rv = Router(address=sidecar.address, incarnation=name)
    await rv.open()
    return rv


def body_of(messages):
    return b"".join(m.data for m in messages if isinstance(m, Chunk))


@pytest.fixture
def no_grace(monkeypatch):
    monkeypatch.setattr(overdue_writes, "RECEIPT_GRACE_SECONDS", 0.0)
    monkeypatch.setattr(overdue_writes, "OUTCOME_GRACE_SECONDS", 0.0)


class TestServing:
    def test_streamed_answer_is_complete_and_costs_its_usage(self):
        async def main():
            upstream = Upstream()
            async with sidecar_beside(upstream) as (sidecar, _, _):
                router = await router_of(sidecar)
                return upstream, await router.ask(dispatch(), Finished)

        upstream, messages = run(main)
        body = body_of(messages)
        assert isinstance(messages[0], Started)
        assert body.endswith(DONE)
        assert messages[-1].length == len(body)
        assert messages[-1].tokens == 14
        assert upstream.runs[0].headers["x-fencing-number"] == "1"

    def test_heartbeats_carry_the_engines_load_and_the_sidecars_limit(self):
        async def main():
            async with sidecar_beside(Upstream()) as (sidecar, _, _):
                router = await router_of(sidecar)
                async with curio.timeout_after(5):
                    while True:
                        message = await router.next()
                        if isinstance(message, Heartbeat) and message.waiting == 3:
                            return message.limit

        assert run(main) == INITIAL_LIMIT_REQUESTS

    def test_cancelled_run_is_cancelled_at_the_engine_and_costs_its_usage(self):
        async def main():
            upstream = Upstream(hold)
            async with sidecar_beside(upstream) as (sidecar, _, _):
                router = await router_of(sidecar)
                await router.ask(dispatch(), Chunk)
                await router.link.send(Cancel(nonce="n1"))
                (failed,) = (await router.until(Failed))[-1:]
                return upstream.cancels, failed

        cancels, failed = run(main)
        assert cancels[:1] == ["r1"]
        assert (failed.reason, failed.tokens) == (FailureReason.CANCELLED, 11)


class TestRouterCrashes:
    def test_retry_at_another_router_gets_the_complete_answer_of_the_only_run(self):
        """A router crashes during a stream, and the caller retries at another.

        The retry has to find the run, replay it from the start and follow it to
        its end, while the engine runs once.
        """

        async def main():
            upstream = Upstream(hold)
            async with sidecar_beside(upstream) as (sidecar, _, _):
                crashing = await router_of(sidecar)
                await crashing.ask(dispatch(), Chunk)
                router = await router_of(sidecar, "router-2")
                located = await router.ask(
                    Locate(profile="chat", request_id="r1"), Located
                )
                resume = Resume(nonce=located[-1].nonce, offset=0)
                messages = await router.ask(resume, Chunk)
                await upstream.release.set()
                return upstream, messages + await router.until(Finished)

        upstream, messages = run(main)
        assert body_of(messages) == event("al") + event("pha") + USAGE + DONE
        assert messages[-1].length == len(body_of(messages))
        assert len(upstream.runs) == 1

    def test_receipt_and_outcome_are_written_without_the_router(self, no_grace):
        """A router crashes after a filing ran, before it writes anything.

        Without writes by the sidecar the call would never be billed, and a retry
        after a crash of the sidecar would end as unknown.
        """

        async def main():
            platform = LocalPlatform()
            name = intents.object_name("chat", "r1")
            intent = Intent(
                profile="chat",
                request_id="r1",
                fingerprint="f",
                nonce="n1",
                sidecar="s1-a",
                upstream="u1",
                router="router-1",
            )
            await platform.create(INTENTS, name, intents.encode(intent))
            async with sidecar_beside(Upstream(), platform=platform) as (sidecar, *_):
                router = await router_of(sidecar)
                await router.ask(dispatch(idempotent=False), Finished)
                async with curio.timeout_after(10):
                    while not (await platform.list(RECEIPTS)).by_name:
                        await curio.sleep(0.05)
            stored = await platform.get(INTENTS, name)
            return intents.decode(stored.value).outcome

        outcome = run(main)
        assert outcome.verdict is Verdict.ANSWERED
        assert outcome.body.endswith(DONE)


class TestAdmission:
    def test_started_in_an_outage_it_refuses_until_it_has_read_the_seals(self):
        """A sidecar starts while the platform is down, after a router was sealed.

        It cannot read the seals, so it has to refuse with `not_admitted`.  Once
        the platform is up it refuses the sealed router and serves the others.
        """

        async def main():
            platform = LocalPlatform()
            await platform.create(SEALS, "router-1", b"{}")
            platform.switches.down = True
            beside = sidecar_beside(Upstream(), platform=platform, admitted=False)
            async with beside as (sidecar, *_):
                sealed = await router_of(sidecar)
                other = await router_of(sidecar, "router-2")
                early = await sealed.ask(dispatch("n0"), Refused)
                platform.switches.down = False
                while not sidecar.admitted:
                    await curio.sleep(0.05)
                late = await sealed.ask(dispatch("n1"), Refused)
                served = await other.ask(dispatch("n2"), Finished)
                return early[-1].reason, late[-1].reason, served[-1].tokens

        assert run(main) == (RefusalReason.NOT_ADMITTED, RefusalReason.SEALED, 14)

    def test_seal_refuses_a_router_that_resumes(self):
        async def main():
            async with sidecar_beside(Upstream()) as (sidecar, *_):
                paused = await router_of(sidecar)
                await paused.ask(dispatch("n1"), Finished)
                sealer = await router_of(sidecar, "router-2")
                sealed = await sealer.ask(Seal(router="router-1"), Sealed)
                refused = await paused.ask(dispatch("n2"), Refused)
                return sealed[-1].ran, refused[-1].reason

        assert run(main) == ({"chat": 14}, RefusalReason.SEALED)


class TestLeavingUpstream:
    def test_an_upstream_that_announces_leaving_gets_no_new_run(self):
        """Guards against runs that the upstream's exit cuts off.

        Its next start, which announces nothing, gets runs again.
        """

        async def next_leaving(router, leaving):
            async with curio.timeout_after(5):
                while True:
                    message = await router.next()
                    if isinstance(message, Heartbeat) and message.leaving == leaving:
                        return

        async def main():
            upstream = Upstream()
            async with sidecar_beside(upstream) as (sidecar, _, _):
                router = await router_of(sidecar)
                await next_leaving(router, False)
                upstream.announcements = {"x-leaving": "1"}
                await next_leaving(router, True)
                refused = await router.ask(dispatch("n1"), Refused)
                runs = len(upstream.runs)
                upstream.announcements = {}
                await next_leaving(router, False)
                await router.ask(dispatch("n2"), Finished)
                return refused[-1].reason, runs, len(upstream.runs)

        assert run(main) == (RefusalReason.DRAINING, 0, 1)


class TestPlannedStop:
    def test_stop_refuses_new_work_and_aborts_no_run(self):
        """An operator stops a sidecar during an answer.

        The answer completes, new work is refused, the receipt is durable, and the
        sidecar is deregistered before it exits.
        """

        async def main():
            upstream = Upstream(hold)
            async with sidecar_beside(upstream) as (sidecar, task, platform):
                router = await router_of(sidecar)
                await router.ask(dispatch(), Chunk)
                await sidecar.stop()
                refused = await router.ask(dispatch("n2"), Refused)
                await upstream.release.set()
                messages = await router.until(Finished)
                leftover = await task.join()
                nodes = (await platform.list(NODES)).by_name
                segments = (await platform.list(RECEIPTS)).by_name
                return refused[-1].reason, messages, leftover, nodes, segments

        reason, messages, leftover, nodes, segments = run(main)
        assert reason is RefusalReason.STOPPING
        assert messages[-1].tokens == 14
        assert (leftover.running, leftover.receipts, leftover.registered) == (0, 0, 0)
        assert nodes == {}
        assert len(segments) == 1

    def test_stop_in_an_outage_returns_the_work_left(self):
        async def main():
            beside = sidecar_beside(Upstream(), stop_deadline=0.5)
            async with beside as (sidecar, task, platform):
                router = await router_of(sidecar)
                await router.ask(dispatch(), Finished)
                platform.switches.down = True
                await sidecar.stop()
                return await task.join()

        leftover = run(main)
        assert (leftover.receipts, leftover.registered) == (1, True)
