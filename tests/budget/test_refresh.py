"""Synchronisation of a slice with its ledger when answers are lost."""

import pytest

from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.budget.refresh import SliceRefresh
from ragwortkeel.budget.slice import Slice
from ragwortkeel.exceptions import BudgetExhausted, ExposureFull, RouterSealed


@pytest.fixture
def refresh():
    return SliceRefresh(slice_=Slice(profile="p", router="r1"))


def put(refresh, ledger, **fields):
    refresh.slice.propose(**{"nonce": "n", "cap": 50} | fields)
    return ledger.renew(refresh.slice.pending)


@pytest.fixture
def funded(refresh):
    """100 prepaid, 60 of them in the slice."""
    ledger = put(refresh, Ledger(prepaid=100), sidecars=("s1",), want=60)
    refresh.record_written(ledger)
    return ledger


class TestLostAnswer:
    def test_write_that_was_applied_is_accepted(self, refresh, funded):
        ledger = put(refresh, funded, nonce="m", want=10)
        refresh.record_unknown(version=1)
        refresh.read(ledger, version=2)
        assert refresh.slice.granted == 70

    def test_returned_tokens_are_not_spent_while_the_write_may_be_applied(
        self, refresh, funded
    ):
        """Guards against two routers that spend the same tokens.

        The answer to a write that gives back 60 tokens is lost, and a read returns the
        old ledger.  If the slice spent the tokens, another router could get them too
        once the write is applied.
        """
        put(refresh, funded, nonce="m", give_back=60)
        refresh.record_unknown(version=1)
        refresh.read(funded, version=1)
        with pytest.raises(BudgetExhausted):
            refresh.slice.reserve(sidecar="s1", tokens=10)

    def test_tokens_are_free_once_the_write_can_not_be_applied(self, refresh, funded):
        put(refresh, funded, nonce="m", give_back=60)
        refresh.record_unknown(version=1)
        refresh.read(funded, version=2)
        assert refresh.slice.reserve(sidecar="s1", tokens=10)

    def test_stale_read_does_not_free_tokens(self, refresh, funded):
        put(refresh, funded, nonce="m", give_back=60)
        refresh.record_unknown(version=5)
        refresh.read(funded, version=4)
        assert refresh.slice.free == 0

    def test_refused_write_frees_tokens_at_once(self, refresh, funded):
        put(refresh, funded, nonce="m", give_back=60, cap=10)
        refresh.record_refused()
        assert (refresh.slice.free, refresh.slice.cap) == (60, 50)

    def test_refusal_after_a_lost_answer_frees_no_tokens(self, refresh, funded):
        put(refresh, funded, nonce="m", give_back=60)
        refresh.record_unknown(version=1)
        refresh.record_refused()
        assert refresh.slice.free == 0


class TestReceived:
    def test_tokens_of_another_router_are_free_after_a_read(self, refresh, funded):
        giver = SliceRefresh(slice_=Slice(profile="p", router="r2"))
        ledger = put(giver, funded, nonce="g", want=40)
        giver.record_written(ledger)
        ledger = put(giver, ledger, nonce="h", give_back=30, give_to="r1")
        refresh.read(ledger, version=9)
        assert refresh.slice.free == 90

    def test_stale_read_does_not_restore_returned_tokens(self, refresh, funded):
        refresh.record_written(put(refresh, funded, nonce="m", give_back=60))
        refresh.read(funded, version=1)
        assert refresh.slice.free == 0


class TestClosing:
    def test_nothing_is_reserved_once_the_grant_may_be_closed(self, refresh, funded):
        refresh.slice.propose(nonce="stop", cap=0)
        refresh.record_unknown(version=1)
        with pytest.raises(ExposureFull):
            refresh.slice.reserve(sidecar="s1", tokens=1)


class TestSealed:
    @pytest.mark.parametrize("reported", [False, True])
    def test_read_of_a_sealed_grant_raises(self, refresh, funded, reported):
        ledger = funded.seal("r1")
        if reported:
            ledger = ledger.report(router="r1", sidecar="s1", tokens=0)
        with pytest.raises(RouterSealed):
            refresh.read(ledger, version=9)


class TestDroppedSidecar:
    def test_is_folded_and_never_named_again(self, refresh, funded):
        """Guards against a double charge, as a sidecar's spend is cumulative."""
        reservation = refresh.slice.reserve(sidecar="s1", tokens=10)
        refresh.slice.drop("s1")
        ledger = put(refresh, funded, nonce="a")
        refresh.record_written(ledger)
        assert "s1" in ledger.grants["r1"].settled
        refresh.slice.settle(reservation, spent=4)
        ledger = put(refresh, ledger, nonce="b", sidecars=("s1",))
        refresh.record_written(ledger)
        assert (ledger.grants["r1"].folded, ledger.grants["r1"].settled) == (4, {})
        assert "s1" not in put(refresh, ledger, sidecars=("s1",)).grants["r1"].settled
