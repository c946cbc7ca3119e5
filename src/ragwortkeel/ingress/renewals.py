"""Renews all customers' slices: one write of the ledgers for many processes.

`budget.turns` says who writes when.  Whoever does asks its peers for what they have
to tell and takes it along; a peer whose callers wait for tokens hands its renewals
over unasked.  A peer that gets no answer in time writes by itself.

What makes that safe is the condition of each write, as ever, and `budget.handing`: a
message that was held up is void once its sender has written anything later.  Until a
process knows that, it takes back nothing that it has handed over.
"""

from collections.abc import Callable
from random import Random
from time import monotonic
from typing import Protocol

import curio

from ragwortkeel.budget.account import GROWTH_DELAY_SECONDS
from ragwortkeel.budget.allowance import Allowances
from ragwortkeel.budget.answers import (
    answered,
    customers_seen_by,
    joined_by_all,
    not_done,
)
from ragwortkeel.budget.clocks import Reading
from ragwortkeel.budget.shards import Shard
from ragwortkeel.budget.tries import Tries
from ragwortkeel.budget.turns import (
    TICK_SECONDS,
    StandIn,
    patience,
    pause_after_refusals,
    step_of,
)
from ragwortkeel.exceptions import (
    AlreadyExists,
    LedgerError,
    ObjectNotFound,
    OutcomeUnknown,
    PlatformUnavailable,
    RouterSealed,
    VersionConflict,
)
from ragwortkeel.exceptions import PlatformError as ClientError
from ragwortkeel.ingress.ledger_store import LedgerStore
from ragwortkeel.ingress.routing import RoutingTable
from ragwortkeel.logs import log_debug, log_error, log_info, log_warning
from ragwortkeel.messages import HandedRenewals, RenewalsWritten, WriteOutcome
from ragwortkeel.platform import Platform
from ragwortkeel.policy.timeouts import AnswerTimeout

RETRY_SECONDS = 0.4
"""Pause after a failed call: each call is paid for, also in an outage."""

GATHER_SECONDS = 0.03
"""How long peers have to answer a call for renewals: 3 ms between availability zones,
and some processor time.  Who is later is renewed by the next write."""

BATCH_SECONDS = 0.02
"""How long a write for waiting callers lets more of them join it.  Most requests are
larger than the room that a cap keeps, so with a write each the calls of the platform
would grow with the requests; against their objectives of 0.3 s and more it is
little."""

MAX_DELEGATION_SECONDS = 1.0
"""How long callers' waiting tokens are left to the process that writes for all, at the
most; less while its answers are quick, see `policy.timeouts`."""

INITIAL_DELEGATION_SECONDS = 0.04
"""What the first answers are taken to need: a batch, a write and the way."""

RANK_DELAY_FRACTION = 0.6
"""Of the wait for an answer, by which each further process of the order stands in
later."""

IDLE_RENEWAL_SECONDS = 2.0
"""A process with nothing to renew is written for so often."""

START_PEER_WAIT_SECONDS = 0.3
"""How long a start waits for its peers before it writes by itself."""

DELEGATION_RETRY_SECONDS = 0.1
"""How often a process that nobody answered tries again to hand its renewals over."""

WRITE_MEAN_WEIGHT = 0.3
"""Of the newest write in the mean time of a write: a link that has become slow shows
after three."""

MAX_WRITE_SECONDS = 1.0
"""A write counts for so long at the most; a longer one was an outage."""

GRANT_RETRY_SECONDS = 0.05
"""Pause between writes while a customer has no grant here: callers may wait."""

MAX_WRITE_ATTEMPTS = 8
"""Of one write, while others come first; then it pauses, for a random time."""

MAX_ATTEMPTS_WITH_OTHER_WRITER = 2
"""The same where a peer could write for this process: a refusal shows that one does,
and a slow process that goes on trying is outrun for seconds."""

START_CLOCK_WAIT_SECONDS = 1.5
"""How long a start after a loss of power waits for the clocks of its peers, which
may start at the same time: it takes them a second.  Without them up to three
seconds of demand are charged for nothing."""

_CONFLICTS = (VersionConflict, AlreadyExists, ObjectNotFound)


class Group(Protocol):
    """The other processes that renew slices in the same ledgers."""

    def place(self) -> int:
        """Return how many of those that are heard come before this one."""

    def processes(self) -> int:
        """Return how many there are, heard now or not, this one included."""

    async def call_renewals(self) -> int:
        """Ask all for their renewals; return how many were asked."""

    async def hand_over(self, delegated: HandedRenewals) -> str | None:
        """Send renewals to the first of all; return to whom, None if not sent."""

    async def responds(self, address: str) -> bool:
        """Whether a process lives."""

    def avoid(self, address: str) -> None:
        """Hand nothing more to a process for a while: it did not write."""

    async def answer(self, holder: str, answer: RenewalsWritten) -> None:
        """Tell a process what became of its renewals."""


class Renewals:
    """Keeps the slices of one process renewed, by its own or by peers' writes.

    Parameters
    ----------
    platform : Platform
        Where the ledgers lie.
    clocks : callable
        Returns a reading of all clocks, with what the fleet knows of the time.

    Attributes
    ----------
    reachable : bool
        Whether the last try to renew came to an end in the ledgers.
    read_at : float
        Monotonic second at which the ledgers known here were read.
    merged : bool
        Whether earlier starts of this process have been charged.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        allowances: Allowances,
        clocks: Callable[[], Reading],
        group: Group,
    ) -> None:
        self.reachable = True
        self.read_at = float("-inf")
        self.predecessors_charged = False
        self._allowances = allowances
        self._clocks = clocks
        self._peers = group
        self._ledgers = LedgerStore(platform=platform)
        self._random = Random(allowances.holder)
        self._table: RoutingTable | None = None
        self._clocks_awaited_until = monotonic() + START_CLOCK_WAIT_SECONDS
        self._peers_awaited_until = monotonic() + START_PEER_WAIT_SECONDS
        self._fallback = StandIn(random=self._random)
        self._delegation_timeout = AnswerTimeout(longest=MAX_DELEGATION_SECONDS)
        self._delegation_timeout.answered(INITIAL_DELEGATION_SECONDS)
        self._renewed_at = float("-inf")
        self._collected_at = float("-inf")
        self._backoff_until = 0.0
        self._refusals = 0
        self._mean_write_seconds = 0.0
        self._wrote_newest = False
        self._closing = False
        self._tries = Tries()
        self._start_boots: set[float] = set()
        self._start_shard: Shard | None = None
        self._delegated_by_holder: dict[str, HandedRenewals] = {}
        self._requested_count = 0
        self._write_requested = curio.Event()
        self._gathered = curio.Event()
        self._changed = curio.Event()

    @property
    def writing_step(self) -> int:
        """How slowly this process writes, for the order of all."""
        return step_of(self._mean_write_seconds, reachable=self.reachable)

    def configure(self, table: RoutingTable) -> None:
        """Take over the budgets of a configuration at the next renewal."""
        self._table = table

    def grow(self) -> None:
        """Let the caps grow with the time since the last try to write."""
        latest = self._tries.latest
        if latest is not None:
            self._allowances.grow(self._clocks().surely_since(latest))

    @property
    def seconds_to_growth(self) -> float:
        """Seconds until the caps begin to grow, if no renewal comes before."""
        latest = self._tries.latest
        if latest is None:
            return 0.0
        return max(0.0, GROWTH_DELAY_SECONDS - self._clocks().surely_since(latest))

    async def wake(self) -> None:
        """Renew now: callers wait for tokens."""
        await self._write_requested.set()

    async def wait_for_change(self, until: float) -> None:
        """Wait for the next renewal or loan, or until a monotonic second."""
        self._changed.clear()
        async with curio.ignore_after(max(0.0, until - monotonic())):
            await self._changed.wait()

    async def changed(self) -> None:
        """Let requests that wait look again."""
        await self._changed.set()

    async def run(self) -> None:
        """Renew slices until cancelled."""
        while True:
            urgent = await self._wait_until_due()
            if self._has_preferred_writer():
                outcome = await self._try_delegation()
                if outcome is not WriteOutcome.UNKNOWN:
                    continue
                if not self._may_write_as_fallback():
                    if urgent:
                        await self._write_requested.set()
                    continue
            await self._write_for_all(calls=not urgent)

    async def close(self) -> bool:
        """Give all slices back; a request that is still open is charged at its most."""
        self._closing = True
        self._allowances.cut_open()
        for refusals in range(MAX_WRITE_ATTEMPTS):
            try:
                shard = await self._ledgers.read(stale=False)
                self._allowances.resolve(shard)
                await self._ledgers.write(self._allowances.closed(shard))
            except VersionConflict:
                await curio.sleep(pause_after_refusals(refusals, self._random))
            except (PlatformUnavailable, OutcomeUnknown) as exc:
                # What was held stays charged, which is safe; only less is left.
                log_warning("slices_not_returned", error=str(exc))
                return False
            else:
                log_info("slices_returned", holder=self._allowances.holder)
                return True
        log_warning("slices_not_returned", error="others kept writing first")
        return False

    # What peers ask and hand over.

    def called(self) -> HandedRenewals | None:
        """Return what a peer that is about to write should take along."""
        if not self._may_delegate():
            return None
        reading = self._clocks()
        delegated = self._delegated_renewals(reading, urgent=False)
        recent = monotonic() - self._renewed_at < IDLE_RENEWAL_SECONDS
        if self.predecessors_charged and recent and not delegated.renewal_by_customer:
            self._collected_at = monotonic()
            return None
        self._tries.begin(reading, handed=True)
        return delegated

    async def heard(self, delegated: HandedRenewals) -> None:
        """Take in a peer's renewals for the next write."""
        if not self.reachable and monotonic() < self._backoff_until:
            answer = not_done(delegated, WriteOutcome.UNREACHABLE)
            await self._peers.answer(delegated.holder, answer)
            return
        self._delegated_by_holder[delegated.holder] = delegated
        if len(self._delegated_by_holder) >= self._requested_count:
            await self._gathered.set()
        if delegated.urgent:
            await self._write_requested.set()

    async def written(self, answer: RenewalsWritten) -> None:
        """Take in what became of renewals that were handed over."""
        match answer.outcome:
            case WriteOutcome.UNKNOWN:
                return
            case WriteOutcome.NOT_DONE:
                self._tries.failed(answer.boot)
                self._withdraw_renewals()
                # A start may be void for what it has not seen of other starts.
                self._start_shard = None
            case WriteOutcome.UNREACHABLE:
                self._tries.failed(answer.boot)
                self._withdraw_renewals()
                self._set_reachable(False, "said a peer that writes for this one")
                self._backoff_until = monotonic() + RETRY_SECONDS
            case WriteOutcome.DONE:
                self._apply_outcome(answer)
        await self._changed.set()

    def _apply_outcome(self, answer: RenewalsWritten) -> None:
        now = monotonic()
        delegated = self._tries.handed(answer.boot)
        if delegated is not None:
            self._allowances.renewed_after(now - delegated.monotonic)
            self.read_at = delegated.monotonic
        self._allowances.written(answer)
        if delegated is not None:
            self._allowances.note_read(answer.summary_by_customer, delegated.monotonic)
        if not self.predecessors_charged and answer.boot in self._start_boots:
            self.predecessors_charged = True
            self._log_predecessors(self._start_shard)
        self._tries.done(answer.boot)
        self._wrote_newest = False
        self._set_reachable(True, "")
        self._collected_at = now
        if answer.revision >= self._revision:
            self._renewed_at = now

    # When to write.

    @property
    def _revision(self) -> int:
        return self._table.configuration.revision if self._table else 0

    def _may_delegate(self) -> bool:
        """Whether a write by a peer does all that one by this process would."""
        if self._table is None or self._closing:
            return False
        if self.predecessors_charged:
            return True
        # A start has to have seen the ledgers, and to know the time if it may.
        return self._start_shard is not None and self._may_charge_predecessors(
            self._start_shard, self._clocks()
        )

    def _seconds_until_due(self) -> float:
        now = monotonic()
        if self._table is None or self._closing:
            return RETRY_SECONDS
        pause = TICK_SECONDS
        if self._may_delegate():
            step = RANK_DELAY_FRACTION * self._delegation_timeout.seconds
            pause = patience(self._peers.place(), step_seconds=step)
        elif self._awaits_peers(now):
            return min(GRANT_RETRY_SECONDS, self._peers_awaited_until - now)
        elif self._allowances.lacks_grants(_prepaid_by_customer(self._table)):
            pause = GRANT_RETRY_SECONDS
        renewed_at = max(self._renewed_at, self._collected_at)
        return max(renewed_at + pause, self._backoff_until) - now

    def _awaits_peers(self, now: float) -> bool:
        """Whether this process has just started and may soon hear its peers."""
        no_peer_reachable = not self._peers.place() and self._peers.processes() > 1
        return (
            not self.predecessors_charged
            and no_peer_reachable
            and now < self._peers_awaited_until
        )

    async def _wait_until_due(self) -> bool:
        """Wait until this process has to write; return whether callers wait."""
        while (seconds := self._seconds_until_due()) > 0:
            async with curio.ignore_after(seconds):
                await self._write_requested.wait()
            if self._write_requested.is_set() and self._table is not None:
                backoff = max(0.0, self._backoff_until - monotonic())
                await curio.sleep(backoff)
                break
        urgent = self._write_requested.is_set()
        self._write_requested.clear()
        return urgent

    # Handing over.

    def _delegated_renewals(self, reading: Reading, *, urgent: bool) -> HandedRenewals:
        start = None
        if not self.predecessors_charged:
            start = self._allowances.start(self._start_shard)
            self._start_boots.add(reading.boot)
        return self._allowances.handed(reading, urgent=urgent, start=start)

    def _has_preferred_writer(self) -> bool:
        """Whether another process is to write for this one.

        Not where peers have handed their renewals over to this process.
        """
        return not self._delegated_by_holder and self._peers.place() > 0

    async def _try_delegation(self) -> WriteOutcome:
        """Let the first of all write; return what became of it."""
        if (
            not self.predecessors_charged
            and self._start_shard is None
            and not await self._read_ledgers()
        ):
            return WriteOutcome.UNREACHABLE
        if not self._may_delegate():
            await curio.sleep(GRANT_RETRY_SECONDS)
            return WriteOutcome.UNKNOWN
        outcome = await self._delegate()
        if outcome is not WriteOutcome.UNKNOWN:
            self._fallback.answered()
        return outcome

    def _may_write_as_fallback(self) -> bool:
        processes = self._peers.processes()
        return self._fallback.may_write(processes=processes, now=monotonic())

    async def _read_ledgers(self) -> bool:
        """Read the ledgers, which a start has to know; return whether it could."""
        try:
            self._start_shard = await self._ledgers.read(stale=False)
        except PlatformUnavailable as exc:
            self._set_reachable(False, str(exc))
            self._backoff_until = monotonic() + RETRY_SECONDS
            return False
        except LedgerError as exc:
            log_error("renewal_failed", error=repr(exc))
            self._backoff_until = monotonic() + RETRY_SECONDS
            return False
        self._allowances.resolve(self._start_shard)
        return True

    async def _delegate(self) -> WriteOutcome:
        """Let the first of all write; return what became of it, if it answered."""
        reading = self._clocks()
        delegated = self._delegated_renewals(reading, urgent=True)
        self._tries.begin(reading, handed=True)
        boot, begun = reading.boot, monotonic()
        writer = await self._peers.hand_over(delegated)
        if writer is None:
            self._tries.failed(boot)
            await curio.sleep(DELEGATION_RETRY_SECONDS)
            return WriteOutcome.UNKNOWN
        patience = self._delegation_timeout.seconds
        answered = await self._wait_for_outcome(boot, begun + patience)
        if not answered and await self._peers.responds(writer):
            # It writes, and the platform or the way there is slow.  Another process
            # would be no quicker, and its write would void this one's.
            patience = MAX_DELEGATION_SECONDS
            answered = await self._wait_for_outcome(boot, begun + patience)
        if answered:
            self._delegation_timeout.answered(monotonic() - begun)
            return WriteOutcome.DONE
        log_info("renewals_unanswered", writer=writer, seconds=round(patience, 3))
        self._delegation_timeout.timed_out()
        self._peers.avoid(writer)
        return WriteOutcome.UNKNOWN

    async def _wait_for_outcome(self, boot: float, until: float) -> bool:
        """Wait for the answer to a hand-over, at most until a monotonic second."""
        while self._tries.handed(boot) and monotonic() < until:
            await self.wait_for_change(until)
        return not self._tries.handed(boot)

    def _withdraw_renewals(self) -> None:
        """Take back what certainly was not written and never will be.

        Tokens on their way back are still here then: callers need them in an outage.
        A peer's answer may come while a write of this process is on its way with the
        same renewals; what that gives back would be spent here as well.
        """
        if not self._ledgers.in_doubt and not self._tries.any_open:
            self._allowances.withdraw()

    # Writing.

    async def _write_for_all(self, *, calls: bool) -> None:
        begun = monotonic()
        if calls and self.reachable and self._may_delegate():
            await self._gather_renewals()
        elif not calls:
            await curio.sleep(BATCH_SECONDS)
            self._write_requested.clear()
        delegated_by_holder, self._delegated_by_holder = self._delegated_by_holder, {}
        outcome, shard, refused = await self._try_write(delegated_by_holder)
        seconds = monotonic() - begun
        log_debug(
            "ledgers_written",
            outcome=outcome,
            handed=len(delegated_by_holder),
            refused=len(refused),
            took=round(seconds, 3),
        )
        if outcome is WriteOutcome.DONE:
            self._allowances.renewed_after(seconds)
        if outcome is WriteOutcome.DONE and calls:
            # Writes for waiting callers don't put off the one for all, and its own
            # time counts as pause: others write where it comes later than theirs.
            self._renewed_at = begun
        await self._changed.set()
        await self._report_outcomes(outcome, shard, delegated_by_holder, refused)

    async def _gather_renewals(self) -> None:
        self._gathered.clear()
        self._requested_count = await self._peers.call_renewals()
        if self._requested_count:
            async with curio.ignore_after(GATHER_SECONDS):
                await self._gathered.wait()
        self._requested_count = 0

    async def _report_outcomes(
        self,
        outcome: WriteOutcome,
        shard: Shard,
        delegated_by_holder: dict[str, HandedRenewals],
        refused: set[str],
    ) -> None:
        done = outcome is WriteOutcome.DONE
        summaries = {}
        if done:
            written = delegated_by_holder.values()
            names = {name for one in written for name in customers_seen_by(one, shard)}
            summaries = shard.summaries(names)
        for holder, delegated in delegated_by_holder.items():
            if holder in refused:
                answer = not_done(delegated, WriteOutcome.NOT_DONE)
            elif done:
                answer = answered(shard, delegated, summaries)
            else:
                answer = not_done(delegated, outcome)
            await self._peers.answer(holder, answer)

    async def _try_write(
        self, delegated_by_holder: dict[str, HandedRenewals]
    ) -> tuple[WriteOutcome, Shard, set[str]]:
        """Write; return the outcome, the ledgers and whose renewals are void."""
        try:
            shard, refused = await self._write_with_retries(delegated_by_holder)
        except PlatformUnavailable as exc:
            self._withdraw_renewals()
            self._set_reachable(False, str(exc))
            self._backoff_until = monotonic() + RETRY_SECONDS
            return WriteOutcome.UNREACHABLE, Shard(), set()
        except OutcomeUnknown as exc:
            # The ledger itself tells what holds, so look again at once.
            log_info("renewal_repeated", error=repr(exc))
            await self._write_requested.set()
            return WriteOutcome.UNKNOWN, Shard(), set()
        except _CONFLICTS as exc:
            self._wrote_newest = False
            log_info("renewal_repeated", error=repr(exc), refusals=self._refusals)
            pause = pause_after_refusals(self._refusals, self._random)
            self._backoff_until = monotonic() + pause
            return WriteOutcome.NOT_DONE, Shard(), set()
        except (LedgerError, RouterSealed) as exc:
            log_error("renewal_failed", error=repr(exc))
            self._backoff_until = monotonic() + RETRY_SECONDS
            return WriteOutcome.NOT_DONE, Shard(), set()
        self._set_reachable(True, "")
        return WriteOutcome.DONE, shard, refused

    async def _write_with_retries(
        self, delegated_by_holder: dict[str, HandedRenewals]
    ) -> tuple[Shard, set[str]]:
        """Write, from what each refusal brings along, until nobody comes first.

        A refused write means that another was done, so a crowd gets through one by
        one; a pause here would only make what the refusal brought old.
        """
        self._ledgers.discard_conflict()
        has_other_writer = self._may_delegate() and self._peers.place() > 0
        tries = (
            MAX_ATTEMPTS_WITH_OTHER_WRITER if has_other_writer else MAX_WRITE_ATTEMPTS
        )
        for _ in range(tries - 1):
            try:
                return await self._write_once(delegated_by_holder)
            except _CONFLICTS:
                self._wrote_newest = False
                self._refusals += 1
        return await self._write_once(delegated_by_holder)

    async def _write_once(
        self, delegated_by_holder: dict[str, HandedRenewals]
    ) -> tuple[Shard, set[str]]:
        allowances = self._allowances
        shard = await self._ledgers.read(use_own_write=self._wrote_newest)
        allowances.resolve(shard)
        self._start_shard = None if self.predecessors_charged else shard
        if self._ledgers.writes_superseded:
            self._tries.own_failed()
            if not self._tries.any_handed:
                # One made from an older ledger asks for what is no longer there.
                allowances.withdraw()
        reading = self._clocks()
        renewed = shard.provisioned(_prepaid_by_customer(self._table), self._revision)
        charges = not self.predecessors_charged and self._may_charge_predecessors(
            renewed, reading
        )
        before = renewed
        if charges:
            renewed = allowances.merged(renewed)
        renewed = allowances.renewed(renewed, reading)
        renewed, refused = joined_by_all(renewed, delegated_by_holder)
        self._tries.begin(reading, handed=False)
        begun = monotonic()
        try:
            await self._ledgers.write(renewed)
        except OutcomeUnknown:
            raise
        except ClientError:
            self._tries.failed(reading.boot)
            raise
        finally:
            self._record_write(monotonic() - begun)
        allowances.resolve(renewed)
        if charges:
            self._log_predecessors(before)
        self.predecessors_charged = self.predecessors_charged or charges
        self._tries.done(reading.boot)
        self._wrote_newest = True
        self._refusals = 0
        self.read_at = reading.monotonic
        allowances.note_read(renewed.ledger_by_customer, reading.monotonic)
        return renewed, refused

    def _record_write(self, seconds: float) -> None:
        seconds = min(seconds, MAX_WRITE_SECONDS)
        self._mean_write_seconds += (
            seconds - self._mean_write_seconds
        ) * WRITE_MEAN_WEIGHT

    def _may_charge_predecessors(self, shard: Shard, reading: Reading) -> bool:
        """Whether to charge predecessors now, or wait for the peers' clocks."""
        self._allowances.know_time(reading)
        return (
            monotonic() >= self._clocks_awaited_until
            or not self._allowances.lacks_time(shard)
        )

    def _log_predecessors(self, shard: Shard) -> None:
        merged = self._allowances.merged(shard)
        unspent = _unspent(merged)
        for one in self._allowances.predecessors(shard):
            log_info(
                "predecessor_charged",
                holder=one.holder,
                last_write_age=one.age,
                granted=one.granted,
                told=one.told,
                unspent_before=_unspent(shard),
                unspent_after=unspent,
                prepaid=sum(one.prepaid for one in shard.ledger_by_customer.values()),
            )

    def _set_reachable(self, reachable: bool, error: str) -> None:
        if reachable == self.reachable:
            return
        self.reachable = reachable
        if reachable:
            log_info("dependency_regained", dependency="ledgers")
        else:
            log_warning("dependency_lost", dependency="ledgers", error=error)


def _unspent(shard: Shard) -> int:
    ledgers = shard.ledger_by_customer.values()
    return sum(ledger.prepaid - ledger.total_spent for ledger in ledgers)


def _prepaid_by_customer(table: RoutingTable) -> dict[str, int]:
    return {
        name: customer.prepaid
        for name, customer in table.customer_by_name.items()
        if customer.prepaid is not None
    }
