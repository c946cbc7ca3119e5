"""The tasks of the sidecar, around the core that decides.

Only the main task uses the core.  The endpoint's reader, the runs, the recorder and
the registrar send to it through one inbox.
"""

from collections.abc import Awaitable, Callable
from random import Random
from time import monotonic

import curio

from ragwortkeel.configuration import Node, Role, UpstreamKind
from ragwortkeel.exceptions import LinkLost
from ragwortkeel.httpio import HttpClient
from ragwortkeel.links import Endpoint, Received
from ragwortkeel.logs import log_info
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
from ragwortkeel.sidecar.core import SidecarCore
from ragwortkeel.sidecar.effects import (
    AnswerChunk,
    AnswerCompleted,
    AnswerStarted,
    CancelRun,
    Effect,
    RunBroken,
    RunDeclined,
    Send,
    StartRun,
    StopRun,
)
from ragwortkeel.sidecar.inbox_items import (
    Leftover,
    ObjectsReceived,
    SidecarFailed,
    Stop,
    TaskFailed,
    Tick,
)
from ragwortkeel.sidecar.load import LoadReport, poll_load
from ragwortkeel.sidecar.overdue_writes import OverdueWrites
from ragwortkeel.sidecar.recorder import Recorder, WriteFailed
from ragwortkeel.sidecar.registration import (
    Registrar,
    Registration,
    RegistrationLost,
    SealsRead,
)
from ragwortkeel.sidecar.reporting import Reporting
from ragwortkeel.sidecar.runner import Runner
from ragwortkeel.traces import Tracing

TICK_INTERVAL_SECONDS = 0.25
EPOCH_SECONDS = 30.0
"""Duration of an epoch.

It spans many heartbeats, so the epoch that a connected router uses is never stale.
"""


class Sidecar:
    """One sidecar, the only client of its upstream.

    Parameters
    ----------
    settings
        Names and addresses.
    incarnation
        Name that is unique to this start of the process.
    platform
        The platform's client.
    revision
        The configuration revision in force, sent with every message.
    configuration_inbox
        Receives configuration messages and heartbeats of peers, as `Received`.
    tracing
        Receives the spans of runs.
    metrics
        Counts runs, refusals and receipts.
    address
        Listen address in place of the settings' one; port 0 selects a free port.

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
        self._overdue_writes = OverdueWrites(core=self._core, random=random or Random())
        self._next_epoch_at = 0.0
        self._stop_deadline: float | None = None

    @property
    def address(self) -> str:
        """Address that routers connect to, once `open` was called."""
        return self._endpoint.address

    @property
    def admitted(self) -> bool:
        """Whether work may be admitted: registered, and the seals are read."""
        return self._core.admission.admitted

    def open(self) -> None:
        """Bind the endpoint."""
        self._endpoint.open()

    async def run(self) -> Leftover:
        """Serve until the end of a planned stop, and return the unfinished work.

        Raises
        ------
        SidecarFailed
            A task failed with an exception.
        """
        self._next_epoch_at = self._clock() + EPOCH_SECONDS
        jobs = [
            self._read_endpoint,
            self._send_ticks,
            self._registrar.run,
            self._recorder.run,
        ]
        if self._settings.upstream_kind is UpstreamKind.MODEL:
            jobs.append(self._poll_load)
        tasks = [await curio.spawn(self._run_guarded, job, daemon=True) for job in jobs]
        try:
            while not self._is_finished():
                item = await self._inbox.get()
                self._reporting.report_item(item)
                for effect in await self._handle_item(item):
                    self._reporting.report_effect(effect)
                    await self._apply(effect)
            return await self._finish_stop()
        finally:
            for task in tasks:
                await task.cancel()
            await self._runner.stop_all()
            await self._endpoint.close()
            await self._client.close()

    async def stop(self) -> None:
        """Begin a planned stop; `run` returns at its end."""
        await self._inbox.put(Stop())

    async def receive_objects(self, objects: tuple[VersionedObject, ...]) -> None:
        """Merge configuration objects; older versions change nothing.

        The upstream's own object decides whether this sidecar is draining.
        """
        await self._inbox.put(ObjectsReceived(objects=objects))

    async def send(self, peer: str, message: AnyMessage) -> None:
        """Send to a peer; a disconnected peer is no error."""
        try:
            await self._endpoint.send(peer, message)
        except LinkLost:
            self._core.answer_streams.remove_peer(peer)

    def _is_finished(self) -> bool:
        if self._stop_deadline is None:
            return False
        if self._clock() >= self._stop_deadline:
            return True
        journal = self._core.journal
        return not (
            journal.running or journal.pending_receipts or journal.undecided_runs
        )

    async def _handle_item(self, item: object) -> list[Effect]:
        now = self._clock()
        match item:
            case Received():
                return await self._on_received(item, now)
            case (
                AnswerStarted()
                | AnswerChunk()
                | AnswerCompleted()
                | RunDeclined()
                | RunBroken()
            ):
                return self._core.on_upstream(item, now)
            case Tick():
                await self._on_tick(now)
            case ReceiptsDurable() | OutcomeDurable():
                self._overdue_writes.record_success()
                return self._core.on_message("", self.incarnation, item, now)
            case WriteFailed():
                self._overdue_writes.record_failure(now)
            case TaskFailed(error=error):
                raise SidecarFailed("a task of the sidecar failed") from error
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
            case RegistrationLost():
                admission.admitted = False
            case SealsRead(routers=routers):
                self._seal(routers)
            case LoadReport():
                if item.leaving != self._core.load.leaving:
                    log_info("upstream_announced_leaving", leaving=item.leaving)
                self._core.record_load(item)
            case ObjectsReceived(objects=objects):
                for entry in objects:
                    admission.merge_object(entry)
            case Stop():
                admission.stopping = True
                self._overdue_writes.end_backoff()
                self._stop_deadline = now + self._settings.stop_deadline_seconds

    def _seal(self, routers: frozenset[str]) -> None:
        for router in routers:
            self._core.journal.seal(router)

    async def _on_received(self, received: Received, now: float) -> list[Effect]:
        message = received.envelope.message
        is_for_configuration = isinstance(message, ConfigurationMessage | Heartbeat)
        if is_for_configuration and self._configuration_inbox is not None:
            await self._configuration_inbox.put(received)
        if isinstance(message, ConfigurationMessage):
            return []
        sender = received.envelope.sender
        return self._core.on_message(received.peer, sender, message, now)

    async def _on_tick(self, now: float) -> None:
        if now >= self._next_epoch_at:
            self._next_epoch_at = now + EPOCH_SECONDS
            self._core.on_epoch(now)
        self._reporting.report_load(self._core)
        job = self._overdue_writes.next_write(now)
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

    async def _run_guarded(self, job: Callable[[], Awaitable[None]]) -> None:
        # Failure prevented: one task fails, the others continue, and the
        # sidecar looks live but no longer works.  So the failure ends the process.
        try:
            await job()
        except Exception as exc:
            await self._inbox.put(TaskFailed(error=exc))

    async def _read_endpoint(self) -> None:
        while True:
            await self._inbox.put(await self._endpoint.receive())

    async def _poll_load(self) -> None:
        await poll_load(self._client, self._inbox)

    async def _send_ticks(self) -> None:
        while True:
            await curio.sleep(TICK_INTERVAL_SECONDS)
            await self._inbox.put(Tick())

    async def _finish_stop(self) -> Leftover:
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
