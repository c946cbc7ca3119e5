"""Model of platform, network, engines, sidecars and routers for state machines.

The decisions are made by the real classes `SidecarCore` and `Filing`.  The model
only transports messages and bytes, and records the runs.
"""

from dataclasses import dataclass, field

from msgspec.structs import replace

from ragwortkeel.messages import (
    Chunk,
    Dispatch,
    Failed,
    FailureReason,
    Finished,
    OutcomeDurable,
    ReceiptsDurable,
    Refused,
    Resume,
    Tombstone,
    TombstoneResult,
)
from ragwortkeel.runs import intent as intents
from ragwortkeel.runs.assembly import Assembly
from ragwortkeel.runs.filing import Filing, ReadIntent, WriteNotRun
from ragwortkeel.runs.intent import (
    AskSidecar,
    Create,
    DispatchRun,
    Intent,
    Outcome,
    Refuse,
    ResumeRun,
    ReturnOutcome,
    StoredIntent,
    TakeOver,
    Verdict,
    WriteResult,
)
from ragwortkeel.sidecar.admission import Admission
from ragwortkeel.sidecar.core import SidecarCore
from ragwortkeel.sidecar.effects import (
    AnswerChunk,
    AnswerCompleted,
    AnswerStarted,
    RunBroken,
    Send,
    StartRun,
)
from ragwortkeel.sidecar.overdue_writes import next_job
from ragwortkeel.sidecar.recorder import WriteOutcome, WriteReceipts

MUCH_LATER = 1e6


def answer_to(nonce):
    """Return the chunks of bytes that the engine generates for a run."""
    return [f"{nonce}:{index};".encode() for index in range(3)]


@dataclass
class EngineRun:
    nonce: str
    request_id: str
    router: str
    slot: int
    incarnation: str
    reservation: int
    sent: int = 0
    begun: bool = False
    over: bool = False


@dataclass
class Attempt:
    router: str
    serial: int
    request_id: str
    slot: int
    filing: Filing
    dispatch: Dispatch | None = None
    reading: str = ""
    assembly: Assembly = field(default_factory=Assembly)
    body: bytes = b""
    head: Finished | None = None
    shown: Outcome | Refuse | None = None
    renewed: int = 0


class World:
    def __init__(self, slots=2):
        self.objects = {}
        self.version = 0
        self.cores = [self._core(slot, 0) for slot in range(slots)]
        self.restarts = [0] * slots
        self.engine_runs = []
        self.network = []
        self.attempts = []
        self.crashed_routers = set()
        self.receipts = []
        self.serial = 0
        self.false_reports = []

    def _core(self, slot, restart):
        admission = Admission(upstream=f"u{slot}")
        admission.admitted = True
        return SidecarCore(incarnation=f"s{slot}-{restart}", admission=admission)

    # Platform

    def read(self, name):
        if name not in self.objects:
            return None
        version, value = self.objects[name]
        return StoredIntent(intent=intents.decode(value), version=version)

    def write(self, name, intent, version):
        """Write at `version`, 0 for a create; return the new version or None."""
        if self.objects.get(name, (0, b""))[0] != version:
            return None
        self.version += 1
        self.objects[name] = (self.version, intents.encode(intent))
        return self.version

    # Network

    def send(self, slot, attempt, message):
        # A link connects to the slot's address, whatever incarnation runs there.
        self.network.append(("sidecar", slot, attempt, message))

    def apply(self, slot, effects):
        for effect in effects:
            match effect:
                case Send(peer=peer, message=message):
                    self.network.append(("router", slot, peer, message))
                case StartRun(dispatch=dispatch):
                    self.engine_runs.append(
                        EngineRun(
                            nonce=dispatch.nonce,
                            request_id=dispatch.request_id,
                            router=self.cores[slot].journal.run(dispatch.nonce).router,
                            slot=slot,
                            incarnation=self.cores[slot].incarnation,
                            reservation=dispatch.reservation,
                        )
                    )

    def deliver(self, index, *, keep):
        kind, slot, peer, message = self.network[index]
        # Only the router repeats a dispatch; the transport never does.
        if not keep or isinstance(message, Dispatch):
            del self.network[index]
        attempt = self.attempts[int(peer)]
        if kind == "sidecar":
            effects = self.cores[slot].on_message(peer, attempt.router, message, 0.0)
            self.apply(slot, effects)
        elif attempt.router not in self.crashed_routers and attempt.shown is None:
            self.receive(attempt, message)

    # Attempts

    def intent(self, attempt, slot, renewed):
        return Intent(
            profile="claims",
            request_id=attempt.request_id,
            fingerprint="f",
            nonce=f"n{attempt.serial}.{renewed}",
            sidecar=self.cores[slot].incarnation,
            upstream=f"u{slot}",
            router=attempt.router,
            epoch=self.cores[slot].journal.epoch,
        )

    def submit(self, router, request_id, slot, *, first):
        attempt = Attempt(
            router=router,
            serial=len(self.attempts),
            request_id=request_id,
            slot=slot,
            filing=None,
        )
        attempt.filing = Filing(wanted=self.intent(attempt, slot, 0), first=first)
        self.attempts.append(attempt)

    def open_attempts(self):
        return [
            a
            for a in self.attempts
            if a.shown is None and a.router not in self.crashed_routers
        ]

    def crash_router(self, router):
        """Discard a router's open attempts; its name continues as a new incarnation."""
        for attempt in self.attempts:
            if attempt.router == router:
                attempt.router = f"{router}-crashed"
        self.crashed_routers.add(f"{router}-crashed")

    def step(self, attempt, mode):
        """Execute one step; `mode` is ok, lost (the answer) or down."""
        filing = attempt.filing
        name = intents.object_name("claims", attempt.request_id)
        match filing.step:
            case ReadIntent():
                if mode == "ok":
                    filing.on_read(self.read(name))
                else:
                    filing.on_unreadable()
            case Create(intent=intent):
                result, version = self._write(name, intent, 0, mode)
                filing.on_write(result, version)
            case TakeOver(intent=intent, version=at):
                result, version = self._write(name, intent, at, mode)
                filing.on_write(result, version)
            case WriteNotRun(intent=intent, version=at):
                result, _ = self._write(name, intent, at, mode)
                filing.on_release(result)
            case AskSidecar(sidecar=sidecar, nonce=nonce):
                ask = Tombstone(nonce=nonce, sidecar=sidecar)
                self.send(int(sidecar[1]), str(attempt.serial), ask)
            case DispatchRun(intent=intent):
                self.dispatch(attempt, intent)
            case ResumeRun(sidecar=sidecar, nonce=nonce):
                attempt.reading = nonce
                ask = Resume(nonce=nonce, offset=attempt.assembly.length)
                self.send(int(sidecar[1]), str(attempt.serial), ask)
        self.conclude(attempt)

    def _write(self, name, intent, at, mode):
        if mode == "down":
            return WriteResult.UNAVAILABLE, 0
        version = self.write(name, intent, at)
        if mode == "lost":
            return WriteResult.OPEN, 0
        if version is None:
            return WriteResult.CONFLICT, 0
        return WriteResult.WRITTEN, version

    def dispatch(self, attempt, intent):
        """Send the dispatch of this nonce; a repetition is the same message."""
        known = attempt.dispatch
        if known is None or known.nonce != intent.nonce:
            attempt.dispatch = Dispatch(
                request_id=attempt.request_id,
                nonce=intent.nonce,
                profile="claims",
                profile_version=1,
                upstream_version=1,
                sidecar=intent.sidecar,
                reservation=10,
                idempotent=False,
                target="/calls/file",
                body=b"{}",
                stream=False,
                budget_seconds=1.0,
                priority=0,
                traceparent="",
                epoch=intent.epoch,
            )
            attempt.reading = intent.nonce
        attempt.filing.on_sent()
        self.send(int(intent.sidecar[1]), str(attempt.serial), attempt.dispatch)

    def receive(self, attempt, message):
        filing = attempt.filing
        step = filing.step
        match message:
            case TombstoneResult(nonce=nonce, state=state):
                if isinstance(step, AskSidecar) and step.nonce == nonce:
                    filing.on_tombstone(state)
            case Refused(nonce=nonce, reason=reason):
                if isinstance(step, DispatchRun) and step.intent.nonce == nonce:
                    filing.on_refused(reason, self._other_intent(attempt))
            case Chunk() | Finished() | Failed() if message.nonce == attempt.reading:
                self._read_answer(attempt, message)
        self.conclude(attempt)

    def _other_intent(self, attempt):
        """Return an intent for the other sidecar, once and for half of the attempts."""
        attempt.renewed += 1
        if attempt.renewed > 1 or attempt.serial % 2:
            return None
        attempt.slot = 1 - attempt.slot
        return self.intent(attempt, attempt.slot, attempt.renewed)

    def _read_answer(self, attempt, message):
        match message:
            case Chunk(offset=offset, data=data):
                attempt.body += attempt.assembly.add(offset, data)
            case Finished(length=length):
                attempt.assembly.finish(length)
                attempt.head = message
            case Failed():
                self.show(attempt, self._unknown("run_failed"))
        if attempt.head is None or not attempt.assembly.is_complete:
            return
        head = attempt.head
        answered = Outcome(
            verdict=Verdict.ANSWERED,
            status=head.status,
            content_type=head.content_type,
            body=attempt.body,
            tokens=head.tokens,
        )
        self.show(attempt, answered)

    def disconnect(self, attempt, slot):
        """Handle that the sidecar that received the last message is disconnected."""
        filing = attempt.filing
        if isinstance(filing.step, AskSidecar):
            filing.on_tombstone(None)
        elif isinstance(filing.step, DispatchRun) and attempt.dispatch is not None:
            attempt.renewed += 1
            filing.on_disconnected(self.intent(attempt, slot, attempt.renewed))
            attempt.assembly, attempt.body, attempt.head = Assembly(), b"", None
            attempt.reading = ""
        elif isinstance(filing.step, ResumeRun):
            self.show(attempt, self._unknown("sidecar_gone"))
        self.conclude(attempt)

    def refuse_at_admission(self, attempt, mode):
        """Refuse at admission, as the router does before it writes an intent.

        `NOT_RUN` replaces the intent that was read, so that no other attempt
        of the key can continue from it.
        """
        filing = attempt.filing
        if not isinstance(filing.step, Create | TakeOver):
            return
        held = filing.stored
        base = held.intent if held else filing.wanted
        fresh = replace(base, nonce=f"away-{attempt.serial}-{attempt.renewed}")
        name = intents.object_name("claims", attempt.request_id)
        released = intents.after_refusal(fresh)
        result, _ = self._write(name, released, held.version if held else 0, mode)
        is_sure = result is WriteResult.WRITTEN
        outcome = "not_run" if is_sure else "unknown"
        self.show(attempt, Refuse(status=503, outcome=outcome, reason="overloaded"))

    def conclude(self, attempt):
        match attempt.filing.step:
            case Refuse() as refuse:
                self.show(attempt, refuse)
                if refuse.list_for_operators:
                    held = attempt.filing.stored
                    listed = intents.unresolved(held, refuse.reason)
                    name = intents.object_name("claims", attempt.request_id)
                    self.write(name, listed, held.version)
            case ReturnOutcome(outcome=outcome):
                self.show(attempt, outcome)

    def _unknown(self, reason):
        return Refuse(status=409, outcome="unknown", reason=reason)

    def show(self, attempt, what):
        if attempt.shown is not None:
            return
        attempt.shown = what
        ran = [r for r in self.engine_runs if r.request_id == attempt.request_id]
        if isinstance(what, Refuse) and what.outcome == "not_run" and ran:
            self.false_reports.append(("not_run", attempt.request_id, ran[0].nonce))
        if isinstance(what, Outcome):
            complete = b"".join(answer_to(ran[0].nonce))
            if what.body != complete:
                self.false_reports.append(("not complete", what.body, complete))

    # Engines and sidecars

    def engine_step(self, run, broken):
        core = self.cores[run.slot]
        if run.over or core.incarnation != run.incarnation:
            return
        pieces = answer_to(run.nonce)
        if not run.begun:
            run.begun = True
            events = [AnswerStarted(nonce=run.nonce, status=200, content_type="t")]
        elif broken:
            run.over = True
            events = [
                RunBroken(nonce=run.nonce, reason=FailureReason.CRASHED, tokens=10)
            ]
        elif run.sent < len(pieces):
            events = [AnswerChunk(nonce=run.nonce, data=pieces[run.sent], tokens=5)]
            run.sent += 1
        else:
            run.over = True
            events = [AnswerCompleted(nonce=run.nonce, tokens=7)]
        for event in events:
            self.apply(run.slot, core.on_upstream(event, 0.0))

    def restart(self, slot):
        self.restarts[slot] += 1
        self.cores[slot] = self._core(slot, self.restarts[slot])

    def record(self, slot, mode):
        """Execute one due write of the sidecar, as its recorder does."""
        core = self.cores[slot]
        match next_job(core, MUCH_LATER):
            case WriteReceipts(receipts=receipts):
                if mode != "down":
                    self.receipts += receipts
                if mode == "ok":
                    done = ReceiptsDurable(nonces=tuple(r.nonce for r in receipts))
                    core.on_message("", core.incarnation, done, 0.0)
            case WriteOutcome(run=run, outcome=outcome):
                if mode != "down":
                    self._settle(run, outcome)
                if mode == "ok":
                    done = OutcomeDurable(nonces=(run.nonce,))
                    core.on_message("", core.incarnation, done, 0.0)

    def _settle(self, run, outcome):
        name = intents.object_name(run.profile, run.request_id)
        held = self.read(name)
        if held is not None and intents.may_settle(held.intent, run.nonce):
            settled = intents.with_outcome(held.intent, outcome)
            self.write(name, settled, held.version)
