"""The journal: which nonces may run, what was spent, how long entries are retained."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortkeel.exceptions import LifecycleError
from ragwortkeel.messages import RunState
from ragwortkeel.runs.journal import ACCEPTED_EPOCHS, Journal, Run, UnknownRun


def a_run(nonce="n", router="a", profile="p", *, reservation=10, idempotent=True):
    return Run(
        nonce=nonce,
        router=router,
        profile=profile,
        request_id=f"r-{nonce}",
        reservation=reservation,
        idempotent=idempotent,
    )


def end(journal, nonce, tokens=4, state=RunState.FINISHED):
    return journal.end(nonce, state, tokens=tokens, billable=True, now=0.0)


def max_spend(journal):
    report = journal.seal("a")
    return report.ran.get("p", 0) + report.running.get("p", 0)


@pytest.fixture
def journal():
    return Journal(sidecar="s")


class TestTombstones:
    @pytest.mark.parametrize(
        ("before", "after"),
        [
            ("unseen", RunState.TOMBSTONED),
            ("running", RunState.RUNNING),
            ("finished", RunState.FINISHED),
            ("retracted", RunState.TOMBSTONED),
        ],
    )
    def test_tombstone_only_for_nonce_that_never_ran(self, journal, before, after):
        if before != "unseen":
            journal.admit(a_run())
        if before == "finished":
            end(journal, "n")
        if before == "retracted":
            journal.retract("n")
        assert journal.tombstone("n") is after

    def test_run_that_began_to_answer_cannot_be_retracted(self, journal):
        journal.admit(a_run())
        journal.begin("n")
        journal.cancel("n")
        with pytest.raises(LifecycleError):
            journal.retract("n")
        assert end(journal, "n").tokens == 4

    def test_epoch_is_refused_before_tombstone_is_discarded(self, journal):
        """Guards against a second run by a dispatch that was paused in its router.

        A retry runs the request elsewhere.  Hours later the router resumes and sends
        the dispatch, when the tombstone has been discarded.
        """
        minted = journal.epoch
        journal.tombstone("n")
        while journal.state("n") is RunState.TOMBSTONED:
            assert (
                journal.accepts_epoch(minted)
                or journal.epoch > minted + ACCEPTED_EPOCHS
            )
            journal.next_epoch()
        assert not journal.accepts_epoch(minted)

    def test_many_tombstones_raise_the_floor(self):
        journal = Journal(sidecar="s", max_ended=50)
        minted = journal.epoch
        for index in range(200):
            journal.tombstone(f"n{index}")
            journal.evict_ended()
            forgotten = journal.state("n0") is RunState.UNSEEN
            assert not (forgotten and journal.accepts_epoch(minted))
        assert journal.accepts_epoch(journal.epoch)


class TestMustNotRepeat:
    def test_run_is_retained_until_outcome_is_durable(self, journal):
        """Guards against a second run after the router crashed.

        The router had not written the outcome.  If the sidecar discarded the run, a
        retry would get `TOMBSTONED` and run the request again.
        """
        journal.admit(a_run(idempotent=False))
        end(journal, "n")
        for _ in range(10 * ACCEPTED_EPOCHS):
            journal.next_epoch()
        assert journal.tombstone("n") is RunState.FINISHED
        journal.record_durable_outcome("n")
        for _ in range(ACCEPTED_EPOCHS + 1):
            journal.next_epoch()
        assert journal.state("n") is RunState.UNSEEN


class TestSeal:
    @given(
        st.lists(
            st.tuples(st.integers(0, 9), st.booleans(), st.booleans()), max_size=12
        )
    )
    def test_figure_covers_what_runs_cost_and_only_falls(self, cases):
        journal = Journal(sidecar="s")
        for index, (_, ended, _) in enumerate(cases):
            journal.admit(a_run(f"n{index}"))
            if ended:
                end(journal, f"n{index}", cases[index][0])
        bound = max_spend(journal)
        truth = sum(tokens for tokens, *_ in cases)
        assert bound >= truth
        for index, (tokens, ended, retracted) in enumerate(cases):
            if ended:
                continue
            if retracted:
                truth -= tokens
                journal.retract(f"n{index}")
            else:
                end(journal, f"n{index}", tokens)
            assert truth <= max_spend(journal) <= bound
            bound = max_spend(journal)
        assert journal.seal("a").ran.get("p", 0) == truth
        assert journal.seal("a").final("p")
        assert journal.is_sealed("a")


class TestReceipts:
    def test_run_has_one_receipt(self, journal):
        journal.admit(a_run())
        assert end(journal, "n", 4).tokens == 4
        assert end(journal, "n", 7) is None
        assert [r.tokens for r in journal.receipts_for_router("a")] == [4]
        journal.discard_receipts(("n", "stranger"))
        assert journal.pending_receipts == 0

    def test_charge_never_exceeds_the_reservation(self, journal):
        journal.admit(a_run(reservation=10))
        assert not journal.progress("n", 10)
        assert journal.progress("n", 11)
        assert end(journal, "n", 99).tokens == 10

    def test_full_journal_keeps_receipts(self, monkeypatch):
        monkeypatch.setattr("ragwortkeel.runs.journal.MAX_PENDING_RECEIPTS", 2)
        journal = Journal(sidecar="s")
        for nonce in "xy":
            assert not journal.is_full
            journal.admit(a_run(nonce))
            end(journal, nonce)
        assert journal.is_full
        assert journal.pending_receipts == 2

    def test_unknown_run_is_an_error(self, journal):
        journal.tombstone("n")
        with pytest.raises(UnknownRun):
            journal.run("n")
