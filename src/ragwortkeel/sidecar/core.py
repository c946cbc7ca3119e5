"""The sidecar's decisions: messages in, messages and effects out, no I/O.

One task owns a `SidecarCore`.  It lets dispatches in or refuses them, keeps the
journal and the answers, and tells followers how runs go on.
"""

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
from ragwortkeel.policy.quarantine import fingerprint
from ragwortkeel.runs.answer import AnswerStore, AnswerTooLarge
from ragwortkeel.runs.journal import Journal, Run
from ragwortkeel.sidecar.admission import Admission
from ragwortkeel.sidecar.crashes import CrashWatch
from ragwortkeel.sidecar.effects import (
    AnswerBegun,
    AnswerEnded,
    AnswerPiece,
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
from ragwortkeel.sidecar.gate import Gate
from ragwortkeel.sidecar.isolation import Isolation
from ragwortkeel.sidecar.limiting import Limiting
from ragwortkeel.sidecar.load import LoadReport
from ragwortkeel.sidecar.outlet import Outlet, answer_lost
from ragwortkeel.sidecar.sealing import Sealing

_CRASHED = FailureReason.CRASHED


class SidecarCore:
    """Journal, answers and followers of one sidecar incarnation.

    Parameters
    ----------
    incarnation
        Of this sidecar; orders to another are refused.
    admission
        Whether work is let in at all, and in which version.

    Attributes
    ----------
    load : LoadReport
        The upstream's last word on itself.
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
        self.outlet = Outlet(answers=answers or AnswerStore())
        self._isolation = Isolation()
        self._crashes = CrashWatch(sidecar=incarnation)
        self._gate = Gate(
            incarnation=incarnation,
            admission=admission,
            journal=self.journal,
            answers=self.outlet.answers,
            isolation=self._isolation,
        )
        self._sealing = Sealing(incarnation=incarnation, journal=self.journal)
        self._limiting = Limiting()
        self._now = 0.0

    def on_message(
        self, peer: Peer, sender: str, message: AnyMessage, now: float
    ) -> list[Effect]:
        """Take a message from a peer whose incarnation is `sender`."""
        self._now = now
        self._crashes.heard(peer, now)
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
        """Take what the upstream did; events of ended runs change nothing."""
        self._now = now
        if self.journal.state(event.nonce) is not RunState.RUNNING:
            return []
        match event:
            case AnswerBegun():
                return self._on_begun(event)
            case AnswerPiece():
                return self._on_piece(event, now)
            case AnswerEnded(nonce=nonce, tokens=tokens):
                return self._finish(nonce, tokens, now)
            case RunDeclined():
                return self._on_declined(event)
            case RunBroken(nonce=nonce, reason=reason, tokens=tokens):
                seen = self._crashes.crashed(nonce, now) if reason == _CRASHED else []
                return seen + self._fail(nonce, reason, tokens, now)

    def on_epoch(self, now: float) -> None:
        """Begin the next epoch and forget what has become safe to forget."""
        self.outlet.forget(self.journal.next_epoch())
        self._crashes.forget_gone(now)

    def on_outcomes_durable(self, nonces: tuple[str, ...]) -> None:
        """Let go of must-not-repeat runs whose intents hold their outcomes."""
        for nonce in nonces:
            self.journal.record_durable_outcome(nonce)
            self.outlet.answers.unpin(nonce)

    def heartbeat(self) -> Heartbeat:
        """Return the load report for routers."""
        return Heartbeat(
            running=self.journal.running,
            waiting=self.load.waiting,
            limit=self._limiting.limit,
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
        reason = self._gate.reason_to_refuse(sender, dispatch)
        if reason is not None:
            return self._refuse_for_good(peer, dispatch, reason)
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
        self.outlet.follow(peer, nonce)
        if dispatch.alone:
            self._isolation.hold(dispatch)
            return self._start_alone()
        return self._start(dispatch)

    def _start(self, dispatch: Dispatch) -> list[Effect]:
        self._crashes.started(dispatch)
        self._limiting.started(dispatch.nonce, dispatch.promised_seconds, self._now)
        return [StartRun(dispatch=dispatch)]

    def _start_alone(self) -> list[Effect]:
        dispatch = self._isolation.start(self.journal.running)
        return [] if dispatch is None else self._start(dispatch)

    def _forget_run(self, nonce: str) -> list[Effect]:
        """Take a run that is over out of what is in flight; start what waited."""
        self._crashes.ended(nonce)
        self._limiting.ended(nonce)
        self._isolation.ended(nonce)
        return self._start_alone()

    def _refuse_for_good(
        self, peer: Peer, dispatch: Dispatch, reason: RefusalReason
    ) -> list[Effect]:
        # A refusal promises that the nonce never runs: a second copy of the
        # dispatch may come once the reason has passed.
        self.journal.tombstone(dispatch.nonce)
        self.outlet.forget(self.journal.evict_ended())
        newer: tuple[VersionedObject, ...] = ()
        if reason is RefusalReason.STALE_CONFIGURATION:
            newer = self.admission.newer_than(dispatch)
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
            retry_after_seconds=self.admission.retry_after(reason),
        )
        return [Send(peer=peer, message=refused)]

    def _attach(self, peer: Peer, nonce: str, offset: int) -> list[Effect]:
        """Replay a run to a peer from `offset`, and let it follow."""
        state = self.journal.state(nonce)
        if state is RunState.TOMBSTONED:
            return self._refuse(peer, nonce, RefusalReason.TOMBSTONED)
        if state is RunState.UNSEEN:
            return [Send(peer=peer, message=answer_lost(nonce, tokens=0))]
        if state is RunState.RUNNING:
            self.outlet.follow(peer, nonce)
        tokens = self.journal.tokens(nonce)
        messages = self.outlet.replay(nonce, offset, tokens=tokens)
        return [Send(peer=peer, message=message) for message in messages]

    def _tombstone(self, message: Tombstone) -> TombstoneResult:
        nonce = message.nonce
        if message.sidecar not in ("", self.incarnation):
            # Failure: a restarted sidecar promises for its predecessor, whose
            # run of this nonce it can't know of.
            return TombstoneResult(nonce=nonce, state=RunState.UNSEEN)
        state = self.journal.tombstone(nonce)
        self.outlet.forget(self.journal.evict_ended())
        return TombstoneResult(nonce=nonce, state=state)

    def _locate(self, locate: Locate) -> Located:
        nonce = self.journal.nonce_of_request(locate.profile, locate.request_id)
        # A run that went on after tokens sent elsewhere holds only the end of
        # the answer; replayed, it would be shown as the whole of it.
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
            # Failure: the caller of a filing hangs up, the filing is cut off
            # half done, and nobody knows whether it took effect.  It costs
            # little to let it end, and a retry then finds its answer.
            return []
        self.journal.cancel(nonce)
        return [CancelRun(nonce=nonce, request_id=run.request_id)]

    def _on_begun(self, event: AnswerBegun) -> list[Effect]:
        self.journal.begin(event.nonce)
        started = Started(
            nonce=event.nonce, status=event.status, content_type=event.content_type
        )
        return self.outlet.begin(started)

    def _on_piece(self, event: AnswerPiece, now: float) -> list[Effect]:
        self._limiting.answered(
            event.nonce,
            running=self.journal.running,
            queued=self.load.waiting > 0,
            now=now,
        )
        self.admission.limit = self._limiting.most
        outrun = self.journal.progress(event.nonce, event.tokens)
        if outrun:
            # Failure: an engine ignores its limit and spends past what the
            # budget has set aside; the run ends at the reservation.
            return self._fail(
                event.nonce, FailureReason.RESERVATION_OUTRUN, event.tokens, now
            )
        try:
            return self.outlet.add(event.nonce, event.data)
        except AnswerTooLarge:
            return self._fail(
                event.nonce, FailureReason.ANSWER_TOO_LARGE, event.tokens, now
            )

    def _finish(self, nonce: str, tokens: int, now: float) -> list[Effect]:
        receipt = self.journal.end(
            nonce, RunState.FINISHED, tokens=tokens, billable=True, now=now
        )
        answer = self.outlet.answers.get(nonce)
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
        # A caller that left is billed what it took; a fault of ours is not.
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
        self.outlet.forget(self.journal.evict_ended())
        refused = Refused(
            nonce=event.nonce,
            reason=event.reason,
            retry_after_seconds=event.retry_after_seconds,
        )
        effects = self.outlet.dismiss(event.nonce, refused)
        effects += self._forget_run(event.nonce)
        return effects + self._sealing.run_ended(router)

    def _end(self, nonce: str, message: Finished | Failed) -> list[Effect]:
        run = self.journal.run(nonce)
        effects = self.outlet.end(message, pinned=not run.idempotent)
        effects += self._forget_run(nonce)
        self.outlet.forget(self.journal.evict_ended())
        return effects + self._sealing.run_ended(run.router)
