"""Renews all customers' slices: one write of the ledgers for many processes.

`budget.write_order` says who writes when.  Whoever does asks its peers for what they
have to tell and takes it along; a peer whose callers wait for tokens hands its renewals
over unasked.  A peer that gets no answer in time writes by itself.

What makes that safe is the condition of each write, as ever, and `budget.delegation`: a
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
from ragwortkeel.budget.clocks import Reading
from ragwortkeel.budget.renewal_replies import (
    apply_all_delegated,
    customers_to_report,
    failure_reply,
    success_reply,
)
from ragwortkeel.budget.shards import Shard
from ragwortkeel.budget.write_attempts import WriteAttempts
from ragwortkeel.budget.write_order import (
    RENEWAL_INTERVAL_SECONDS,
    FallbackWriter,
    backoff_seconds,
    latency_class_of,
    write_delay,
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

LONGEST_HAND_OVER_SECONDS = 1.0
"""How long callers' waiting tokens are left to the process that writes for all, at the
most; less while its answers are quick, see `policy.timeouts`."""

HAND_OVER_SECONDS = 0.04
"""What the first answers are taken to need: a batch, a write and the way."""

STEP_SHARE = 0.6
"""Of the wait for an answer, by which each further process of the order stands in
later."""

IDLE_TICK_SECONDS = 2.0
"""A process with nothing to renew is written for so often."""

JOIN_SECONDS = 0.3
"""How long a start waits for its peers before it writes by itself."""

STAND_IN_LOOK_SECONDS = 0.1
"""How often a process that nobody answered tries again to hand its renewals over."""

WRITE_WEIGHT = 0.3
"""Of the newest write in the mean time of a write: a link that has become slow shows
after three."""

LONGEST_WRITE_SECONDS = 1.0
"""A write counts for so long at the most; a longer one was an outage."""

GRANTS_SECONDS = 0.05
"""Pause between writes while a customer has no grant here: callers may wait."""

TRIES = 8
"""Of one write, while others come first; then it pauses, for a random time."""

TRIES_BESIDE_OTHERS = 2
"""The same where a peer could write for this process: a refusal shows that one does,
and a slow process that goes on trying is outrun for seconds."""

CLOCKS_WAIT_SECONDS = 1.5
"""How long a start after a loss of power waits for the clocks of its peers, which
may start at the same time: it takes them a second.  Without them up to three
seconds of demand are charged for nothing."""

_CAME_FIRST = (VersionConflict, AlreadyExists, ObjectNotFound)


class Group(Protocol):
    """The other processes that renew slices in the same ledgers."""

    def place(self) -> int:
        """Return how many of those that are heard come before this one."""

    def processes(self) -> int:
        """Return how many there are, heard now or not, this one included."""

    async def call_renewals(self) -> int:
        """Ask all for their renewals; return how many were asked."""

    async def hand_over(self, handed: HandedRenewals) -> str | None:
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
        self.merged = False
        self._allowances = allowances
        self._clocks = clocks
        self._group = group
        self._ledgers = LedgerStore(platform=platform)
        self._random = Random(allowances.holder)
        self._table: RoutingTable | None = None
        self._merges_by = monotonic() + CLOCKS_WAIT_SECONDS
        self._joins_by = monotonic() + JOIN_SECONDS
        self._stand_in = FallbackWriter(random=self._random)
        self._hand_over_timeout = AnswerTimeout(max_seconds=LONGEST_HAND_OVER_SECONDS)
        self._hand_over_timeout.record_answer(HAND_OVER_SECONDS)
        self._renewed_at = float("-inf")
        self._called_at = float("-inf")
        self._waits_until = 0.0
        self._refusals = 0
        self._write_seconds = 0.0
        self._wrote_last = False
        self._closing = False
        self._tries = WriteAttempts()
        self._starts: set[float] = set()
        self._seen: Shard | None = None
        self._handed_by_holder: dict[str, HandedRenewals] = {}
        self._asked = 0
        self._woken = curio.Event()
        self._gathered = curio.Event()
        self._changed = curio.Event()

    @property
    def writing_step(self) -> int:
        """How slowly this process writes, for the order of all."""
        return latency_class_of(self._write_seconds, reachable=self.reachable)

    def configure(self, table: RoutingTable) -> None:
        """Take over the budgets of a configuration at the next renewal."""
        self._table = table

    def grow(self) -> None:
        """Let the caps grow with the time since the last try to write."""
        latest = self._tries.latest
        if latest is not None:
            self._allowances.grow(self._clocks().min_seconds_since(latest))

    @property
    def seconds_to_growth(self) -> float:
        """Seconds until the caps begin to grow, if no renewal comes before."""
        latest = self._tries.latest
        if latest is None:
            return 0.0
        return max(0.0, GROWTH_DELAY_SECONDS - self._clocks().min_seconds_since(latest))

    async def wake(self) -> None:
        """Renew now: callers wait for tokens."""
        await self._woken.set()

    async def next_change(self, until: float) -> None:
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
            urgent = await self._due()
            if self._has_a_writer():
                outcome = await self._written_by_another()
                if outcome is not WriteOutcome.UNKNOWN:
                    continue
                if not self._may_stand_in():
                    if urgent:
                        await self._woken.set()
                    continue
            await self._write_for_all(calls=not urgent)

    async def close(self) -> bool:
        """Give all slices back; a request that is still open is charged at its most."""
        self._closing = True
        self._allowances.charge_open()
        for refusals in range(TRIES):
            try:
                shard = await self._ledgers.read(stale=False)
                self._allowances.resolve(shard)
                await self._ledgers.write(self._allowances.closed(shard))
            except VersionConflict:
                await curio.sleep(backoff_seconds(refusals, self._random))
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
        if not self._may_hand_over():
            return None
        reading = self._clocks()
        handed = self._handed(reading, urgent=False)
        recent = monotonic() - self._renewed_at < IDLE_TICK_SECONDS
        if self.merged and recent and not handed.renewal_by_customer:
            self._called_at = monotonic()
            return None
        self._tries.record_attempt(reading, delegated=True)
        return handed

    async def heard(self, handed: HandedRenewals) -> None:
        """Take in a peer's renewals for the next write."""
        if not self.reachable and monotonic() < self._waits_until:
            answer = failure_reply(handed, WriteOutcome.UNREACHABLE)
            await self._group.answer(handed.holder, answer)
            return
        self._handed_by_holder[handed.holder] = handed
        if len(self._handed_by_holder) >= self._asked:
            await self._gathered.set()
        if handed.urgent:
            await self._woken.set()

    async def written(self, answer: RenewalsWritten) -> None:
        """Take in what became of renewals that were handed over."""
        match answer.outcome:
            case WriteOutcome.UNKNOWN:
                return
            case WriteOutcome.NOT_DONE:
                self._tries.record_failure(answer.boot)
                self._withdraw()
                # A start may be void for what it has not seen of other starts.
                self._seen = None
            case WriteOutcome.UNREACHABLE:
                self._tries.record_failure(answer.boot)
                self._withdraw()
                self._note_reachable(False, "said a peer that writes for this one")
                self._waits_until = monotonic() + RETRY_SECONDS
            case WriteOutcome.DONE:
                self._take(answer)
        await self._changed.set()

    def _take(self, answer: RenewalsWritten) -> None:
        now = monotonic()
        handed = self._tries.get_delegated(answer.boot)
        if handed is not None:
            self._allowances.record_renewal_seconds(now - handed.monotonic)
            self.read_at = handed.monotonic
        self._allowances.receive_written(answer)
        if handed is not None:
            self._allowances.record_read(answer.summary_by_customer, handed.monotonic)
        if not self.merged and answer.boot in self._starts:
            self.merged = True
            self._log_predecessors(self._seen)
        self._tries.record_success(answer.boot)
        self._wrote_last = False
        self._note_reachable(True, "")
        self._called_at = now
        if answer.revision >= self._revision:
            self._renewed_at = now

    # When to write.

    @property
    def _revision(self) -> int:
        return self._table.configuration.revision if self._table else 0

    def _may_hand_over(self) -> bool:
        """Whether a write by a peer does all that one by this process would."""
        if self._table is None or self._closing:
            return False
        if self.merged:
            return True
        # A start has to have seen the ledgers, and to know the time if it may.
        return self._seen is not None and self._may_merge(self._seen, self._clocks())

    def _due_in(self) -> float:
        now = monotonic()
        if self._table is None or self._closing:
            return RETRY_SECONDS
        pause = RENEWAL_INTERVAL_SECONDS
        if self._may_hand_over():
            step = STEP_SHARE * self._hand_over_timeout.seconds
            pause = write_delay(self._group.place(), rank_delay_seconds=step)
        elif self._awaits_peers(now):
            return min(GRANTS_SECONDS, self._joins_by - now)
        elif self._allowances.lacks_grants(_prepaid(self._table)):
            pause = GRANTS_SECONDS
        renewed_at = max(self._renewed_at, self._called_at)
        return max(renewed_at + pause, self._waits_until) - now

    def _awaits_peers(self, now: float) -> bool:
        """Whether this process has just started and may soon hear its peers."""
        unheard = not self._group.place() and self._group.processes() > 1
        return not self.merged and unheard and now < self._joins_by

    async def _due(self) -> bool:
        """Wait until this process has to write; return whether callers wait."""
        while (seconds := self._due_in()) > 0:
            async with curio.ignore_after(seconds):
                await self._woken.wait()
            if self._woken.is_set() and self._table is not None:
                backoff = max(0.0, self._waits_until - monotonic())
                await curio.sleep(backoff)
                break
        urgent = self._woken.is_set()
        self._woken.clear()
        return urgent

    # Handing over.

    def _handed(self, reading: Reading, *, urgent: bool) -> HandedRenewals:
        start = None
        if not self.merged:
            start = self._allowances.start(self._seen)
            self._starts.add(reading.boot)
        return self._allowances.delegate_renewals(reading, urgent=urgent, start=start)

    def _has_a_writer(self) -> bool:
        """Whether another process is to write for this one.

        Not where peers have handed their renewals over to this process.
        """
        return not self._handed_by_holder and self._group.place() > 0

    async def _written_by_another(self) -> WriteOutcome:
        """Let the first of all write; return what became of it."""
        if not self.merged and self._seen is None and not await self._read_ledgers():
            return WriteOutcome.UNREACHABLE
        if not self._may_hand_over():
            await curio.sleep(GRANTS_SECONDS)
            return WriteOutcome.UNKNOWN
        outcome = await self._hand_over()
        if outcome is not WriteOutcome.UNKNOWN:
            self._stand_in.reset()
        return outcome

    def _may_stand_in(self) -> bool:
        processes = self._group.processes()
        return self._stand_in.may_write(processes=processes, now=monotonic())

    async def _read_ledgers(self) -> bool:
        """Read the ledgers, which a start has to know; return whether it could."""
        try:
            self._seen = await self._ledgers.read(stale=False)
        except PlatformUnavailable as exc:
            self._note_reachable(False, str(exc))
            self._waits_until = monotonic() + RETRY_SECONDS
            return False
        except LedgerError as exc:
            log_error("renewal_failed", error=repr(exc))
            self._waits_until = monotonic() + RETRY_SECONDS
            return False
        self._allowances.resolve(self._seen)
        return True

    async def _hand_over(self) -> WriteOutcome:
        """Let the first of all write; return what became of it, if it answered."""
        reading = self._clocks()
        handed = self._handed(reading, urgent=True)
        self._tries.record_attempt(reading, delegated=True)
        boot, begun = reading.boot, monotonic()
        writer = await self._group.hand_over(handed)
        if writer is None:
            self._tries.record_failure(boot)
            await curio.sleep(STAND_IN_LOOK_SECONDS)
            return WriteOutcome.UNKNOWN
        patience = self._hand_over_timeout.seconds
        answered = await self._answered_by(boot, begun + patience)
        if not answered and await self._group.responds(writer):
            # It writes, and the platform or the way there is slow.  Another process
            # would be no quicker, and its write would void this one's.
            patience = LONGEST_HAND_OVER_SECONDS
            answered = await self._answered_by(boot, begun + patience)
        if answered:
            self._hand_over_timeout.record_answer(monotonic() - begun)
            return WriteOutcome.DONE
        log_info("renewals_unanswered", writer=writer, seconds=round(patience, 3))
        self._hand_over_timeout.record_timeout()
        self._group.avoid(writer)
        return WriteOutcome.UNKNOWN

    async def _answered_by(self, boot: float, until: float) -> bool:
        """Wait for the answer to a hand-over, at most until a monotonic second."""
        while self._tries.get_delegated(boot) and monotonic() < until:
            await self.next_change(until)
        return not self._tries.get_delegated(boot)

    def _withdraw(self) -> None:
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
        if calls and self.reachable and self._may_hand_over():
            await self._gather()
        elif not calls:
            await curio.sleep(BATCH_SECONDS)
            self._woken.clear()
        handed_by_holder, self._handed_by_holder = self._handed_by_holder, {}
        outcome, shard, refused = await self._write(handed_by_holder)
        took = monotonic() - begun
        log_debug(
            "ledgers_written",
            outcome=outcome,
            handed=len(handed_by_holder),
            refused=len(refused),
            took=round(took, 3),
        )
        if outcome is WriteOutcome.DONE:
            self._allowances.record_renewal_seconds(took)
        if outcome is WriteOutcome.DONE and calls:
            # Writes for waiting callers don't put off the one for all, and its own
            # time counts as pause: others write where it comes later than theirs.
            self._renewed_at = begun
        await self._changed.set()
        await self._tell(outcome, shard, handed_by_holder, refused)

    async def _gather(self) -> None:
        self._gathered.clear()
        self._asked = await self._group.call_renewals()
        if self._asked:
            async with curio.ignore_after(GATHER_SECONDS):
                await self._gathered.wait()
        self._asked = 0

    async def _tell(
        self,
        outcome: WriteOutcome,
        shard: Shard,
        handed_by_holder: dict[str, HandedRenewals],
        refused: set[str],
    ) -> None:
        done = outcome is WriteOutcome.DONE
        summaries = {}
        if done:
            written = handed_by_holder.values()
            names = {
                name for one in written for name in customers_to_report(one, shard)
            }
            summaries = shard.summaries(names)
        for holder, handed in handed_by_holder.items():
            if holder in refused:
                answer = failure_reply(handed, WriteOutcome.NOT_DONE)
            elif done:
                answer = success_reply(shard, handed, summaries)
            else:
                answer = failure_reply(handed, outcome)
            await self._group.answer(holder, answer)

    async def _write(
        self, handed_by_holder: dict[str, HandedRenewals]
    ) -> tuple[WriteOutcome, Shard, set[str]]:
        """Write; return the outcome, the ledgers and whose renewals are void."""
        try:
            shard, refused = await self._write_until_first(handed_by_holder)
        except PlatformUnavailable as exc:
            self._withdraw()
            self._note_reachable(False, str(exc))
            self._waits_until = monotonic() + RETRY_SECONDS
            return WriteOutcome.UNREACHABLE, Shard(), set()
        except OutcomeUnknown as exc:
            # The ledger itself tells what holds, so look again at once.
            log_info("renewal_repeated", error=repr(exc))
            await self._woken.set()
            return WriteOutcome.UNKNOWN, Shard(), set()
        except _CAME_FIRST as exc:
            self._wrote_last = False
            log_info("renewal_repeated", error=repr(exc), refusals=self._refusals)
            pause = backoff_seconds(self._refusals, self._random)
            self._waits_until = monotonic() + pause
            return WriteOutcome.NOT_DONE, Shard(), set()
        except (LedgerError, RouterSealed) as exc:
            log_error("renewal_failed", error=repr(exc))
            self._waits_until = monotonic() + RETRY_SECONDS
            return WriteOutcome.NOT_DONE, Shard(), set()
        self._note_reachable(True, "")
        return WriteOutcome.DONE, shard, refused

    async def _write_until_first(
        self, handed_by_holder: dict[str, HandedRenewals]
    ) -> tuple[Shard, set[str]]:
        """Write, from what each refusal brings along, until nobody comes first.

        A refused write means that another was done, so a crowd gets through one by
        one; a pause here would only make what the refusal brought old.
        """
        self._ledgers.forget_refusal()
        beside_others = self._may_hand_over() and self._group.place() > 0
        tries = TRIES_BESIDE_OTHERS if beside_others else TRIES
        for _ in range(tries - 1):
            try:
                return await self._write_once(handed_by_holder)
            except _CAME_FIRST:
                self._wrote_last = False
                self._refusals += 1
        return await self._write_once(handed_by_holder)

    async def _write_once(
        self, handed_by_holder: dict[str, HandedRenewals]
    ) -> tuple[Shard, set[str]]:
        allowances = self._allowances
        shard = await self._ledgers.read(trusts_own=self._wrote_last)
        allowances.resolve(shard)
        self._seen = None if self.merged else shard
        if self._ledgers.outran:
            self._tries.record_own_failures()
            if not self._tries.any_delegated:
                # One made from an older ledger asks for what is no longer there.
                allowances.withdraw()
        reading = self._clocks()
        renewed = shard.provisioned(_prepaid(self._table), self._revision)
        merges = not self.merged and self._may_merge(renewed, reading)
        before = renewed
        if merges:
            renewed = allowances.charge_predecessors(renewed)
        renewed = allowances.renewed(renewed, reading)
        renewed, refused = apply_all_delegated(renewed, handed_by_holder)
        self._tries.record_attempt(reading, delegated=False)
        begun = monotonic()
        try:
            await self._ledgers.write(renewed)
        except OutcomeUnknown:
            raise
        except ClientError:
            self._tries.record_failure(reading.boot)
            raise
        finally:
            self._wrote_in(monotonic() - begun)
        allowances.resolve(renewed)
        if merges:
            self._log_predecessors(before)
        self.merged = self.merged or merges
        self._tries.record_success(reading.boot)
        self._wrote_last = True
        self._refusals = 0
        self.read_at = reading.monotonic
        allowances.record_read(renewed.ledger_by_customer, reading.monotonic)
        return renewed, refused

    def _wrote_in(self, seconds: float) -> None:
        seconds = min(seconds, LONGEST_WRITE_SECONDS)
        self._write_seconds += (seconds - self._write_seconds) * WRITE_WEIGHT

    def _may_merge(self, shard: Shard, reading: Reading) -> bool:
        """Whether to charge predecessors now, or wait for the peers' clocks."""
        self._allowances.bound_start_time(reading)
        return monotonic() >= self._merges_by or not self._allowances.lacks_fleet_time(
            shard
        )

    def _log_predecessors(self, shard: Shard) -> None:
        merged = self._allowances.charge_predecessors(shard)
        unspent = _unspent(merged)
        for one in self._allowances.predecessors(shard):
            log_info(
                "predecessor_charged",
                holder=one.holder,
                last_write_age=one.age_seconds,
                granted=one.granted,
                told=one.reported,
                unspent_before=_unspent(shard),
                unspent_after=unspent,
                prepaid=sum(one.prepaid for one in shard.ledger_by_customer.values()),
            )

    def _note_reachable(self, reachable: bool, error: str) -> None:
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


def _prepaid(table: RoutingTable) -> dict[str, int]:
    return {
        name: customer.prepaid
        for name, customer in table.customer_by_name.items()
        if customer.prepaid is not None
    }
