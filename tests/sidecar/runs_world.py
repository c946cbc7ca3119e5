"""Platform, network, engines, sidecars and routers as plain state, for machines.

Nothing here decides: sidecars are `SidecarCore`, attempts are `Filing`.  The
world only moves messages and bytes, and notes what really ran.
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
from ragwortkeel.sidecar.duties import next_job
from ragwortkeel.sidecar.effects import (
    AnswerBegun,
    AnswerEnded,
    AnswerPiece,
    RunBroken,
    Send,
    StartRun,
)
from ragwortkeel.sidecar.recorder import WriteOutcome, WriteReceipts

MUCH_LATER = 1e6


def answer_to(nonce):
    """Return the bytes that the engine generates for a run, by piece."""
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
        self.dead_routers = set()
        self.receipts = []
        self.serial = 0
        self.lies = []

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
        # A link reaches the slot's address, whichever incarnation answers there.
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
        # The transport itself repeats no dispatch; only its router does.
        if not keep or isinstance(message, Dispatch):
            del self.network[index]
        attempt = self.attempts[int(peer)]
        if kind == "sidecar":
            effects = self.cores[slot].on_message(peer, attempt.router, message, 0.0)
            self.apply(slot, effects)
        elif attempt.router not in self.dead_routers and attempt.shown is None:
            self.hear(attempt, message)

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
            if a.shown is None and a.router not in self.dead_routers
        ]

    def kill_router(self, router):
        """Lose a router's open attempts; its name goes on as a new incarnation."""
        for attempt in self.attempts:
            if attempt.router == router:
                attempt.router = f"{router}-dead"
        self.dead_routers.add(f"{router}-dead")

    def step(self, attempt, mode):
        """Carry out one step; `mode` is ok, lost (the answer) or down."""
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
        """Send the dispatch of this nonce; a repeat is the same message."""
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

    def hear(self, attempt, message):
        filing = attempt.filing
        step = filing.step
        match message:
            case TombstoneResult(nonce=nonce, state=state):
                if isinstance(step, AskSidecar) and step.nonce == nonce:
                    filing.on_tombstone(state)
            case Refused(nonce=nonce, reason=reason):
                if isinstance(step, DispatchRun) and step.intent.nonce == nonce:
                    filing.on_refused(reason, self._other(attempt))
            case Chunk() | Finished() | Failed() if message.nonce == attempt.reading:
                self._read_answer(attempt, message)
        self.conclude(attempt)

    def _other(self, attempt):
        """Return an intent for the other sidecar, for some attempts and once."""
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

    def lose(self, attempt, slot):
        """Take it that the sidecar which was asked or told is silent."""
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

    def turn_away(self, attempt, mode):
        """Refuse at admission, as the router does before it writes an intent.

        `NOT_RUN` goes over what was read, so that no other attempt of the key
        can go on from there.
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
            self.lies.append(("not_run", attempt.request_id, ran[0].nonce))
        if isinstance(what, Outcome):
            whole = b"".join(answer_to(ran[0].nonce))
            if what.body != whole:
                self.lies.append(("not whole", what.body, whole))

    # Engines and sidecars

    def engine_step(self, run, broken):
        core = self.cores[run.slot]
        if run.over or core.incarnation != run.incarnation:
            return
        pieces = answer_to(run.nonce)
        if not run.begun:
            run.begun = True
            events = [AnswerBegun(nonce=run.nonce, status=200, content_type="t")]
        elif broken:
            run.over = True
            events = [
                RunBroken(nonce=run.nonce, reason=FailureReason.CRASHED, tokens=10)
            ]
        elif run.sent < len(pieces):
            events = [AnswerPiece(nonce=run.nonce, data=pieces[run.sent], tokens=5)]
            run.sent += 1
        else:
            run.over = True
            events = [AnswerEnded(nonce=run.nonce, tokens=7)]
        for event in events:
            self.apply(run.slot, core.on_upstream(event, 0.0))

    def restart(self, slot):
        self.restarts[slot] += 1
        self.cores[slot] = self._core(slot, self.restarts[slot])

    def record(self, slot, mode):
        """Let the sidecar do one due write, as its recorder would."""
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
