"""The sidecar's tasks: sockets in, the core's decisions, effects out.

The main task alone owns the core; the endpoint's reader, the runs, the recorder
and the registrar talk to it through one inbox.
"""

from collections.abc import Awaitable, Callable
from random import Random
from time import monotonic

import curio

from ragwortkeel.configuration import Node, Role, UpstreamKind
from ragwortkeel.exceptions import LinkLost
from ragwortkeel.httpio import HttpClient
from ragwortkeel.links import Endpoint, Received
from ragwortkeel.messages import (
    AnyMessage,
    ConfigurationMessage,
    Heartbeat,
    OutcomeDurable,
    ReceiptsDurable,
    VersionedObject,
)
from ragwortkeel.metrics import Metrics
from ragwortkeel.platform import Platform
from ragwortkeel.settings import Address, SidecarSettings
from ragwortkeel.sidecar.admission import Admission
from ragwortkeel.sidecar.control import (
    Crashed,
    Learned,
    Leftover,
    SidecarBroken,
    Stop,
    Tick,
)
from ragwortkeel.sidecar.core import SidecarCore
from ragwortkeel.sidecar.duties import Duties
from ragwortkeel.sidecar.effects import (
    AnswerBegun,
    AnswerEnded,
    AnswerPiece,
    CancelRun,
    Effect,
    RunBroken,
    RunDeclined,
    Send,
    StartRun,
    StopRun,
)
from ragwortkeel.sidecar.load import LoadReport, watch_load
from ragwortkeel.sidecar.recorder import Recorder, WriteFailed
from ragwortkeel.sidecar.registration import (
    Registrar,
    Registration,
    SealsRead,
    StruckOff,
)
from ragwortkeel.sidecar.reporting import Reporting
from ragwortkeel.sidecar.runner import Runner
from ragwortkeel.traces import Tracing

TICK_SECONDS = 0.25
EPOCH_SECONDS = 30.0
"""Many heartbeats long, so that a router that is heard never falls behind."""


class Sidecar:
    """One sidecar: the only way to the upstream beside it.

    Parameters
    ----------
    settings
        Names and addresses.
    incarnation
        Unique to this start of the process.
    platform
        The platform's client.
    revision
        The configuration revision in force, sent with every message.
    configuration_inbox
        Where configuration messages and heartbeats of peers go, as `Received`.
    tracing
        Where spans of runs go.
    metrics
        Where runs, refusals and receipts are counted.
    address
        Where to listen instead of the settings' address; port 0 takes a free one.

    Examples
    --------
    >>> sidecar = Sidecar(settings=settings, incarnation="s1-7f3a", platform=platform)
    >>> sidecar.open()
    >>> task = await curio.spawn(sidecar.run)
    >>> await sidecar.stop()
    >>> leftover = await task.join()

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        *,
        settings: SidecarSettings,
        incarnation: str,
        platform: Platform,
        revision: Callable[[], int] = int,
        configuration_inbox: curio.Queue | None = None,
        tracing: Tracing | None = None,
        metrics: Metrics | None = None,
        address: str = "",
        clock: Callable[[], float] = monotonic,
        random: Random | None = None,
    ) -> None:
        self.incarnation = incarnation
        self._settings = settings
        self._configuration_inbox = configuration_inbox
        self._clock = clock
        self._inbox: curio.Queue = curio.Queue()
        self._endpoint = Endpoint(
            address=address or settings.address,
            incarnation=incarnation,
            revision=revision,
        )
        self._core = SidecarCore(
            incarnation=incarnation, admission=Admission(upstream=settings.upstream)
        )
        upstream = Address.parse(settings.upstream_address)
        self._client = HttpClient(host=upstream.host, port=upstream.port)
        self._runner = Runner(
            client=self._client,
            report=self._inbox.put,
            tracing=tracing or Tracing(node=settings.name),
        )
        self._recorder = Recorder(
            platform=platform, sidecar=incarnation, inbox=self._inbox
        )
        self._registrar = Registrar(
            platform=platform, node=self._node, inbox=self._inbox
        )
        self._reporting = Reporting(sidecar=incarnation, metrics=metrics or Metrics())
        self._duties = Duties(core=self._core, random=random or Random())
        self._next_epoch_at = 0.0
        self._stop_by: float | None = None

    @property
    def address(self) -> str:
        """Where routers connect, once `open` was called."""
        return self._endpoint.address

    @property
    def admitted(self) -> bool:
        """Whether work may be let in: registered, and the seals are read."""
        return self._core.admission.admitted

    def open(self) -> None:
        """Bind the endpoint."""
        self._endpoint.open()

    async def run(self) -> Leftover:
        """Serve until `stop`, and return what was left undone.

        Raises
        ------
        SidecarBroken
            A task failed by a fault of the program.
        """
        self._next_epoch_at = self._clock() + EPOCH_SECONDS
        jobs = [
            self._read_endpoint,
            self._tick,
            self._registrar.run,
            self._recorder.run,
        ]
        if self._settings.upstream_kind is UpstreamKind.MODEL:
            jobs.append(self._watch_load)
        tasks = [await curio.spawn(self._guard, job, daemon=True) for job in jobs]
        try:
            while not self._is_over():
                item = await self._inbox.get()
                self._reporting.took(item)
                for effect in await self._take(item):
                    self._reporting.decided(effect)
                    await self._apply(effect)
            return await self._leave()
        finally:
            for task in tasks:
                await task.cancel()
            await self._runner.stop_all()
            await self._endpoint.close()
            await self._client.close()

    async def stop(self) -> None:
        """Begin a planned stop; `run` returns when it is over."""
        await self._inbox.put(Stop())

    async def learn(self, objects: tuple[VersionedObject, ...]) -> None:
        """Take in configuration objects; older ones than known change nothing.

        The upstream's own object decides whether this sidecar is draining.
        """
        await self._inbox.put(Learned(objects=objects))

    async def send(self, peer: str, message: AnyMessage) -> None:
        """Send to a peer; one that is gone is no error."""
        try:
            await self._endpoint.send(peer, message)
        except LinkLost:
            self._core.outlet.peer_lost(peer)

    def _is_over(self) -> bool:
        if self._stop_by is None:
            return False
        if self._clock() >= self._stop_by:
            return True
        journal = self._core.journal
        return not (
            journal.running or journal.pending_receipts or journal.undecided_runs
        )

    async def _take(self, item: object) -> list[Effect]:
        now = self._clock()
        match item:
            case Received():
                return await self._on_received(item, now)
            case (
                AnswerBegun()
                | AnswerPiece()
                | AnswerEnded()
                | RunDeclined()
                | RunBroken()
            ):
                return self._core.on_upstream(item, now)
            case Tick():
                await self._on_tick(now)
            case ReceiptsDurable() | OutcomeDurable():
                self._duties.done()
                return self._core.on_message("", self.incarnation, item, now)
            case WriteFailed():
                self._duties.failed(now)
            case Crashed(error=error):
                raise SidecarBroken("a task failed") from error
            case _:
                self._on_control(item, now)
        return []

    def _on_control(self, item: object, now: float) -> None:
        admission = self._core.admission
        match item:
            case Registration(fencing_number=number, sealed=sealed):
                self._runner.fencing_number = number
                self._seal(sealed)
                admission.admitted = True
            case StruckOff():
                admission.admitted = False
            case SealsRead(routers=routers):
                self._seal(routers)
            case LoadReport():
                self._core.load = item
            case Learned(objects=objects):
                for thing in objects:
                    admission.learn(thing)
            case Stop():
                admission.stopping = True
                self._duties.hurry()
                self._stop_by = now + self._settings.stop_deadline_seconds

    def _seal(self, routers: frozenset[str]) -> None:
        for router in routers:
            self._core.journal.seal(router)

    async def _on_received(self, received: Received, now: float) -> list[Effect]:
        message = received.envelope.message
        goes_on = isinstance(message, ConfigurationMessage | Heartbeat)
        if goes_on and self._configuration_inbox is not None:
            await self._configuration_inbox.put(received)
        if isinstance(message, ConfigurationMessage):
            return []
        sender = received.envelope.sender
        return self._core.on_message(received.peer, sender, message, now)

    async def _on_tick(self, now: float) -> None:
        if now >= self._next_epoch_at:
            self._next_epoch_at = now + EPOCH_SECONDS
            self._core.on_epoch(now)
        self._reporting.level(self._core)
        job = self._duties.next(now)
        if job is not None:
            await self._recorder.jobs.put(job)

    async def _apply(self, effect: Effect) -> None:
        match effect:
            case Send(peer=peer, message=message):
                await self.send(peer, message)
            case StartRun(dispatch=dispatch):
                await self._runner.start(dispatch)
            case CancelRun(nonce=nonce, request_id=request_id):
                await self._runner.cancel(nonce, request_id)
            case StopRun(nonce=nonce, request_id=request_id):
                await self._runner.stop(nonce, request_id)

    async def _guard(self, job: Callable[[], Awaitable[None]]) -> None:
        # Failure: a task dies of a fault and the rest goes on without it, a
        # sidecar that looks alive and is deaf.  So its death ends the process.
        try:
            await job()
        except Exception as exc:
            await self._inbox.put(Crashed(error=exc))

    async def _read_endpoint(self) -> None:
        while True:
            await self._inbox.put(await self._endpoint.receive())

    async def _watch_load(self) -> None:
        await watch_load(self._client, self._inbox)

    async def _tick(self) -> None:
        while True:
            await curio.sleep(TICK_SECONDS)
            await self._inbox.put(Tick())

    async def _leave(self) -> Leftover:
        journal = self._core.journal
        registered = self.admitted
        if registered and not (
            journal.running or journal.pending_receipts or journal.undecided_runs
        ):
            registered = not await self._registrar.deregister()
        return Leftover(
            running=journal.running,
            receipts=journal.pending_receipts,
            outcomes=journal.undecided_runs,
            registered=registered,
        )

    def _node(self) -> Node:
        settings = self._settings
        return Node(
            incarnation=self.incarnation,
            role=Role.SIDECAR,
            zone=settings.zone,
            address=self.address,
            http_address=settings.metrics,
            upstream=settings.upstream,
        )
