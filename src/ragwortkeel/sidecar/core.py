"""The decisions of the sidecar, without I/O: messages in, effects out.

One task owns a `SidecarCore`.  It admits or refuses dispatches, maintains the
journal and the answers, and sends the progress of runs to their followers.
"""

from ragwortkeel.logs import log_info
from ragwortkeel.messages import (
    AnyMessage,
    Cancel,
    Dispatch,
    Failed,
    FailureReason,
    Finished,
    Heartbeat,
    Locate,
    Located,
    OutcomeDurable,
    ReceiptsDurable,
    RefusalReason,
    Refused,
    Resume,
    RunState,
    Seal,
    Started,
    Tombstone,
    TombstoneResult,
    VersionedObject,
)
from ragwortkeel.policy.pauses import Instance, Pauses
from ragwortkeel.policy.quarantine import fingerprint
from ragwortkeel.runs.answer import AnswerStore, AnswerTooLarge
from ragwortkeel.runs.journal import Journal, Run
from ragwortkeel.sidecar.admission import Admission
from ragwortkeel.sidecar.answer_streams import AnswerStreams, lost_answer_failure
from ragwortkeel.sidecar.crashes import CrashDetector
from ragwortkeel.sidecar.dispatch_check import DispatchCheck
from ragwortkeel.sidecar.effects import (
    AnswerChunk,
    AnswerCompleted,
    AnswerStarted,
    CancelRun,
    Effect,
    Peer,
    RunBroken,
    RunDeclined,
    Send,
    StartRun,
    StopRun,
    UpstreamEvent,
)
from ragwortkeel.sidecar.isolation import Isolation
from ragwortkeel.sidecar.load import LoadReport
from ragwortkeel.sidecar.sealing import Sealing
from ragwortkeel.sidecar.upstream_limit import UpstreamLimit

_CRASHED = FailureReason.CRASHED


class SidecarCore:
    """Journal, answers and followers of one sidecar incarnation.

    Parameters
    ----------
    incarnation
        Incarnation of this sidecar.  Dispatches to another one are refused.
    admission
        Decides on dispatches by state, object versions and load.

    Attributes
    ----------
    load : LoadReport
        The last load report of the upstream.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        admission: Admission,
        journal: Journal | None = None,
        answers: AnswerStore | None = None,
    ) -> None:
        self.incarnation = incarnation
        self.admission = admission
        self.journal = journal or Journal(sidecar=incarnation)
        self.load = LoadReport()
        self.answer_streams = AnswerStreams(answers=answers or AnswerStore())
        self._isolation = Isolation()
        self._crash_detector = CrashDetector(sidecar=incarnation)
        self._dispatch_check = DispatchCheck(
            incarnation=incarnation,
            admission=admission,
            journal=self.journal,
            answers=self.answer_streams.answers,
            isolation=self._isolation,
        )
        self._sealing = Sealing(incarnation=incarnation, journal=self.journal)
        self._upstream_limit = UpstreamLimit()
        self._pauses = Pauses()
        self._now = 0.0

    def on_message(
        self, peer: Peer, sender: str, message: AnyMessage, now: float
    ) -> list[Effect]:
        """Handle a message from a peer whose incarnation is `sender`."""
        self._now = now
        self._crash_detector.record_peer(peer, now)
        match message:
            case Dispatch():
                return self._on_dispatch(peer, sender, message)
            case Cancel(nonce=nonce):
                return self._on_cancel(nonce)
            case Resume(nonce=nonce, offset=offset):
                return self._attach(peer, nonce, offset)
            case Locate():
                return [Send(peer=peer, message=self._locate(message))]
            case Tombstone():
                return [Send(peer=peer, message=self._tombstone(message))]
            case Seal(router=router):
                return self._sealing.seal(peer, router)
            case ReceiptsDurable(nonces=nonces):
                self.journal.discard_receipts(nonces)
            case OutcomeDurable(nonces=nonces):
                self.on_outcomes_durable(nonces)
            case Heartbeat():
                return [Send(peer=peer, message=self.heartbeat())]
        return []

    def on_upstream(self, event: UpstreamEvent, now: float) -> list[Effect]:
        """Handle an event of the upstream; events of ended runs change nothing."""
        self._now = now
        if self.journal.state(event.nonce) is not RunState.RUNNING:
            return []
        match event:
            case AnswerStarted():
                self._pauses.record_accepted(self._instance, sent_at=now)
                return self._on_answer_started(event)
            case AnswerChunk():
                return self._on_answer_chunk(event, now)
            case AnswerCompleted(nonce=nonce, tokens=tokens):
                return self._finish(nonce, tokens, now)
            case RunDeclined():
                self._record_pause(event.retry_after_seconds)
                return self._on_declined(event)
            case RunBroken(nonce=nonce, reason=reason, tokens=tokens):
                self._record_pause(event.retry_after_seconds)
                seen = (
                    self._crash_detector.report_crash(nonce, now)
                    if reason == _CRASHED
                    else []
                )
                return seen + self._fail(nonce, reason, tokens, now)

    def record_load(self, report: LoadReport) -> None:
        """Record a load report of the upstream."""
        self.load = report
        self.admission.upstream_leaving = report.leaving

    def _record_pause(self, seconds: float) -> None:
        if self._pauses.record_pause(self._instance, seconds, now=self._now):
            log_info("upstream_asked_for_pause", seconds=seconds)

    @property
    def _instance(self) -> Instance:
        return self.admission.upstream, 0

    def on_epoch(self, now: float) -> None:
        """Begin the next epoch and discard the runs that may be discarded."""
        self.answer_streams.discard(self.journal.next_epoch())
        self._crash_detector.remove_expired_peers(now)

    def on_outcomes_durable(self, nonces: tuple[str, ...]) -> None:
        """Unpin the answers of runs whose outcomes are stored in their intents."""
        for nonce in nonces:
            self.journal.record_durable_outcome(nonce)
            self.answer_streams.answers.unpin(nonce)

    def heartbeat(self) -> Heartbeat:
        """Return the load report for routers."""
        return Heartbeat(
            running=self.journal.running,
            waiting=self.load.waiting,
            limit=self._upstream_limit.limit,
            leaving=self.admission.leaving,
            epoch=self.journal.epoch,
        )

    def _on_dispatch(self, peer: Peer, sender: str, dispatch: Dispatch) -> list[Effect]:
        nonce = dispatch.nonce
        match self.journal.state(nonce):
            case RunState.RUNNING | RunState.FINISHED | RunState.FAILED:
                return self._attach(peer, nonce, 0)
            case RunState.TOMBSTONED:
                return self._refuse(peer, nonce, RefusalReason.TOMBSTONED)
        self.admission.pause_seconds = self._pauses.seconds_left(
            self._instance, now=self._now
        )
        reason = self._dispatch_check.reason_to_refuse(sender, dispatch)
        if reason is not None:
            return self._refuse_permanently(peer, dispatch, reason)
        run = Run(
            nonce=nonce,
            router=sender,
            profile=dispatch.profile,
            request_id=dispatch.request_id,
            reservation=dispatch.reservation,
            idempotent=dispatch.idempotent,
            fingerprint=dispatch.fingerprint or fingerprint(dispatch.body),
            replayable=dispatch.replayable,
        )
        self.journal.admit(run)
        self.answer_streams.add_follower(peer, nonce)
        if dispatch.alone:
            self._isolation.set_pending(dispatch)
            return self._start_isolated()
        return self._start(dispatch)

    def _start(self, dispatch: Dispatch) -> list[Effect]:
        self._crash_detector.record_start(dispatch)
        self._pauses.record_sent(self._instance, now=self._now)
        self._upstream_limit.record_start(
            dispatch.nonce, dispatch.promised_seconds, self._now
        )
        return [StartRun(dispatch=dispatch)]

    def _start_isolated(self) -> list[Effect]:
        dispatch = self._isolation.start_if_alone(self.journal.running)
        return [] if dispatch is None else self._start(dispatch)

    def _remove_run(self, nonce: str) -> list[Effect]:
        """Remove an ended run; start the isolated run if one is pending."""
        self._crash_detector.record_end(nonce)
        self._upstream_limit.record_end(nonce)
        self._isolation.record_end(nonce)
        return self._start_isolated()

    def _refuse_permanently(
        self, peer: Peer, dispatch: Dispatch, reason: RefusalReason
    ) -> list[Effect]:
        # A refusal guarantees that the nonce never runs, also when a copy of
        # the dispatch arrives after the reason has passed.
        self.journal.tombstone(dispatch.nonce)
        self.answer_streams.discard(self.journal.evict_ended())
        newer: tuple[VersionedObject, ...] = ()
        if reason is RefusalReason.STALE_CONFIGURATION:
            newer = self.admission.newer_objects(dispatch)
        rv = self._refuse(peer, dispatch.nonce, reason, newer=newer)
        if reason is RefusalReason.STALE_EPOCH:
            rv.append(Send(peer=peer, message=self.heartbeat()))
        return rv

    def _refuse(
        self,
        peer: Peer,
        nonce: str,
        reason: RefusalReason,
        newer: tuple[VersionedObject, ...] = (),
    ) -> list[Effect]:
        refused = Refused(
            nonce=nonce,
            reason=reason,
            newer=newer,
            retry_after_seconds=self.admission.retry_delay_seconds(reason),
        )
        return [Send(peer=peer, message=refused)]

    def _attach(self, peer: Peer, nonce: str, offset: int) -> list[Effect]:
        """Replay a run to a peer from `offset`, and add the peer as a follower."""
        state = self.journal.state(nonce)
        if state is RunState.TOMBSTONED:
            return self._refuse(peer, nonce, RefusalReason.TOMBSTONED)
        if state is RunState.UNSEEN:
            return [Send(peer=peer, message=lost_answer_failure(nonce, tokens=0))]
        if state is RunState.RUNNING:
            self.answer_streams.add_follower(peer, nonce)
        tokens = self.journal.tokens(nonce)
        messages = self.answer_streams.replay(nonce, offset, tokens=tokens)
        return [Send(peer=peer, message=message) for message in messages]

    def _tombstone(self, message: Tombstone) -> TombstoneResult:
        nonce = message.nonce
        if message.sidecar not in ("", self.incarnation):
            # Failure prevented: a restarted sidecar tombstones a nonce that
            # ran at its predecessor, of whose runs it has no record.
            return TombstoneResult(nonce=nonce, state=RunState.UNSEEN)
        state = self.journal.tombstone(nonce)
        self.answer_streams.discard(self.journal.evict_ended())
        return TombstoneResult(nonce=nonce, state=state)

    def _locate(self, locate: Locate) -> Located:
        nonce = self.journal.nonce_of_request(locate.profile, locate.request_id)
        # A run that continued an answer begun elsewhere holds only its end.
        # Replayed, it would pass for the complete answer.
        if nonce is None or not self.journal.run(nonce).replayable:
            return Located(
                profile=locate.profile,
                request_id=locate.request_id,
                state=RunState.UNSEEN,
            )
        return Located(
            profile=locate.profile,
            request_id=locate.request_id,
            state=self.journal.state(nonce),
            nonce=nonce,
            tokens=self.journal.tokens(nonce),
            fingerprint=self.journal.run(nonce).fingerprint,
        )

    def _on_cancel(self, nonce: str) -> list[Effect]:
        if self.journal.state(nonce) is not RunState.RUNNING:
            return []
        run = self.journal.run(nonce)
        if self._isolation.is_waiting(nonce):
            declined = RunDeclined(nonce=nonce, reason=RefusalReason.DEADLINE)
            return self._on_declined(declined)
        if not run.idempotent:
            # Failure prevented: a caller disconnects, the must-not-repeat run
            # is aborted, and whether it took effect is unknown.  Letting it end
            # costs little, and a retry then finds its answer.
            return []
        self.journal.cancel(nonce)
        return [CancelRun(nonce=nonce, request_id=run.request_id)]

    def _on_answer_started(self, event: AnswerStarted) -> list[Effect]:
        self.journal.begin(event.nonce)
        started = Started(
            nonce=event.nonce, status=event.status, content_type=event.content_type
        )
        return self.answer_streams.start_answer(started)

    def _on_answer_chunk(self, event: AnswerChunk, now: float) -> list[Effect]:
        self._upstream_limit.record_first_chunk(
            event.nonce,
            running=self.journal.running,
            queued=self.load.waiting > 0,
            now=now,
        )
        self.admission.refusal_threshold = self._upstream_limit.max_runs
        outrun = self.journal.progress(event.nonce, event.tokens)
        if outrun:
            # Failure prevented: an engine ignores its output limit and spends
            # more than the budget has reserved.  The run ends at the
            # reservation.
            return self._fail(
                event.nonce, FailureReason.RESERVATION_OUTRUN, event.tokens, now
            )
        try:
            return self.answer_streams.append_chunk(event.nonce, event.data)
        except AnswerTooLarge:
            return self._fail(
                event.nonce, FailureReason.ANSWER_TOO_LARGE, event.tokens, now
            )

    def _finish(self, nonce: str, tokens: int, now: float) -> list[Effect]:
        receipt = self.journal.end(
            nonce, RunState.FINISHED, tokens=tokens, billable=True, now=now
        )
        answer = self.answer_streams.answers.get(nonce)
        finished = Finished(
            nonce=nonce,
            status=answer.status,
            content_type=answer.content_type,
            length=len(answer.data),
            tokens=receipt.tokens,
        )
        return self._end(nonce, finished)

    def _fail(
        self, nonce: str, reason: FailureReason, tokens: int, now: float
    ) -> list[Effect]:
        # A cancelled run is billed; one that failed otherwise is not.
        billable = reason is FailureReason.CANCELLED
        receipt = self.journal.end(
            nonce, RunState.FAILED, tokens=tokens, billable=billable, now=now
        )
        failed = Failed(
            nonce=nonce, reason=reason, tokens=receipt.tokens, may_have_run=True
        )
        run = self.journal.run(nonce)
        stop = StopRun(nonce=nonce, request_id=run.request_id)
        return [*self._end(nonce, failed), stop]

    def _on_declined(self, event: RunDeclined) -> list[Effect]:
        router = self.journal.run(event.nonce).router
        self.journal.retract(event.nonce)
        self.answer_streams.discard(self.journal.evict_ended())
        refused = Refused(
            nonce=event.nonce,
            reason=event.reason,
            retry_after_seconds=event.retry_after_seconds,
        )
        effects = self.answer_streams.send_last(event.nonce, refused)
        effects += self._remove_run(event.nonce)
        return effects + self._sealing.record_run_end(router)

    def _end(self, nonce: str, message: Finished | Failed) -> list[Effect]:
        run = self.journal.run(nonce)
        effects = self.answer_streams.end_answer(message, pinned=not run.idempotent)
        effects += self._remove_run(nonce)
        self.answer_streams.discard(self.journal.evict_ended())
        return effects + self._sealing.record_run_end(run.router)
