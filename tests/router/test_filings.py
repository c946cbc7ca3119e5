"""Tests of a filing's exchange with sidecar cores while its router is paused."""

from types import SimpleNamespace

import curio
from curio.task import ContextTask

from ragwortkeel.budget.slice import Reservation
from ragwortkeel.configuration import ServiceClass
from ragwortkeel.policy.facts import Assignment, RequestFacts
from ragwortkeel.router.calls import Call, ServiceCall
from ragwortkeel.router.components import Components
from ragwortkeel.router.filings import FilingExchange
from ragwortkeel.router.intents import IntentStore
from ragwortkeel.router.settlement import Settlement
from ragwortkeel.router.sinks import BufferedSink
from ragwortkeel.sidecar.admission import Admission
from ragwortkeel.sidecar.core import SidecarCore
from ragwortkeel.sidecar.effects import (
    AnswerChunk,
    AnswerCompleted,
    AnswerStarted,
    Send,
    StartRun,
)
from ragwortkeel.standins.local_platform import LocalPlatform
from ragwortkeel.traces import Tracing

CALL = Call(
    kind=ServiceCall(),
    profile="claims",
    request_id="k",
    key_given=True,
    target="/calls",
    body=b"{}",
    stream=False,
    bound_tokens=1,
    fingerprint="",
    traceparent="",
)
FACTS = RequestFacts(
    request_id="claims/k",
    profile="claims",
    customer="c",
    service_class=ServiceClass.MUST_NOT_REPEAT,
    back_ends=("filing",),
    deadline=100.0,
    first_token_deadline=100.0,
    cost=1,
)


class Sidecars:
    """Two sidecar cores whose upstreams answer at once; records the runs."""

    def __init__(self):
        self.runs = []
        self.core_by_upstream = {}
        for upstream in ("u1", "u2"):
            core = SidecarCore(
                incarnation=f"s-{upstream}", admission=Admission(upstream=upstream)
            )
            core.admission.admitted = True
            self.core_by_upstream[upstream] = core

    def receive(self, router, upstream, message):
        core = self.core_by_upstream[upstream]
        effects = core.on_message(router, router, message, 0.0)
        replies = [e.message for e in effects if isinstance(e, Send)]
        for effect in effects:
            if isinstance(effect, StartRun):
                nonce = effect.dispatch.nonce
                self.runs.append((router, nonce))
                for event in (
                    AnswerStarted(nonce=nonce, status=200, content_type="t"),
                    AnswerChunk(nonce=nonce, data=b"ok", tokens=1),
                    AnswerCompleted(nonce=nonce, tokens=1),
                ):
                    replies += [e.message for e in core.on_upstream(event, 0.0)]
        return replies


class Pool:
    """One router's view of the sidecars, with the latest heartbeats."""

    def __init__(self, router, sidecars):
        self._router, self._sidecars = router, sidecars
        self._readers = []

    @property
    def views_by_upstream(self):
        return {
            name: SimpleNamespace(
                incarnation=core.incarnation,
                load=core.heartbeat(),
                link=SimpleNamespace(up=True),
            )
            for name, core in self._sidecars.core_by_upstream.items()
        }

    def view_of_run(self, nonce, upstream):
        return self.views_by_upstream.get(upstream)

    def upstream_of(self, incarnation):
        return incarnation.removeprefix("s-")

    def subscribe(self, nonce, upstream):
        rv = SimpleNamespace(nonce=nonce, queue=curio.Queue())
        self._readers.append(rv)
        return rv

    def unsubscribe(self, reader):
        if reader in self._readers:
            self._readers.remove(reader)

    async def send(self, upstream, message):
        for reply in self._sidecars.receive(self._router, upstream, message):
            for reader in self._readers:
                if reader.nonce == getattr(reply, "nonce", None):
                    await reader.queue.put(reply)


class PausedAfterWrite(LocalPlatform):
    """A platform that answers a create only after `release` is set."""

    def __init__(self):
        super().__init__()
        self.release = curio.Event()
        self.written = curio.Event()

    async def create(self, kind, name, value):
        rv = await super().create(kind, name, value)
        await self.written.set()
        await self.release.wait()
        return rv


class Dispatcher:
    def __init__(self, upstream):
        self._upstream = upstream

    async def admit(self, facts):
        return Assignment(request=facts, upstream=self._upstream, attempt=1)

    async def retry(self, request_id, failure):
        return None

    async def record_disconnect(self, request_id):
        return None

    record_finish = record_disconnect


class Budgets:
    def __init__(self, router):
        self.router = router

    async def reserve(self, profile, tokens, sidecar):
        return Reservation(
            reservation_id=1,
            profile=profile,
            router=self.router,
            sidecar=sidecar,
            tokens=1,
        )

    async def settle(self, reservation, spent):
        return None

    async def add(self, receipt):
        return None


class Caller:
    def __init__(self):
        self.body = None

    async def respond(self, status, body, headers):
        self.body = body


def exchange(router, upstream, sidecars, platform, caller):
    budgets = Budgets(router)
    components = Components(
        incarnation=lambda: router,
        clock=lambda: 0.0,
        intents=IntentStore(platform=platform),
        directory=SimpleNamespace(upstream=lambda name: (None, 1)),
        dispatcher=Dispatcher(upstream),
        pool=Pool(router, sidecars),
        budgets=budgets,
        receipts=budgets,
        settlement=Settlement(budgets=budgets, receipts=budgets),
        tracing=Tracing(node=router),
    )
    return FilingExchange(
        call=CALL,
        version=1,
        facts=FACTS,
        components=components,
        sink=BufferedSink(responder=caller, request_id="k"),
    )


class TestPausedRouter:
    def test_router_paused_between_intent_and_dispatch_runs_nothing_afterwards(self):
        """Guards against a claim that is filed twice.

        A router writes the intent and is paused before the dispatch.  The caller
        retries at another router, which obtains the tombstone of the first nonce
        and runs the filing.  After the pause the first router receives new
        heartbeats and dispatches.
        """

        async def main():
            sidecars, platform = Sidecars(), PausedAfterWrite()
            paused = exchange("a", "u1", sidecars, platform, Caller())
            task = await curio.spawn(paused.run, daemon=True)
            await platform.written.wait()
            second_caller = Caller()
            await exchange("b", "u2", sidecars, platform, second_caller).run()
            for core in sidecars.core_by_upstream.values():
                for _ in range(10):
                    core.on_epoch(0.0)
            await platform.release.set()
            async with curio.timeout_after(10):
                refusal = await task.join()
            return sidecars.runs, second_caller.body, refusal

        with curio.Kernel(taskcls=ContextTask) as kernel:
            runs, body, refusal = kernel.run(main)
        assert [router for router, _ in runs] == ["b"]
        assert body == b"ok"
        assert refusal is None or refusal.outcome != "not_run"
