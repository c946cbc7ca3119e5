"""A small fleet in one kernel: a router and sidecars with stand-in upstreams."""

from random import Random

import curio
import msgspec
from curio.task import ContextTask
from deployments.ports import free_address

from ragwortkeel.budget.ledger import Ledger, decode_ledger, encode_ledger
from ragwortkeel.budget.receipt import decode_segment
from ragwortkeel.configuration import (
    LEDGERS,
    PROFILES,
    RECEIPTS,
    UPSTREAMS,
    Profile,
    ServiceClass,
    Upstream,
    UpstreamKind,
)
from ragwortkeel.httpio import HttpClient
from ragwortkeel.metrics import Metrics
from ragwortkeel.router.observer import Observer
from ragwortkeel.router.router import Router
from ragwortkeel.settings import RouterSettings, SidecarSettings
from ragwortkeel.sidecar.sidecar import Sidecar
from ragwortkeel.standins.engine import serve as serve_engine
from ragwortkeel.standins.local_platform import LocalPlatform
from ragwortkeel.standins.service import serve as serve_service
from ragwortkeel.traces import Tracing

PREPAID_TOKENS = 10_000
TIMEOUT_SECONDS = 30.0

CHAT = Profile(
    name="advisor-chat",
    customer="coop",
    service=ServiceClass.INTERACTIVE,
    deadline_seconds=20,
    first_token_seconds=15,
    back_ends=("assistant",),
)
FILING = Profile(
    name="claim-filing",
    customer="coop",
    service=ServiceClass.MUST_NOT_REPEAT,
    deadline_seconds=20,
    first_token_seconds=15,
    back_ends=("claims",),
)


def run_fleet(scenario, **options):
    """Start a new fleet, run ``await scenario(fleet)`` and return its result."""

    async def main():
        fleet = Fleet(**options)
        await fleet.start()
        try:
            async with curio.timeout_after(2 * TIMEOUT_SECONDS):
                return await scenario(fleet)
        finally:
            await fleet.stop()

    with curio.Kernel(taskcls=ContextTask) as kernel:
        return kernel.run(main)


class Fleet:
    """One router, some engines and a service with their sidecars, and a platform."""

    def __init__(
        self,
        *,
        engines=1,
        resumes=False,
        filing_back_end="claims",
        versions=None,
        stop_deadline_seconds=60.0,
    ):
        filing = msgspec.structs.replace(FILING, back_ends=(filing_back_end,))
        self.profiles = (CHAT, filing)
        self.engine_names = [f"m{i + 1}" for i in range(engines)]
        self.resumes = resumes
        self.versions = versions or {}
        self.stop_deadline_seconds = stop_deadline_seconds
        self.platform = LocalPlatform()
        self.tasks = []
        self.upstream_addresses = {}
        self.sidecars = {}

    async def start(self):
        for name in self.engine_names:
            kind = UpstreamKind.MODEL
            await self._start_upstream(name, "assistant", kind, serve_engine)
        await self._start_upstream("c1", "claims", UpstreamKind.SERVICE, serve_service)
        for profile in self.profiles:
            await self._create(PROFILES, profile.name, msgspec.json.encode(profile))
            ledger = Ledger()
            operation = ledger.operation_id("first")
            ledger = ledger.top_up(tokens=PREPAID_TOKENS, operation_id=operation)
            await self._create(LEDGERS, profile.name, encode_ledger(ledger))
        await self._start_router()

    async def stop(self):
        for task in self.tasks:
            await task.cancel()
        await self.router.close()

    async def _create(self, kind, name, value):
        await self.platform.create(kind, name, value)

    async def _spawn(self, call, *args):
        self.tasks.append(await curio.spawn(call, *args, daemon=True))

    async def _start_upstream(self, name, back_end, kind, serve):
        address = free_address()
        self.upstream_addresses[name] = address
        host, port = address.split(":")
        await self._spawn(serve, host, int(port))
        settings = SidecarSettings(
            name=name,
            upstream=name,
            zone="maule-a",
            address=free_address(),
            metrics=free_address(),
            platform=free_address(),
            upstream_address=address,
            upstream_kind=kind,
        )
        sidecar = Sidecar(
            settings=settings, incarnation=f"{name}-1", platform=self.platform
        )
        sidecar.open()
        self.sidecars[name] = sidecar
        await self._spawn(sidecar.run)
        upstream = Upstream(
            name=name,
            back_end=back_end,
            kind=kind,
            sidecar_address=settings.address,
            zone="maule-a",
            resumes=self.resumes,
            software_version=self.versions.get(name, ""),
        )
        await self._create(UPSTREAMS, name, msgspec.json.encode(upstream))

    async def _start_router(self):
        settings = RouterSettings(
            name="r1",
            zone="maule-a",
            address=free_address(),
            http=free_address(),
            metrics=free_address(),
            platform=free_address(),
            stop_deadline_seconds=self.stop_deadline_seconds,
        )
        self.router = Router(
            settings=settings,
            incarnation="r1-1",
            platform=self.platform,
            observer=Observer(metrics=Metrics()),
            tracing=Tracing(node="r1"),
            random=Random(1),
        )
        self.router.open()
        await self._spawn(self.router.run)
        host, port = settings.http.split(":")
        self.client = HttpClient(host=host, port=int(port))
        for name in (*self.engine_names, "c1"):
            await until(lambda name=name: self.router.pool.is_up(name))

    async def top_up(self, profile, tokens):
        stored = await self.platform.get(LEDGERS, profile.name)
        ledger = decode_ledger(stored.value)
        operation = ledger.operation_id("more")
        value = encode_ledger(ledger.top_up(tokens=tokens, operation_id=operation))
        await self.platform.update(LEDGERS, profile.name, value, stored.version)

    async def retire(self, profile):
        stored = await self.platform.get(PROFILES, profile.name)
        value = msgspec.json.encode(msgspec.structs.replace(profile, retired=True))
        await self.platform.update(PROFILES, profile.name, value, stored.version)
        directory = self.router.directory
        await until(lambda: directory.profile(profile.name)[0].retired)

    async def receipts(self):
        """Write all pending receipts and return all durable ones."""
        await self.router.budgeting.receipts.flush()
        listing = await self.platform.list(RECEIPTS)
        segments = [decode_segment(s.value) for s in listing.by_name.values()]
        return [receipt for segment in segments for receipt in segment.receipts]

    def row(self, profile):
        """Return the budget keeper's row of a profile."""
        rows = self.router.budgeting.keeper.rows()
        return next(row for row in rows if row.profile == profile.name)

    async def ask(self, path, body, **headers):
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        return await self.client.request(
            "POST",
            path,
            body=msgspec.json.encode(body),
            headers=fields,
            timeout=TIMEOUT_SECONDS,
        )

    async def switch(self, upstream, **switches):
        host, port = self.upstream_addresses[upstream].split(":")
        client = HttpClient(host=host, port=int(port))
        body = msgspec.json.encode(switches)
        return await client.request(
            "POST", "/switches", body=body, timeout=TIMEOUT_SECONDS
        )

    async def runs(self, upstream):
        """Return how many calls an upstream executed."""
        host, port = self.upstream_addresses[upstream].split(":")
        client = HttpClient(host=host, port=int(port))
        response = await client.request("GET", "/executions", timeout=TIMEOUT_SECONDS)
        found = msgspec.json.decode(response.body)
        return sum(found.get("count_by_request_id", found).values())


async def until(condition):
    async with curio.timeout_after(TIMEOUT_SECONDS):
        while not condition():
            await curio.sleep(0.01)
