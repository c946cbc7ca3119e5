"""Renewal of all customers' slices; one write of the ledgers serves many processes.

`budget.write_order` decides which process writes next.  The first writer requests the
renewals of its peers and writes them together with its own.  A process whose callers
wait for tokens delegates its renewals without such a request.  A process that receives
no outcome in time writes by itself.

Each write is conditional on the version of the ledgers that was read.  A delayed
message with delegated renewals is void once its sender has written anything later, see
`budget.delegation`.  Until a process knows that, it withdraws no delegated renewal.
"""

from collections.abc import Callable
from random import Random
from time import monotonic
from typing import Protocol

import curio

from ragwortkeel.budget.allowance import Allowances
from ragwortkeel.budget.clocks import Reading
from ragwortkeel.budget.exposure import GROWTH_DELAY_SECONDS
from ragwortkeel.budget.gone_holders import HolderWatch, close_gone
from ragwortkeel.budget.renewal_replies import (
    apply_all_delegated,
    failure_reply,
    written_replies,
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
"""Backoff after a failed call: each call is paid for, also in an outage."""

GATHER_SECONDS = 0.03
"""How long a writer waits for the renewals that it has requested.

Between availability zones a message takes 3 ms, plus processor time.  Renewals that
arrive later are part of the next write.
"""

BATCH_SECONDS = 0.02
"""How long a write for waiting callers is delayed to include more of them.

Most requests exceed the headroom that a cap leaves, so with one write for each, the
calls of the platform would grow with the requests.  The delay is short against the
callers' latency objectives of 0.3 s and more.
"""

MAX_DELEGATION_SECONDS = 1.0
"""Longest wait for the outcome of renewals that were delegated for waiting callers.

The wait is shorter while outcomes arrive fast, see `policy.timeouts`.
"""

INITIAL_DELEGATION_SECONDS = 0.04
"""Assumed time until the first outcome: a batch, a write and the transmission."""

RANK_DELAY_FRACTION = 0.6
"""Extra delay of each further process of the write order before it writes.

It is a fraction of the current wait for an outcome.
"""

IDLE_RENEWAL_SECONDS = 2.0
"""How often the stamp of a process with nothing to renew is written."""

START_PEER_WAIT_SECONDS = 0.3
"""How long a process waits for its peers after its start before it writes."""

DELEGATION_RETRY_SECONDS = 0.1
"""Wait before the next attempt, after renewals could not be sent to a writer."""

WRITE_MEAN_WEIGHT = 0.3
"""Weight of the newest write in the moving mean of the writes' durations.

A link that has become slow shows after three writes.
"""

MAX_WRITE_SECONDS = 1.0
"""Upper bound of one write's duration in the mean; a longer one is an outage."""

GRANT_RETRY_SECONDS = 0.05
"""Interval of writes while a customer has no grant here: callers may wait."""

MAX_WRITE_ATTEMPTS = 8
"""Attempts at one write while other processes write first; a random backoff follows."""

MAX_ATTEMPTS_WITH_OTHER_WRITER = 2
"""Attempts at one write if a peer could write for this process.

A refused write shows that a peer is writing, and the attempts of a slow process could
be refused for seconds.
"""

START_CLOCK_WAIT_SECONDS = 1.5
"""How long a process waits for its peers' clocks after a loss of power.

Peers that start at the same time need about 1 s.  Without their clocks up to 3 s of
demand that was never spent are charged.
"""

CLOSED_DOUBT_SECONDS = 5.0
"""Time without a renewal after which refused renewals may mean closed grants.

Other processes close them only after longer, see `budget.gone_holders`.
"""

_CONFLICTS = (VersionConflict, AlreadyExists, ObjectNotFound)


class RenewalPeers(Protocol):
    """The peers that renew slices in the same ledgers."""

    def rank(self) -> int:
        """Return how many reachable peers precede this process in the write order."""

    def process_count(self) -> int:
        """Return the number of processes, reachable or not, including this one."""

    async def request_renewals(self) -> int:
        """Request the renewals of all peers; return the number of requests."""

    async def delegate(self, delegated: HandedRenewals) -> str | None:
        """Send renewals to the first writer; return its address, None if not sent."""

    async def responds(self, address: str) -> bool:
        """Return whether a process is live."""

    def avoid(self, address: str) -> None:
        """Delegate nothing to a process for a while, because it did not write."""

    async def send_outcome(self, holder: str, answer: RenewalsWritten) -> None:
        """Send a process the outcome of the renewals that it delegated."""


class Renewals:
    """Renews the slices of one process, by its own writes or those of peers.

    Parameters
    ----------
    platform : Platform
        Stores the ledgers.
    clocks : callable
        Returns a reading of all clocks, with the bounds of fleet time.

    Attributes
    ----------
    reachable : bool
        Whether the last renewal with a known outcome reached the ledgers.
    read_at : float
        Monotonic second at which the newest ledgers known here were read.
    predecessors_charged : bool
        Whether earlier starts of this process have been charged.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        allowances: Allowances,
        clocks: Callable[[], Reading],
        peers: RenewalPeers,
    ) -> None:
        self.reachable = True
        self.read_at = float("-inf")
        self.predecessors_charged = False
        self._allowances = allowances
        self._clocks = clocks
        self._peers = peers
        self._ledgers = LedgerStore(platform=platform)
        self._random = Random(allowances.holder)
        self._table: RoutingTable | None = None
        self._clocks_awaited_until = monotonic() + START_CLOCK_WAIT_SECONDS
        self._peers_awaited_until = monotonic() + START_PEER_WAIT_SECONDS
        self._fallback = FallbackWriter(random=self._random)
        self._delegation_timeout = AnswerTimeout(max_seconds=MAX_DELEGATION_SECONDS)
        self._delegation_timeout.record_answer(INITIAL_DELEGATION_SECONDS)
        self._renewed_at = float("-inf")
        self._collected_at = float("-inf")
        self._backoff_until = 0.0
        self._refusals = 0
        self._mean_write_seconds = 0.0
        self._wrote_newest = False
        self._closing = False
        self._attempts = WriteAttempts()
        self._watch = HolderWatch()
        self._doubts_grants = False
        self._start_boots: set[float] = set()
        self._start_shard: Shard | None = None
        self._delegated_by_holder: dict[str, HandedRenewals] = {}
        self._requested_count = 0
        self._write_requested = curio.Event()
        self._gathered = curio.Event()
        self._changed = curio.Event()

    @property
    def writing_step(self) -> int:
        """How slowly this process writes, which determines the write order."""
        return latency_class_of(self._mean_write_seconds, reachable=self.reachable)

    def configure(self, table: RoutingTable) -> None:
        """Set the configuration whose budgets the next renewal applies."""
        self._table = table

    def grow(self) -> None:
        """Grow the caps by the time since the last attempt that may have succeeded."""
        latest = self._attempts.latest
        if latest is not None:
            self._allowances.grow(self._clocks().min_seconds_since(latest))

    @property
    def seconds_to_growth(self) -> float:
        """Seconds until the caps begin to grow, if no renewal succeeds before."""
        latest = self._attempts.latest
        if latest is None:
            return 0.0
        return max(0.0, GROWTH_DELAY_SECONDS - self._clocks().min_seconds_since(latest))

    async def wake(self) -> None:
        """Request a renewal now, because callers wait for tokens."""
        await self._write_requested.set()

    async def wait_for_change(self, until: float) -> None:
        """Wait for the next renewal or loan, or until a monotonic second."""
        self._changed.clear()
        async with curio.ignore_after(max(0.0, until - monotonic())):
            await self._changed.wait()

    async def notify_waiters(self) -> None:
        """Wake the requests that wait for tokens."""
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
            await self._write_for_all(requests_renewals=not urgent)

    async def close(self) -> bool:
        """Return all slices; a request that is still open is charged its maximum."""
        self._closing = True
        self._allowances.charge_open()
        for refusals in range(MAX_WRITE_ATTEMPTS):
            try:
                shard = await self._ledgers.read(stale=False)
                self._allowances.resolve(shard)
                await self._ledgers.write(self._allowances.closed(shard))
            except _CONFLICTS:
                await curio.sleep(backoff_seconds(refusals, self._random))
            except (ClientError, LedgerError, RouterSealed) as exc:
                # The unspent tokens stay charged: safe, but customers have fewer.
                log_warning("slices_not_returned", error=str(exc))
                return False
            else:
                log_info("slices_returned", holder=self._allowances.holder)
                return True
        log_warning("slices_not_returned", error="other processes wrote first")
        return False

    # Messages of peers.

    def receive_renewal_call(self) -> HandedRenewals | None:
        """Return the renewals for a peer that is about to write, None for none."""
        if not self._may_delegate():
            return None
        reading = self._clocks()
        delegated = self._delegated_renewals(reading, urgent=False)
        recent = monotonic() - self._renewed_at < IDLE_RENEWAL_SECONDS
        if self.predecessors_charged and recent and not delegated.renewal_by_customer:
            self._collected_at = monotonic()
            return None
        self._attempts.record_attempt(reading, delegated=True)
        return delegated

    async def receive_renewals(self, delegated: HandedRenewals) -> None:
        """Receive a peer's renewals for the next write."""
        if not self.reachable and monotonic() < self._backoff_until:
            answer = failure_reply(delegated, WriteOutcome.UNREACHABLE)
            await self._peers.send_outcome(delegated.holder, answer)
            return
        self._delegated_by_holder[delegated.holder] = delegated
        if len(self._delegated_by_holder) >= self._requested_count:
            await self._gathered.set()
        if delegated.urgent:
            await self._write_requested.set()

    async def receive_renewals_written(self, answer: RenewalsWritten) -> None:
        """Receive the outcome of delegated renewals."""
        if not self._is_addressee(answer):
            log_info("outcome_of_another_start", holder=answer.holder)
            return
        match answer.outcome:
            case WriteOutcome.UNKNOWN:
                return
            case WriteOutcome.NOT_DONE:
                self._attempts.record_failure(answer.boot)
                self._withdraw_renewals()
                # A `Start` that lacks another start of this process is void.
                self._start_shard = None
                self._doubts_grants = self._may_have_lost_grants()
            case WriteOutcome.UNREACHABLE:
                self._attempts.record_failure(answer.boot)
                self._withdraw_renewals()
                self._set_reachable(
                    False, "reported by the peer that writes for this process"
                )
                self._backoff_until = monotonic() + RETRY_SECONDS
            case WriteOutcome.DONE:
                self._apply_outcome(answer)
        await self._changed.set()

    def _is_addressee(self, answer: RenewalsWritten) -> bool:
        """Return whether this start delegated the renewals that an answer is to."""
        if answer.holder:
            return answer.holder == self._allowances.holder
        return self._attempts.get_delegated(answer.boot) is not None

    def _apply_outcome(self, answer: RenewalsWritten) -> None:
        now = monotonic()
        reading = self._attempts.get_delegated(answer.boot)
        if reading is not None:
            self._allowances.record_renewal_seconds(now - reading.monotonic)
            self.read_at = reading.monotonic
        self._allowances.receive_written(answer)
        if reading is not None:
            self._allowances.record_read(answer.summary_by_customer, reading.monotonic)
        if not self.predecessors_charged and answer.boot in self._start_boots:
            self.predecessors_charged = True
            self._log_predecessors(self._start_shard)
        self._attempts.record_success(answer.boot)
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
        """Return whether a peer's write would renew all that an own write would."""
        if self._table is None or self._closing:
            return False
        if self.predecessors_charged:
            return True
        # After a start the ledgers have to be read first, and the fleet time awaited.
        return self._start_shard is not None and self._may_charge_predecessors(
            self._start_shard, self._clocks()
        )

    def _seconds_until_due(self) -> float:
        now = monotonic()
        if self._table is None or self._closing:
            return RETRY_SECONDS
        interval = RENEWAL_INTERVAL_SECONDS
        if self._may_delegate():
            delay = RANK_DELAY_FRACTION * self._delegation_timeout.seconds
            interval = write_delay(self._peers.rank(), rank_delay_seconds=delay)
        elif self._awaits_peers(now):
            return min(GRANT_RETRY_SECONDS, self._peers_awaited_until - now)
        elif self._allowances.lacks_grants(_prepaid_by_customer(self._table)):
            interval = GRANT_RETRY_SECONDS
        renewed_at = max(self._renewed_at, self._collected_at)
        return max(renewed_at + interval, self._backoff_until) - now

    def _awaits_peers(self, now: float) -> bool:
        """Return whether to wait for the first links to peers after the start."""
        no_peer_reachable = not self._peers.rank() and self._peers.process_count() > 1
        return (
            not self.predecessors_charged
            and no_peer_reachable
            and now < self._peers_awaited_until
        )

    async def _wait_until_due(self) -> bool:
        """Wait until a write is due; return whether callers wait for it."""
        while (seconds := self._seconds_until_due()) > 0:
            if self._table is None:
                # A requested write has to wait for the configuration as well.
                await curio.sleep(GRANT_RETRY_SECONDS)
                continue
            async with curio.ignore_after(seconds):
                await self._write_requested.wait()
            if self._write_requested.is_set():
                backoff = max(0.0, self._backoff_until - monotonic())
                await curio.sleep(backoff)
                break
        urgent = self._write_requested.is_set()
        self._write_requested.clear()
        return urgent

    # Delegation.

    def _delegated_renewals(self, reading: Reading, *, urgent: bool) -> HandedRenewals:
        start = None
        if not self.predecessors_charged:
            start = self._allowances.start(self._start_shard)
            self._start_boots.add(reading.boot)
        return self._allowances.delegate_renewals(reading, urgent=urgent, start=start)

    def _has_preferred_writer(self) -> bool:
        """Return whether another process is to write for this one.

        That is never the case while peers have delegated their renewals to this one.
        """
        return not self._delegated_by_holder and self._peers.rank() > 0

    async def _try_delegation(self) -> WriteOutcome:
        """Delegate to the first writer as soon as possible; return the outcome."""
        if (
            not self.predecessors_charged
            and self._start_shard is None
            and not await self._read_ledgers()
        ):
            return WriteOutcome.UNREACHABLE
        if not self._may_delegate():
            await curio.sleep(GRANT_RETRY_SECONDS)
            return WriteOutcome.UNKNOWN
        if self._doubts_grants and not await self._read_ledgers():
            return WriteOutcome.UNREACHABLE
        if not self._may_delegate():
            # The ledgers show that this process has to start again.
            return WriteOutcome.UNKNOWN
        outcome = await self._delegate()
        if outcome is not WriteOutcome.UNKNOWN:
            self._fallback.reset()
        return outcome

    def _may_write_as_fallback(self) -> bool:
        processes = self._peers.process_count()
        return self._fallback.may_write(processes=processes, now=monotonic())

    async def _read_ledgers(self) -> bool:
        """Read the ledgers after a start; return whether that succeeded."""
        try:
            self._start_shard = await self._ledgers.read(stale=False)
        except PlatformUnavailable as exc:
            self._set_reachable(False, str(exc))
            self._backoff_until = monotonic() + RETRY_SECONDS
            return False
        except (ClientError, LedgerError) as exc:
            log_error("renewal_failed", error=repr(exc))
            self._backoff_until = monotonic() + RETRY_SECONDS
            return False
        self._allowances.resolve(self._start_shard)
        self._doubts_grants = False
        self._begin_again_if_closed(self._start_shard)
        return True

    def _may_have_lost_grants(self) -> bool:
        """Return whether other processes may have closed grants of this one."""
        last = self._attempts.last_success
        return last is None or self._clocks().boot - last.boot > CLOSED_DOUBT_SECONDS

    def _begin_again_if_closed(self, shard: Shard) -> None:
        """Go on as a new start of this process if its grants have been closed."""
        if not self._may_have_lost_grants() or not self._allowances.lost_grants(shard):
            return
        log_warning("grants_closed", holder=self._allowances.holder)
        self._allowances.begin_again(self._clocks())
        self._attempts = WriteAttempts()
        self._start_boots = set()
        self.predecessors_charged = False

    async def _delegate(self) -> WriteOutcome:
        """Delegate to the first writer; return the outcome, if it arrives in time."""
        reading = self._clocks()
        delegated = self._delegated_renewals(reading, urgent=True)
        self._attempts.record_attempt(reading, delegated=True)
        boot, begun = reading.boot, monotonic()
        writer = await self._peers.delegate(delegated)
        if writer is None:
            self._attempts.record_failure(boot)
            await curio.sleep(DELEGATION_RETRY_SECONDS)
            return WriteOutcome.UNKNOWN
        wait_seconds = self._delegation_timeout.seconds
        answered = await self._wait_for_outcome(boot, begun + wait_seconds)
        if not answered and await self._peers.responds(writer):
            # The writer is live, so the platform or the link to it is slow.  A write by
            # another process would be as slow, and it would void the running one.
            wait_seconds = MAX_DELEGATION_SECONDS
            answered = await self._wait_for_outcome(boot, begun + wait_seconds)
        if answered:
            self._delegation_timeout.record_answer(monotonic() - begun)
            return WriteOutcome.DONE
        log_info("renewals_unanswered", writer=writer, seconds=round(wait_seconds, 3))
        self._delegation_timeout.record_timeout()
        self._peers.avoid(writer)
        return WriteOutcome.UNKNOWN

    async def _wait_for_outcome(self, boot: float, until: float) -> bool:
        """Wait for the outcome of a delegation, at most until a monotonic second."""
        while self._attempts.get_delegated(boot) and monotonic() < until:
            await self.wait_for_change(until)
        return not self._attempts.get_delegated(boot)

    def _withdraw_renewals(self) -> None:
        """Withdraw the renewals that certainly were and will be written by nobody.

        The tokens that they would return are usable again: callers need them in an
        outage.  Nothing is withdrawn while an own write with the same renewals may
        still succeed: the tokens that it returns would be spent here as well.
        """
        if not self._ledgers.in_doubt and not self._attempts.any_open:
            self._allowances.withdraw()

    # Writing.

    async def _write_for_all(self, *, requests_renewals: bool) -> None:
        begun = monotonic()
        if requests_renewals and self.reachable and self._may_delegate():
            await self._gather_renewals()
        elif not requests_renewals:
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
            self._allowances.record_renewal_seconds(seconds)
        if outcome is WriteOutcome.DONE and requests_renewals:
            # A write for waiting callers doesn't delay the next regular one.  The
            # interval includes the write's own duration: after a longer one the next
            # processes of the write order would write first.
            self._renewed_at = begun
        await self._changed.set()
        await self._report_outcomes(outcome, shard, delegated_by_holder, refused)

    async def _gather_renewals(self) -> None:
        self._gathered.clear()
        self._requested_count = await self._peers.request_renewals()
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
        if outcome is WriteOutcome.DONE:
            replies = written_replies(shard, delegated_by_holder, refused)
        else:
            replies = (
                (holder, failure_reply(delegated, outcome))
                for holder, delegated in delegated_by_holder.items()
            )
        for holder, reply in replies:
            await self._peers.send_outcome(holder, reply)

    async def _try_write(
        self, delegated_by_holder: dict[str, HandedRenewals]
    ) -> tuple[WriteOutcome, Shard, set[str]]:
        """Write; return the outcome, the ledgers and the holders that were refused."""
        try:
            shard, refused = await self._write_with_retries(delegated_by_holder)
        except PlatformUnavailable as exc:
            self._withdraw_renewals()
            self._set_reachable(False, str(exc))
            self._backoff_until = monotonic() + RETRY_SECONDS
            return WriteOutcome.UNREACHABLE, Shard(), set()
        except OutcomeUnknown as exc:
            # The ledgers show whether the write took effect: read them at once.
            log_info("renewal_repeated", error=repr(exc))
            await self._write_requested.set()
            return WriteOutcome.UNKNOWN, Shard(), set()
        except _CONFLICTS as exc:
            self._wrote_newest = False
            log_info("renewal_repeated", error=repr(exc), refusals=self._refusals)
            backoff = backoff_seconds(self._refusals, self._random)
            self._backoff_until = monotonic() + backoff
            return WriteOutcome.NOT_DONE, Shard(), set()
        except (ClientError, LedgerError, RouterSealed) as exc:
            log_error("renewal_failed", error=repr(exc))
            self._backoff_until = monotonic() + RETRY_SECONDS
            return WriteOutcome.NOT_DONE, Shard(), set()
        self._set_reachable(True, "")
        return WriteOutcome.DONE, shard, refused

    async def _write_with_retries(
        self, delegated_by_holder: dict[str, HandedRenewals]
    ) -> tuple[Shard, set[str]]:
        """Write until no other process writes first, at most a few times.

        Each attempt starts from the ledgers that came with the previous refusal.  A
        refusal means that another process's write succeeded, so all processes succeed
        one after another.  With a backoff in between, the ledgers that came with the
        refusal would be outdated.
        """
        self._ledgers.discard_conflict()
        has_other_writer = self._may_delegate() and self._peers.rank() > 0
        attempts = (
            MAX_ATTEMPTS_WITH_OTHER_WRITER if has_other_writer else MAX_WRITE_ATTEMPTS
        )
        for _ in range(attempts - 1):
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
        self._begin_again_if_closed(shard)
        self._start_shard = None if self.predecessors_charged else shard
        if self._ledgers.writes_superseded:
            self._attempts.record_own_failures()
            if not self._attempts.any_delegated:
                # Renewals that were made from older ledgers may request tokens that
                # are no longer left.
                allowances.withdraw()
        reading = self._clocks()
        renewed = shard.provisioned(_prepaid_by_customer(self._table), self._revision)
        charges = not self.predecessors_charged and self._may_charge_predecessors(
            renewed, reading
        )
        uncharged = renewed
        if charges:
            renewed = allowances.charge_predecessors(renewed)
        renewed = allowances.renewed(renewed, reading)
        renewed, refused = apply_all_delegated(renewed, delegated_by_holder)
        before_closes = renewed
        gone = self._watch.gone(renewed, holder=allowances.holder, reading=reading)
        renewed = close_gone(renewed, gone)
        self._attempts.record_attempt(reading, delegated=False)
        begun = monotonic()
        try:
            await self._ledgers.write(renewed)
        except OutcomeUnknown:
            raise
        except ClientError:
            self._attempts.record_failure(reading.boot)
            raise
        finally:
            self._record_write(monotonic() - begun)
        allowances.resolve(renewed)
        if charges:
            self._log_predecessors(uncharged)
        for holder in gone:
            log_info(
                "gone_holder_closed",
                holder=holder,
                unspent_before=_unspent(before_closes),
                unspent_after=_unspent(renewed),
            )
        self.predecessors_charged = self.predecessors_charged or charges
        self._attempts.record_success(reading.boot)
        self._wrote_newest = True
        self._refusals = 0
        self.read_at = reading.monotonic
        allowances.record_read(renewed.ledger_by_customer, reading.monotonic)
        return renewed, refused

    def _record_write(self, seconds: float) -> None:
        seconds = min(seconds, MAX_WRITE_SECONDS)
        self._mean_write_seconds += (
            seconds - self._mean_write_seconds
        ) * WRITE_MEAN_WEIGHT

    def _may_charge_predecessors(self, shard: Shard, reading: Reading) -> bool:
        """Return whether to charge predecessors now, or to await peers' clocks."""
        self._allowances.bound_start_time(reading)
        return (
            monotonic() >= self._clocks_awaited_until
            or not self._allowances.lacks_fleet_time(shard)
        )

    def _log_predecessors(self, shard: Shard) -> None:
        charged = self._allowances.charge_predecessors(shard)
        unspent = _unspent(charged)
        for predecessor in self._allowances.predecessors(shard):
            log_info(
                "predecessor_charged",
                holder=predecessor.holder,
                last_write_age=predecessor.age_seconds,
                granted=predecessor.granted,
                told=predecessor.reported,
                unspent_before=_unspent(shard),
                unspent_after=unspent,
                prepaid=sum(
                    ledger.prepaid for ledger in shard.ledger_by_customer.values()
                ),
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
