"""What one sidecar ran, by nonce; the memory that keeps runs from repeating.

The journal answers three questions: may this nonce still run, what did a
router incarnation spend here, and which receipts are not yet durable.
docs/design/runs.md says how long each part is kept and why that is safe.
"""

from dataclasses import dataclass, field

from ragwortkeel.budget.seal import SealReport, SidecarAccounts
from ragwortkeel.exceptions import RunError
from ragwortkeel.lifecycle import ChartName, Lifecycle
from ragwortkeel.messages import RunReceipt, RunState

ACCEPTED_EPOCHS = 2
"""Dispatches minted this many epochs ago are still taken, older ones never."""

MAX_ENDED_RUNS = 50_000
"""Ended nonces remembered at once, about 30 MB; past it the floor moves up."""

MAX_PENDING_RECEIPTS = 200_000
"""Receipts not yet durable; at a few runs a second half a day of outage."""

MAX_UNDECIDED_RUNS = 2_000
"""Must-not-repeat runs whose outcome no intent holds yet; their answers stay."""


class UnknownRun(RunError):
    """The journal has no run of this nonce."""


@dataclass(frozen=True, kw_only=True)
class Run:
    """One attempt that was let in: whose it is and what it may cost."""

    nonce: str
    router: str
    profile: str
    request_id: str
    reservation: int
    idempotent: bool
    fingerprint: str = ""
    replayable: bool = True


_STATE_BY_CHART_STATE = {
    "admitted": RunState.RUNNING,
    "running": RunState.RUNNING,
    "cancelling": RunState.RUNNING,
    "finished": RunState.FINISHED,
    "failed": RunState.FAILED,
    "refused": RunState.TOMBSTONED,
}

_END_EVENTS = {RunState.FINISHED: "finish", RunState.FAILED: "fail"}


def _new_lifecycle() -> Lifecycle:
    return Lifecycle(chart=ChartName.RUN)


@dataclass(kw_only=True, slots=True)
class _Entry:
    """A nonce's place in the run chart; `run` is None for one that never ran."""

    run: Run | None = None
    tokens: int = 0
    ended_epoch: int = 0
    lifecycle: Lifecycle = field(default_factory=_new_lifecycle)

    @property
    def state(self) -> RunState:
        return _STATE_BY_CHART_STATE[self.lifecycle.state]


@dataclass(frozen=True, kw_only=True)
class _PendingReceipt:
    """A receipt that is not durable yet, and since when."""

    receipt: RunReceipt
    created_at: float


class Journal:
    """Runs of one sidecar incarnation.

    Parameters
    ----------
    sidecar
        Incarnation that signs the receipts.

    Attributes
    ----------
    epoch : int
        Handed to routers in heartbeats; every dispatch carries the one its
        router last heard when it minted the nonce.
    """

    def __init__(self, *, sidecar: str, max_ended: int = MAX_ENDED_RUNS) -> None:
        self._sidecar = sidecar
        self._max_ended = max_ended
        self._entry_by_nonce: dict[str, _Entry] = {}
        self._ended: dict[str, None] = {}
        self._nonce_by_request: dict[tuple[str, str], str] = {}
        self._running: set[str] = set()
        self._accounts = SidecarAccounts()
        self._accounts.open(seals=())
        self._pending_receipt_by_nonce: dict[str, _PendingReceipt] = {}
        self._undecided_since_by_nonce: dict[str, float] = {}
        self.epoch = 1
        self.floor = 1

    @property
    def running(self) -> int:
        """Number of runs that have not ended."""
        return len(self._running)

    @property
    def is_full(self) -> bool:
        """Whether another receipt could not be kept.

        Failure: a long platform outage fills the memory, and a dropped
        receipt is a request billed zero times.  So new work is refused
        instead; nothing already run is forgotten.
        """
        return (
            len(self._pending_receipt_by_nonce) + self.running >= MAX_PENDING_RECEIPTS
            or len(self._undecided_since_by_nonce) >= MAX_UNDECIDED_RUNS
        )

    def state(self, nonce: str) -> RunState:
        """Return what is known of a nonce."""
        entry = self._entry_by_nonce.get(nonce)
        return RunState.UNSEEN if entry is None else entry.state

    def run(self, nonce: str) -> Run:
        """Return the run; `UnknownRun` where none was let in."""
        entry = self._entry_by_nonce.get(nonce)
        if entry is None or entry.run is None:
            raise UnknownRun(nonce)
        return entry.run

    def tokens(self, nonce: str) -> int:
        """Return the tokens spent so far by a run."""
        entry = self._entry_by_nonce.get(nonce)
        return 0 if entry is None else entry.tokens

    def nonce_of_request(self, profile: str, request_id: str) -> str | None:
        """Return the nonce of the newest run of a request."""
        return self._nonce_by_request.get((profile, request_id))

    def admit(self, run: Run) -> None:
        """Record a run before it starts."""
        self._entry_by_nonce[run.nonce] = _Entry(run=run)
        self._nonce_by_request[run.profile, run.request_id] = run.nonce
        self._running.add(run.nonce)
        self._accounts.start(
            nonce=run.nonce,
            router=run.router,
            profile=run.profile,
            reservation=run.reservation,
        )

    def begin(self, nonce: str) -> None:
        """Record that the upstream answers: from here on it can't be retracted."""
        self._entry_by_nonce[nonce].lifecycle.fire("start")

    def cancel(self, nonce: str) -> None:
        """Record that the upstream was told to stop."""
        lifecycle = self._entry_by_nonce[nonce].lifecycle
        if lifecycle.state == "running":
            lifecycle.fire("cancel")

    def progress(self, nonce: str, tokens: int) -> bool:
        """Record tokens so far; return whether the reservation is outrun."""
        entry = self._entry_by_nonce[nonce]
        entry.tokens = max(entry.tokens, tokens)
        return entry.tokens > entry.run.reservation

    def end(
        self, nonce: str, state: RunState, *, tokens: int, billable: bool, now: float
    ) -> RunReceipt | None:
        """Record how a run ended; return its receipt, None if it had ended.

        The charge never exceeds the reservation: that is all the budget has
        set aside, and an engine that reports more is at fault.
        """
        entry = self._entry_by_nonce[nonce]
        if entry.state is not RunState.RUNNING:
            return None
        run = entry.run
        if entry.lifecycle.state == "admitted":
            entry.lifecycle.fire("start")
        entry.lifecycle.fire(_END_EVENTS[state])
        entry.tokens = min(max(tokens, 0), run.reservation)
        self._record_end(nonce, entry.tokens)
        receipt = RunReceipt(
            profile=run.profile,
            request_id=run.request_id,
            nonce=nonce,
            router=run.router,
            sidecar=self._sidecar,
            tokens=entry.tokens,
            billable=billable,
        )
        if receipt.tokens:
            self._pending_receipt_by_nonce[nonce] = _PendingReceipt(
                receipt=receipt, created_at=now
            )
        if run.idempotent:
            self._retain(nonce, entry)
        else:
            # Failure: a must-not-repeat run is forgotten before its intent has
            # the outcome; a retry asks, reads "never ran", and runs it again.
            self._undecided_since_by_nonce[nonce] = now
        return receipt

    def retract(self, nonce: str) -> None:
        """Record that a run, though let in, certainly did not happen.

        Raises
        ------
        LifecycleError
            The upstream had begun to answer it.
        """
        entry = self._entry_by_nonce[nonce]
        entry.lifecycle.fire("refuse")
        run, entry.run = entry.run, None
        self._record_end(nonce, 0)
        self._remove_request(nonce, run)
        self._retain(nonce, entry)

    def tombstone(self, nonce: str) -> RunState:
        """Promise never to run an unseen nonce; return what is now known of it.

        Failure: a dispatch that was under way when its router died comes after
        a retry has taken the request over, and both run.  The promise holds
        because a dispatch of a tombstoned nonce is refused for as long as its
        epoch would be accepted at all.
        """
        if self.state(nonce) is RunState.UNSEEN:
            entry = _Entry()
            entry.lifecycle.fire("refuse")
            self._entry_by_nonce[nonce] = entry
            self._retain(nonce, entry)
        return self.state(nonce)

    def seal(self, router: str) -> SealReport:
        """Refuse a router incarnation from now on, and report what it ran.

        May be repeated.  What runs ends as it would; nothing more is let in, so
        that what ran and what runs together can only fall.
        """
        return self._accounts.seal(router)

    def is_sealed(self, router: str) -> bool:
        """Whether a router incarnation is refused."""
        return not self._accounts.admits(router)

    def record_durable_outcome(self, nonce: str) -> None:
        """Let go of a must-not-repeat run whose intent holds its outcome.

        A retry that read the intent before that and gets a tombstone now still
        can't run: its conditional update names a version that has passed.
        """
        if self._undecided_since_by_nonce.pop(nonce, None) is not None:
            self._retain(nonce, self._entry_by_nonce[nonce])

    def undecided_before(self, since: float) -> tuple[Run, ...]:
        """Return must-not-repeat runs that ended by `since`, outcome not durable."""
        return tuple(
            self._entry_by_nonce[nonce].run
            for nonce, ended in self._undecided_since_by_nonce.items()
            if ended <= since
        )

    def receipts_for_router(self, router: str) -> tuple[RunReceipt, ...]:
        """Return a router's receipts that are not durable yet."""
        owed = self._pending_receipt_by_nonce.values()
        return tuple(o.receipt for o in owed if o.receipt.router == router)

    def receipts_before(self, since: float, limit: int) -> tuple[RunReceipt, ...]:
        """Return up to `limit` receipts owed since `since` or longer."""
        due = []
        for owed in self._pending_receipt_by_nonce.values():
            if owed.created_at > since or len(due) == limit:
                break
            due.append(owed.receipt)
        return tuple(due)

    @property
    def undecided_runs(self) -> int:
        """Number of must-not-repeat runs whose outcome is not durable yet."""
        return len(self._undecided_since_by_nonce)

    @property
    def pending_receipts(self) -> int:
        """Number of receipts that are not durable yet."""
        return len(self._pending_receipt_by_nonce)

    def discard_receipts(self, nonces: tuple[str, ...]) -> None:
        """Drop receipts that are durable."""
        for nonce in nonces:
            self._pending_receipt_by_nonce.pop(nonce, None)

    def accepts_epoch(self, epoch: int) -> bool:
        """Whether a dispatch minted in `epoch` may still be let in.

        Failure: a router is paused with a dispatch in hand and wakes hours
        later, when its nonce has been forgotten here; the dispatch looks new
        and runs a second time.  Its epoch is below the floor then, because
        nothing at or above the floor is ever forgotten.
        """
        return epoch >= self.floor

    def next_epoch(self) -> list[str]:
        """Begin the next epoch; return the nonces that were forgotten."""
        self.epoch += 1
        self.floor = max(self.floor, self.epoch - ACCEPTED_EPOCHS)
        return self._discard_below_floor()

    def _retain(self, nonce: str, entry: _Entry) -> None:
        entry.ended_epoch = self.epoch
        self._ended[nonce] = None

    def evict_ended(self) -> list[str]:
        """Move the floor up while too much is remembered; return what went."""
        forgotten = []
        while len(self._ended) > self._max_ended:
            oldest = self._entry_by_nonce[next(iter(self._ended))]
            if oldest.ended_epoch >= self.epoch:
                self.epoch = oldest.ended_epoch + 1
            self.floor = oldest.ended_epoch + 1
            forgotten += self._discard_below_floor()
        return forgotten

    def _discard_below_floor(self) -> list[str]:
        forgotten = []
        for nonce in self._ended:
            entry = self._entry_by_nonce[nonce]
            if entry.ended_epoch >= self.floor:
                break
            forgotten.append(nonce)
        for nonce in forgotten:
            del self._ended[nonce]
            entry = self._entry_by_nonce.pop(nonce)
            if entry.run is not None:
                self._remove_request(nonce, entry.run)
        return forgotten

    def _remove_request(self, nonce: str, run: Run) -> None:
        key = (run.profile, run.request_id)
        if self._nonce_by_request.get(key) == nonce:
            del self._nonce_by_request[key]

    def _record_end(self, nonce: str, tokens: int) -> None:
        self._running.discard(nonce)
        self._accounts.finish(nonce=nonce, tokens=tokens)
