"""A router's slice without its ledger."""

import pytest

from ragwortkeel.budget.grant import MAX_SIDECARS, Grant
from ragwortkeel.budget.slice import Slice
from ragwortkeel.exceptions import BudgetExhausted, ExposureFull, SidecarNotNamed


@pytest.fixture
def slice_():
    """Return a slice of 100 tokens with caps of 40 at the sidecars s1 and s2."""
    slice_ = Slice(profile="p", router="r1")
    slice_.propose(nonce="n", sidecars=("s1", "s2"), want=100, cap=40)
    slice_.accept(Grant(granted=100, cap=40, settled={"s1": 0, "s2": 0}, nonce="n"))
    return slice_


class TestReserve:
    @pytest.mark.parametrize(
        ("sidecar", "tokens", "error"),
        [
            ("s3", 1, SidecarNotNamed),
            ("s1", 101, BudgetExhausted),
            ("s1", 41, ExposureFull),
        ],
    )
    def test_refusal_has_the_matching_error(self, slice_, sidecar, tokens, error):
        with pytest.raises(error) as caught:
            slice_.reserve(sidecar=sidecar, tokens=tokens)
        assert caught.value.tokens_left == 100
        assert slice_.free == 100

    def test_spend_counts_as_exposure_until_the_ledger_records_it(self, slice_):
        slice_.settle(slice_.reserve(sidecar="s1", tokens=40), spent=30)
        with pytest.raises(ExposureFull):
            slice_.reserve(sidecar="s1", tokens=11)
        slice_.propose(nonce="m", cap=40)
        slice_.accept(
            Grant(granted=100, cap=40, settled={"s1": 30, "s2": 0}, nonce="m")
        )
        assert slice_.reserve(sidecar="s1", tokens=40)


class TestSettle:
    def test_repeated_answer_is_charged_once(self, slice_):
        """Guards against a double charge after a link repeats its last messages."""
        reservation = slice_.reserve(sidecar="s1", tokens=20)
        assert slice_.settle(reservation, spent=15)
        assert not slice_.settle(reservation, spent=15)
        assert (slice_.spent, slice_.reserved, slice_.free) == (15, 0, 85)


class TestPropose:
    def test_lower_cap_binds_before_the_ledger_records_it(self, slice_):
        slice_.propose(nonce="m", cap=10)
        with pytest.raises(ExposureFull):
            slice_.reserve(sidecar="s1", tokens=11)

    def test_cap_covers_open_reservations(self, slice_):
        slice_.reserve(sidecar="s1", tokens=30)
        assert slice_.propose(nonce="m", cap=10).cap == 30

    def test_names_no_more_sidecars_than_a_grant_allows(self, slice_):
        many = tuple(f"t{i}" for i in range(MAX_SIDECARS))
        renewal = slice_.propose(nonce="m", sidecars=many, cap=40)
        assert len(renewal.settled) == MAX_SIDECARS
