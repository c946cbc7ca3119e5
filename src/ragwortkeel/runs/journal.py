"""Journal of the runs of one sidecar by nonce, which prevents repeated runs.

The journal answers three questions: whether a nonce may still run, how much a router
incarnation spent here, and which receipts are not yet durable.  docs/design/runs.md
states how long each entry is retained and why that is safe.
"""

from dataclasses import dataclass, field

from ragwortkeel.budget.seal import SealReport, SidecarAccounts
from ragwortkeel.exceptions import RunError
from ragwortkeel.lifecycle import ChartName, Lifecycle
from ragwortkeel.messages import RunReceipt, RunState

ACCEPTED_EPOCHS = 2
"""Number of previous epochs whose dispatches are still accepted."""

MAX_ENDED_RUNS = 50_000
"""Ended nonces retained at once, about 30 MB; beyond that the floor rises."""

MAX_PENDING_RECEIPTS = 200_000
"""Receipts that are not yet durable; at a few runs per second, half a day of outage."""

MAX_UNDECIDED_RUNS = 2_000
"""Must-not-repeat runs whose outcome is in no intent yet; their answers are
retained."""


class UnknownRun(RunError):
    """The journal has no run with this nonce."""


@dataclass(frozen=True, kw_only=True)
class Run:
    """One admitted attempt: its owner and its maximum cost."""

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
    """The state of a nonce in the run chart; `run` is None if it never ran."""

    run: Run | None = None
    tokens: int = 0
    ended_epoch: int = 0
    lifecycle: Lifecycle = field(default_factory=_new_lifecycle)

    @property
    def state(self) -> RunState:
        return _STATE_BY_CHART_STATE[self.lifecycle.state]


@dataclass(frozen=True, kw_only=True)
class _PendingReceipt:
    """A receipt that is not yet durable, and when it was created."""

    receipt: RunReceipt
    created_at: float


class Journal:
    """Runs of one sidecar incarnation.

    Parameters
    ----------
    sidecar : str
        Incarnation that signs the receipts.
    max_ended : int
        Maximum number of ended nonces to retain.

    Attributes
    ----------
    epoch : int
        Sent to routers in heartbeats; every dispatch includes the last epoch that
        its router had received when it generated the nonce.
    floor : int
        The oldest epoch whose dispatches are accepted.
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
        """Whether there is no capacity for another receipt.

        Failure: a long platform outage exhausts the memory, and a dropped receipt is a
        request that is never billed.  So new requests are refused instead; no receipt
        of an earlier run is dropped.
        """
        return (
            len(self._pending_receipt_by_nonce) + self.running >= MAX_PENDING_RECEIPTS
            or len(self._undecided_since_by_nonce) >= MAX_UNDECIDED_RUNS
        )

    def state(self, nonce: str) -> RunState:
        """Return the state of a nonce."""
        entry = self._entry_by_nonce.get(nonce)
        return RunState.UNSEEN if entry is None else entry.state

    def run(self, nonce: str) -> Run:
        """Return the admitted run of a nonce.

        Raises
        ------
        UnknownRun
            No run of this nonce was admitted.
        """
        entry = self._entry_by_nonce.get(nonce)
        if entry is None or entry.run is None:
            raise UnknownRun(nonce)
        return entry.run

    def tokens(self, nonce: str) -> int:
        """Return the tokens that a run has spent so far."""
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
        """Record that the upstream answers, after which a run can't be retracted."""
        self._entry_by_nonce[nonce].lifecycle.fire("start")

    def cancel(self, nonce: str) -> None:
        """Record that the upstream was asked to stop."""
        lifecycle = self._entry_by_nonce[nonce].lifecycle
        if lifecycle.state == "running":
            lifecycle.fire("cancel")

    def progress(self, nonce: str, tokens: int) -> bool:
        """Record the tokens so far; return whether they exceed the reservation."""
        entry = self._entry_by_nonce[nonce]
        entry.tokens = max(entry.tokens, tokens)
        return entry.tokens > entry.run.reservation

    def end(
        self, nonce: str, state: RunState, *, tokens: int, billable: bool, now: float
    ) -> RunReceipt | None:
        """Record how a run ended; return its receipt, None if it had already ended.

        The charge never exceeds the reservation: the budget has set aside no more, and
        an engine that reports more is at fault.
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
            # Failure: a must-not-repeat run is discarded before its intent has the
            # outcome; a retry asks, gets `TOMBSTONED`, and runs it again.
            self._undecided_since_by_nonce[nonce] = now
        return receipt

    def retract(self, nonce: str) -> None:
        """Record that an admitted run certainly did not happen.

        Raises
        ------
        LifecycleError
            The upstream had begun to answer.
        """
        entry = self._entry_by_nonce[nonce]
        entry.lifecycle.fire("refuse")
        run, entry.run = entry.run, None
        self._record_end(nonce, 0)
        self._remove_request(nonce, run)
        self._retain(nonce, entry)

    def tombstone(self, nonce: str) -> RunState:
        """Promise never to run an unseen nonce; return the resulting state.

        Failure: a dispatch that was in transit when its router crashed arrives after a
        retry has taken the request over, and both run.  The promise holds because a
        dispatch of a tombstoned nonce is refused for as long as its epoch is accepted.
        """
        if self.state(nonce) is RunState.UNSEEN:
            entry = _Entry()
            entry.lifecycle.fire("refuse")
            self._entry_by_nonce[nonce] = entry
            self._retain(nonce, entry)
        return self.state(nonce)

    def seal(self, router: str) -> SealReport:
        """Refuse a router incarnation from now on, and report what it spent.

        Sealing may be repeated.  Running requests continue and no new ones are
        admitted, so the sum of ended and running spend can only fall.
        """
        return self._accounts.seal(router)

    def is_sealed(self, router: str) -> bool:
        """Return whether a router incarnation is refused."""
        return not self._accounts.admits(router)

    def record_durable_outcome(self, nonce: str) -> None:
        """Stop protecting a must-not-repeat run whose intent has its outcome.

        A retry that read the intent before that and gets a tombstone now still can't
        run: its conditional update names an outdated version.
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
        """Return a router's receipts that are not yet durable."""
        pending = self._pending_receipt_by_nonce.values()
        return tuple(each.receipt for each in pending if each.receipt.router == router)

    def receipts_before(self, since: float, limit: int) -> tuple[RunReceipt, ...]:
        """Return up to `limit` receipts created at `since` or earlier."""
        receipts = []
        for pending in self._pending_receipt_by_nonce.values():
            if pending.created_at > since or len(receipts) == limit:
                break
            receipts.append(pending.receipt)
        return tuple(receipts)

    @property
    def undecided_runs(self) -> int:
        """Number of must-not-repeat runs whose outcome is not yet durable."""
        return len(self._undecided_since_by_nonce)

    @property
    def pending_receipts(self) -> int:
        """Number of receipts that are not yet durable."""
        return len(self._pending_receipt_by_nonce)

    def discard_receipts(self, nonces: tuple[str, ...]) -> None:
        """Discard receipts that are durable."""
        for nonce in nonces:
            self._pending_receipt_by_nonce.pop(nonce, None)

    def accepts_epoch(self, epoch: int) -> bool:
        """Return whether a dispatch generated in `epoch` may still be admitted.

        Failure: a router is paused with an unsent dispatch and resumes hours later,
        when the journal has discarded its nonce; the dispatch looks new and runs a
        second time.  Its epoch is below the floor then, because no nonce at or above
        the floor is ever discarded.
        """
        return epoch >= self.floor

    def next_epoch(self) -> list[str]:
        """Begin the next epoch; return the nonces that were discarded."""
        self.epoch += 1
        self.floor = max(self.floor, self.epoch - ACCEPTED_EPOCHS)
        return self._discard_below_floor()

    def _retain(self, nonce: str, entry: _Entry) -> None:
        entry.ended_epoch = self.epoch
        self._ended[nonce] = None

    def evict_ended(self) -> list[str]:
        """Raise the floor while too many ended runs exist; return discarded nonces."""
        discarded = []
        while len(self._ended) > self._max_ended:
            oldest = self._entry_by_nonce[next(iter(self._ended))]
            if oldest.ended_epoch >= self.epoch:
                self.epoch = oldest.ended_epoch + 1
            self.floor = oldest.ended_epoch + 1
            discarded += self._discard_below_floor()
        return discarded

    def _discard_below_floor(self) -> list[str]:
        discarded = []
        for nonce in self._ended:
            entry = self._entry_by_nonce[nonce]
            if entry.ended_epoch >= self.floor:
                break
            discarded.append(nonce)
        for nonce in discarded:
            del self._ended[nonce]
            entry = self._entry_by_nonce.pop(nonce)
            if entry.run is not None:
                self._remove_request(nonce, entry.run)
        return discarded

    def _remove_request(self, nonce: str, run: Run) -> None:
        key = (run.profile, run.request_id)
        if self._nonce_by_request.get(key) == nonce:
            del self._nonce_by_request[key]

    def _record_end(self, nonce: str, tokens: int) -> None:
        self._running.discard(nonce)
        self._accounts.finish(nonce=nonce, tokens=tokens)
