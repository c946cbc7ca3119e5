"""Transitions of the ledger that the random walks rarely reach."""

import pytest

from ragwortkeel.budget.grant import MAX_SIDECARS, Renewal
from ragwortkeel.budget.ledger import (
    MAX_KEPT_OPERATIONS,
    MAX_NAMED_SIDECARS,
    Ledger,
    decode_ledger,
    encode_ledger,
)
from ragwortkeel.exceptions import (
    BudgetCommitted,
    BudgetRetired,
    InvalidOperation,
    LedgerFull,
    RouterSealed,
    StaleOperation,
)
from ragwortkeel.platform import MAX_VALUE_BYTES


def renewal(router="r1", *, first=False, **fields):
    fields = {"nonce": "n", "settled": {"s1": 0}, "cap": 20} | fields
    return Renewal(router=router, first=first, **fields)


@pytest.fixture
def ledger():
    """100 prepaid, of which r1 and r2 hold 40 each."""
    ledger = Ledger(prepaid=100)
    ledger = ledger.renew(renewal("r1", first=True, want=40))
    return ledger.renew(renewal("r2", first=True, want=40))


class TestPrepaid:
    def test_late_retry_of_a_removed_top_up_adds_nothing(self):
        """Guards against a top-up that is applied twice.

        An operator's retry comes after thousands of other top-ups.  Its id was removed
        from the ledger and can't be looked up, so ids of its age are refused.
        """
        ledger = Ledger()
        first = ledger.operation_id("first")
        ledger = ledger.top_up(tokens=5, operation_id=first)
        for i in range(MAX_KEPT_OPERATIONS):
            fresh = ledger.operation_id(str(i))
            ledger = ledger.top_up(tokens=1, operation_id=fresh)
        with pytest.raises(StaleOperation):
            ledger.top_up(tokens=5, operation_id=first)
        assert ledger.prepaid == 5 + MAX_KEPT_OPERATIONS
        assert len(ledger.operations) == MAX_KEPT_OPERATIONS

    @pytest.mark.parametrize("invalid_id", ["", "x", "1", "1.", "-1.a", "a.1"])
    def test_invalid_operation_id_is_refused(self, invalid_id):
        with pytest.raises(InvalidOperation):
            Ledger().top_up(tokens=1, operation_id=invalid_id)

    def test_lowering_below_held_tokens_reports_the_lowerable_tokens(self, ledger):
        with pytest.raises(BudgetCommitted) as caught:
            ledger.lower(tokens=30, operation_id=ledger.operation_id("a"))
        assert caught.value.lowerable_tokens == 20

    def test_recall_lowers_once_slices_are_given_back(self, ledger):
        ledger = ledger.recall(to=50)
        # Without grants meanwhile, or else the recall would never end.
        ledger = ledger.renew(renewal("r1", want=20))
        assert ledger.grants["r1"].granted == 40
        ledger = ledger.renew(renewal("r1", give_back=30))
        assert (ledger.prepaid, ledger.recall_to) == (50, None)

    def test_recall_below_the_spend_is_refused(self, ledger):
        ledger = ledger.renew(renewal("r1", settled={"s1": 35}))
        with pytest.raises(BudgetCommitted) as caught:
            ledger.recall(to=30)
        assert caught.value.spent == 35

    def test_retired_budget_grants_nothing_and_refuses_top_ups(self, ledger):
        ledger = ledger.retire().renew(renewal("r1", want=5))
        assert ledger.grants["r1"].granted == 40
        with pytest.raises(BudgetRetired):
            ledger.top_up(tokens=1, operation_id=ledger.operation_id("a"))


class TestGrants:
    def test_returned_tokens_go_to_the_named_router(self, ledger):
        ledger = ledger.renew(renewal("r1", give_back=30, give_to="r2"))
        granted = {name: grant.granted for name, grant in ledger.grants.items()}
        assert granted == {"r1": 10, "r2": 70}

    def test_returned_tokens_for_a_sealed_router_can_be_granted(self, ledger):
        ledger = ledger.seal("r2")
        rest_before = ledger.rest
        ledger = ledger.renew(renewal("r1", give_back=30, give_to="r2"))
        assert ledger.rest == rest_before + 30

    def test_settlement_after_the_seal_is_refused(self, ledger):
        ledger = ledger.seal("r1")
        with pytest.raises(RouterSealed):
            ledger.renew(renewal("r1", settled={"s1": 5}))

    def test_seal_holds_the_cap_until_the_sidecar_reports(self, ledger):
        ledger = ledger.renew(renewal("r1", settled={"s1": 5, "s2": 3}))
        sealed = ledger.seal("r1")
        assert sealed.grants["r1"].held == 40
        known = sealed.report(router="r1", sidecar="s2", tokens=4)
        assert known.grants["r1"].held == 4 + 5 + 20
        done = known.report(router="r1", sidecar="s1", tokens=6)
        assert "r1" not in done.grants
        assert done.spent == 10
        assert done.report(router="r1", sidecar="s1", tokens=6) == done

    def test_deleted_sidecar_is_charged_its_bound(self, ledger):
        ledger = ledger.renew(renewal("r1", settled={"s1": 5})).seal("r1")
        ledger = ledger.write_off(router="r1", sidecar="s1")
        assert ledger.spent == 25
        assert "r1" not in ledger.grants

    def test_bound_of_a_deleted_sidecar_allows_a_late_report(self, ledger):
        """Guards against a charge above the grant.

        A router and one of its sidecars crash, and another sidecar reports late.  If
        the bound of the deleted sidecar were charged at once it would take the full
        grant, and the report would exceed the prepaid tokens.
        """
        ledger = ledger.renew(renewal("r1", settled={"s1": 0, "s2": 0}, cap=40))
        ledger = ledger.seal("r1").write_off(router="r1", sidecar="s1")
        ledger = ledger.report(router="r1", sidecar="s2", tokens=9)
        assert ledger.spent == 40
        assert "r1" not in ledger.grants

    def test_closing_twice_charges_once(self, ledger):
        last = renewal("r1", settled={"s1": 7})
        closed = ledger.close(last)
        assert closed.spent == 7
        assert closed.close(last) == closed


class TestBounds:
    def test_too_many_sidecars_in_a_grant_are_refused(self, ledger):
        with pytest.raises(LedgerFull):
            spent_by_sidecar = {f"s{i}": 0 for i in range(MAX_SIDECARS + 1)}
            ledger.renew(renewal("r1", settled=spent_by_sidecar))

    def test_largest_ledger_fits_the_platform(self):
        ledger = Ledger(prepaid=10**14)
        name = "s" * 58
        for i in range(MAX_NAMED_SIDECARS // MAX_SIDECARS):
            spent_by_sidecar = {f"{name}{j:05d}": 10**9 for j in range(MAX_SIDECARS)}
            router = f"{name}{i:05d}"
            ledger = ledger.renew(renewal(router, first=True, want=10**11, settled={}))
            ledger = ledger.renew(renewal(router, settled=spent_by_sidecar))
        with pytest.raises(LedgerFull):
            ledger.renew(renewal("one-more", first=True))
        for i in range(MAX_KEPT_OPERATIONS):
            fresh = ledger.operation_id(f"{i:036d}")
            ledger = ledger.top_up(tokens=10**9, operation_id=fresh)
        value = encode_ledger(ledger)
        assert len(value) < MAX_VALUE_BYTES
        assert decode_ledger(value) == ledger
