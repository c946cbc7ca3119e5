"""Tests of the budget keeper with an in-process platform that can fail."""

from functools import partial
from time import monotonic

import curio
import pytest

from ragwortkeel.budget.ledger import Ledger, decode_ledger, encode_ledger
from ragwortkeel.configuration import LEDGERS, Spread
from ragwortkeel.exceptions import (
    BudgetExhausted,
    BudgetUnreachable,
    ExposureFull,
    ValueRefused,
)
from ragwortkeel.messages import SliceRequest, SliceTransfer
from ragwortkeel.router.budget_account import BudgetTerms
from ragwortkeel.router.budget_keeper import REFRESH_INTERVAL_SECONDS, BudgetKeeper
from ragwortkeel.standins.local_platform import LocalPlatform

PATIENCE = 20.0
TERMS = BudgetTerms(spread=Spread.WIDE, ride_out_seconds=60.0, largest_request=10)


class Fleet:
    """Keepers that share a platform and send messages by direct calls."""

    def __init__(self, *, prepaid):
        self.platform = LocalPlatform()
        self.platform.put(LEDGERS, "p", encode_ledger(Ledger(prepaid=prepaid)))
        self.by_incarnation = {}
        self.sidecars = ("s1", "s2")
        self.count = 0

    def keeper(self, name):
        async def reincarnate():
            self.count += 1
            renamed = f"{name}+{self.count}"
            self.by_incarnation[renamed] = keeper
            return renamed

        async def send(router, message):
            match message:
                case SliceRequest():
                    await self.by_incarnation[router].receive_slice_request(
                        keeper.incarnation, message
                    )
                case SliceTransfer():
                    await self.by_incarnation[router].receive_slice_transfer(message)

        keeper = BudgetKeeper(
            platform=self.platform,
            incarnation=name,
            terms=lambda profile: TERMS,
            sidecars=lambda profile: self.sidecars,
            reincarnate=reincarnate,
            send=send,
            clock=monotonic,
        )
        self.by_incarnation[name] = keeper
        return keeper

    @property
    def ledger(self):
        return decode_ledger(self.platform.peek(LEDGERS, "p").value)

    def change(self, transition):
        self.platform.put(LEDGERS, "p", encode_ledger(transition(self.ledger)))


def play(scenario, *, prepaid=1000, routers=1):
    async def main():
        fleet = Fleet(prepaid=prepaid)
        keepers = [fleet.keeper(f"r{i}") for i in range(1, routers + 1)]
        tasks = [await curio.spawn(keeper.run) for keeper in keepers]
        try:
            async with curio.timeout_after(PATIENCE):
                await scenario(fleet, *keepers)
        finally:
            for task in tasks:
                await task.cancel()

    curio.run(main)


def reported(ledger, *, sidecar, tokens):
    return ledger.report(router="r1", sidecar=sidecar, tokens=tokens)


async def settle(keeper, reservation, spent):
    await keeper.settle(reservation, spent)


class TestReserve:
    def test_first_request_obtains_a_slice_and_stop_returns_it(self):
        async def scenario(fleet, keeper):
            reservation = await keeper.reserve("p", 10, "s1")
            assert fleet.ledger.held >= 10
            await settle(keeper, reservation, 4)
            assert await keeper.return_slices()
            assert (fleet.ledger.spent, fleet.ledger.held) == (4, 4)

        play(scenario)

    def test_stop_with_an_open_attempt_leaves_the_grant(self):
        async def scenario(fleet, keeper):
            await keeper.reserve("p", 10, "s1")
            assert not await keeper.return_slices()
            assert fleet.ledger.held >= 10

        play(scenario)

    def test_outage_stops_renewals_but_not_admission(self):
        """Guards against refusals during an outage while the slice has tokens.

        Once the slice is used up, the refusal is `BudgetUnreachable`, not
        `BudgetExhausted`.
        """

        async def scenario(fleet, keeper):
            await settle(keeper, await keeper.reserve("p", 10, "s1"), 0)
            fleet.platform.switches.down = True
            served = 0
            with pytest.raises(BudgetUnreachable):
                while served < 1000:
                    await keeper.reserve("p", 10, ("s1", "s2")[served % 2])
                    served += 1
            assert served >= 2

        play(scenario)

    def test_a_refused_write_of_the_ledger_does_not_end_the_renewals(self, monkeypatch):
        """Guards against customers whose tokens are never renewed again."""

        async def scenario(fleet, keeper):
            await settle(keeper, await keeper.reserve("p", 10, "s1"), 10)

            async def refuse(*args):
                raise ValueRefused("status 413")

            with monkeypatch.context() as patch:
                patch.setattr(fleet.platform, "update", refuse)
                await curio.sleep(2 * REFRESH_INTERVAL_SECONDS)
                assert not await keeper.return_slices()
            while not fleet.ledger.total_spent:
                await curio.sleep(0.01)

        play(scenario)

    @pytest.mark.parametrize(
        ("prepaid", "tokens", "error"),
        [(0, 10, BudgetExhausted), (9, 10, BudgetExhausted)],
    )
    def test_refused_at_once_when_the_budget_is_spent(self, prepaid, tokens, error):
        async def scenario(fleet, keeper):
            started_at = monotonic()
            with pytest.raises(error) as caught:
                await keeper.reserve("p", tokens, "s1")
            assert caught.value.retry_after_seconds >= 10
            assert monotonic() - started_at < 0.9

        play(scenario, prepaid=prepaid)

    def test_profile_without_a_ledger_is_exhausted(self):
        async def scenario(fleet, keeper):
            with pytest.raises(BudgetExhausted):
                await keeper.reserve("unknown", 10, "s1")

        play(scenario)

    def test_exposure_through_one_sidecar_is_bounded(self):
        async def scenario(fleet, keeper):
            reservations = []
            with pytest.raises(ExposureFull):
                while len(reservations) < 100:
                    reservations.append(await keeper.reserve("p", 10, "s1"))
            assert await keeper.reserve("p", 10, "s2")
            cap = fleet.ledger.grants["r1"].cap
            assert 10 * len(reservations) <= cap

        play(scenario)

    def test_new_sidecar_is_named_on_first_use(self):
        async def scenario(fleet, keeper):
            await keeper.reserve("p", 10, "s1")
            fleet.sidecars = ("s1", "s2", "s3")
            assert await keeper.reserve("p", 10, "s3")
            assert "s3" in fleet.ledger.grants["r1"].settled

        play(scenario)

    def test_cancelled_caller_leaves_no_reservation(self):
        async def scenario(fleet, keeper):
            task = await curio.spawn(keeper.reserve, "p", 10, "s1")
            await curio.sleep(0)
            await task.cancel()
            await curio.sleep(0.05)
            assert [row.reserved for row in keeper.rows()] == [0]

        play(scenario)


class TestLostAnswers:
    @pytest.mark.parametrize("lost", [1, 2, 3])
    def test_grant_is_made_once(self, lost):
        async def scenario(fleet, keeper):
            fleet.platform.switches.lost_answers = lost
            reservation = await keeper.reserve("p", 10, "s1")
            await settle(keeper, reservation, 10)
            assert await keeper.return_slices()
            assert fleet.ledger.held == 10

        play(scenario)

    def test_close_counts_as_done_if_only_its_answer_is_lost(self):
        async def scenario(fleet, keeper):
            await settle(keeper, await keeper.reserve("p", 10, "s1"), 7)
            fleet.platform.switches.lost_answers = 1
            assert await keeper.return_slices()
            assert (fleet.ledger.spent, fleet.ledger.held) == (7, 7)

        play(scenario)


class TestTransfer:
    def test_router_without_tokens_borrows_from_an_idle_router(self):
        """Guards against a refusal although the budget is not spent.

        An idle router holds all tokens; a caller of another router needs them.
        """

        async def scenario(fleet, idle, busy):
            await settle(idle, await idle.reserve("p", 10, "s1"), 0)
            granted = fleet.ledger.held
            fleet.change(lambda ledger: ledger.recall(to=granted))
            assert fleet.ledger.rest == 0
            assert await busy.reserve("p", 10, "s2")

        play(scenario, prepaid=40, routers=2)


class TestSealed:
    def test_sealed_router_continues_under_a_new_incarnation(self):
        """Guards against a sealed router that stops serving or settles twice.

        A partitioned router counts as failed and is sealed; after the partition its
        renewal fails.  It serves callers under a new incarnation, and the seal settles
        the reservations of the old one.
        """

        async def scenario(fleet, keeper):
            old = await keeper.reserve("p", 10, "s1")
            fleet.change(lambda ledger: ledger.seal("r1"))
            for sidecar, ran in (("s1", 3), ("s2", 0)):
                fleet.change(partial(reported, sidecar=sidecar, tokens=ran))
            await keeper.settle(old, 3)
            async with curio.timeout_after(5):
                while keeper.incarnation == "r1":
                    await curio.sleep(0.05)
            new = await keeper.reserve("p", 10, "s1")
            assert (old.router, new.router) == ("r1", "r1+1")
            await keeper.settle(old, 3)
            assert [row.reserved for row in keeper.rows()] == [10]

        play(scenario)
