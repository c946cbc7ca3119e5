"""The sidecar's decisions: what is refused, repeated, cancelled and sealed."""

import msgspec
import pytest
from sidecar_setup import dispatch

from ragwortkeel.configuration import (
    PROFILES,
    UPSTREAMS,
    Upstream,
    UpstreamKind,
    UpstreamState,
)
from ragwortkeel.messages import (
    Cancel,
    Chunk,
    CrashSeen,
    Failed,
    FailureReason,
    Finished,
    Heartbeat,
    Locate,
    OutcomeDurable,
    RefusalReason,
    Refused,
    Resume,
    RunState,
    Seal,
    Sealed,
    Started,
    Tombstone,
    TombstoneResult,
    VersionedObject,
)
from ragwortkeel.runs.journal import ACCEPTED_EPOCHS
from ragwortkeel.sidecar.admission import Admission
from ragwortkeel.sidecar.core import SidecarCore
from ragwortkeel.sidecar.crashes import PEER_SECONDS
from ragwortkeel.sidecar.effects import (
    AnswerBegun,
    AnswerEnded,
    AnswerPiece,
    CancelRun,
    RunBroken,
    RunDeclined,
    Send,
    StartRun,
    StopRun,
)


def upstream_object(state, version=2):
    upstream = Upstream(
        name="u1",
        back_end="assistant",
        kind=UpstreamKind.MODEL,
        sidecar_address="127.0.0.1:7200",
        zone="maule-1",
        state=state,
    )
    value = msgspec.json.encode(upstream)
    return VersionedObject(kind=UPSTREAMS, name="u1", version=version, value=value)


class Bench:
    """A core with one router at peer `p`; keeps the effects."""

    def __init__(self, *, admitted=True):
        self.core = SidecarCore(incarnation="s1-a", admission=Admission(upstream="u1"))
        self.core.admission.admitted = admitted
        self.effects = []

    def hear(self, message, *, peer="p", sender="a"):
        return self._note(self.core.on_message(peer, sender, message, 0.0))

    def engine(self, event):
        return self._note(self.core.on_upstream(event, 0.0))

    def answer(self, nonce="n1", *, end=True):
        self.engine(AnswerBegun(nonce=nonce, status=200, content_type="t"))
        self.engine(AnswerPiece(nonce=nonce, data=b"abc", tokens=3))
        self.engine(AnswerPiece(nonce=nonce, data=b"de", tokens=5))
        if end:
            self.engine(AnswerEnded(nonce=nonce, tokens=5))

    def _note(self, effects):
        self.effects += effects
        return [e.message if isinstance(e, Send) else e for e in effects]

    @property
    def starts(self):
        return [e for e in self.effects if isinstance(e, StartRun)]


@pytest.fixture
def bench():
    return Bench()


def draining(bench):
    bench.core.admission.learn(upstream_object(UpstreamState.DRAINING, version=1))


def stale(bench):
    thing = VersionedObject(kind=PROFILES, name="chat", version=9, value=b"{}")
    bench.core.admission.learn(thing)


def aged(bench):
    for _ in range(ACCEPTED_EPOCHS + 1):
        bench.core.on_epoch(0.0)


REFUSALS = [
    (lambda b: None, {"sidecar": "s1-0"}, RefusalReason.WRONG_INCARNATION),
    (lambda b: b.hear(Seal(router="a")), {}, RefusalReason.SEALED),
    (aged, {}, RefusalReason.STALE_EPOCH),
    (lambda b: None, {"epoch": 0, "idempotent": False}, RefusalReason.STALE_EPOCH),
    (stale, {}, RefusalReason.STALE_CONFIGURATION),
    (draining, {}, RefusalReason.DRAINING),
    (lambda b: setattr(b.core.admission, "stopping", True), {}, RefusalReason.STOPPING),
    (
        lambda b: setattr(b.core.admission, "admitted", False),
        {},
        RefusalReason.NOT_ADMITTED,
    ),
    (
        lambda b: setattr(b.core.admission, "max_running", 0),
        {},
        RefusalReason.OVERLOADED,
    ),
    (
        lambda b: b.hear(Tombstone(nonce="n1", sidecar="s1-a")),
        {},
        RefusalReason.TOMBSTONED,
    ),
    (
        lambda b: b.hear(dispatch("n0", idempotent=False)),
        {"idempotent": False},
        RefusalReason.DUPLICATE,
    ),
]


class TestRefusals:
    @pytest.mark.parametrize(("given", "changes", "reason"), REFUSALS)
    def test_refused_dispatch_never_runs_even_if_it_comes_again(
        self, bench, given, changes, reason
    ):
        given(bench)
        before = len(bench.starts)
        order = dispatch(**changes)
        refused = bench.hear(order)[0]
        assert isinstance(refused, Refused)
        assert refused.reason is reason
        vars(bench.core.admission).update(
            admitted=True, stopping=False, draining=False, max_running=9
        )
        assert isinstance(bench.hear(order)[0], Refused)
        assert len(bench.starts) == before

    def test_newer_configuration_is_handed_over(self, bench):
        stale(bench)
        (refused,) = bench.hear(dispatch())
        assert [(o.name, o.version) for o in refused.newer] == [("chat", 9)]

    def test_old_epoch_is_told_the_new_one(self, bench):
        aged(bench)
        _, heartbeat = bench.hear(dispatch())
        assert heartbeat.epoch == ACCEPTED_EPOCHS + 2

    def test_returned_upstream_takes_work_again_older_news_changes_nothing(self, bench):
        learn = bench.core.admission.learn
        assert learn(upstream_object(UpstreamState.DRAINING, version=2))
        assert bench.core.heartbeat().leaving
        assert learn(upstream_object(UpstreamState.SERVING, version=3))
        assert not learn(upstream_object(UpstreamState.DRAINING, version=2))
        assert not bench.core.heartbeat().leaving

    @pytest.mark.parametrize(
        "last",
        [
            VersionedObject(kind=UPSTREAMS, name="u1", version=3, value=b"", gone=True),
            VersionedObject(kind=UPSTREAMS, name="u1", version=3, value=b"damaged"),
        ],
    )
    def test_removed_or_unreadable_upstream_takes_nothing_new(self, bench, last):
        bench.core.admission.learn(last)
        (refused,) = bench.hear(dispatch(upstream_version=3))
        assert refused.reason is RefusalReason.DRAINING

    def test_removal_is_not_undone_by_a_higher_version(self, bench):
        learn = bench.core.admission.learn
        gone = VersionedObject(
            kind=UPSTREAMS, name="u1", version=3, value=b"", gone=True
        )
        assert learn(gone)
        assert not learn(upstream_object(UpstreamState.SERVING, version=9))


class TestRepeats:
    def test_repeated_dispatch_attaches_and_never_reruns(self, bench):
        bench.hear(dispatch())
        bench.answer(end=False)
        messages = bench.hear(dispatch(), peer="q")
        assert [type(m) for m in messages] == [Started, Chunk]
        bench.engine(AnswerEnded(nonce="n1", tokens=5))
        assert len(bench.starts) == 1
        ends = [
            e.peer
            for e in bench.effects
            if isinstance(e, Send) and isinstance(e.message, Finished)
        ]
        assert ends == ["p", "q"]

    def test_retry_at_another_router_replays_from_its_offset(self, bench):
        """A router dies in the middle of a stream; the caller retries at another.

        The retry finds the run, reads what it misses, and the engine runs once.
        """
        bench.hear(dispatch())
        bench.answer()
        located = bench.hear(Locate(profile="chat", request_id="r1"), sender="b")[0]
        assert (located.state, located.nonce) == (RunState.FINISHED, "n1")
        messages = bench.hear(Resume(nonce="n1", offset=3), peer="q", sender="b")
        assert [type(m) for m in messages] == [Started, Chunk, Finished]
        assert (messages[1].offset, messages[1].data) == (3, b"de")

    @pytest.mark.parametrize("known", [False, True])
    def test_lost_answer_is_said_to_be_lost(self, bench, known):
        if known:
            bench.hear(dispatch())
            bench.answer()
            bench.core.outlet.answers.remove("n1")
        (failed,) = bench.hear(Resume(nonce="n1", offset=0))
        assert failed.reason == FailureReason.ANSWER_LOST
        assert failed.may_have_run

    def test_tombstone_for_a_predecessor_promises_nothing(self, bench):
        (result,) = bench.hear(Tombstone(nonce="n1", sidecar="s1-0"))
        assert result == TombstoneResult(nonce="n1", state=RunState.UNSEEN)


class TestEnds:
    def test_engine_past_its_reservation_is_stopped(self, bench):
        bench.hear(dispatch(reservation=4))
        bench.answer(end=False)
        failed, stop = bench._note(bench.effects)[-2:]
        assert failed.reason == FailureReason.RESERVATION_OUTRUN
        assert failed.tokens == 4
        assert isinstance(stop, StopRun)
        assert bench.engine(AnswerEnded(nonce="n1", tokens=5)) == []

    @pytest.mark.parametrize(("idempotent", "cancelled"), [(True, 1), (False, 0)])
    def test_cancel_stops_a_run_but_never_a_filing(self, bench, idempotent, cancelled):
        bench.hear(dispatch(idempotent=idempotent))
        effects = bench.hear(Cancel(nonce="n1"))
        assert [type(e) for e in effects] == [CancelRun] * cancelled

    def test_declined_run_is_refused_and_tombstoned(self, bench):
        bench.hear(dispatch())
        reason = RefusalReason.UPSTREAM_UNREACHABLE
        (refused,) = bench.engine(RunDeclined(nonce="n1", reason=reason))
        assert refused.reason is reason
        assert bench.core.journal.state("n1") is RunState.TOMBSTONED
        assert bench.core.journal.pending_receipts == 0
        assert bench.hear(Locate(profile="chat", request_id="r1"))[0].nonce == ""

    def test_broken_run_is_failed_and_not_billed(self, bench):
        bench.hear(dispatch())
        event = RunBroken(nonce="n1", reason=FailureReason.CRASHED, tokens=6)
        seen, failed, _ = bench.engine(event)
        assert isinstance(seen, CrashSeen)
        assert isinstance(failed, Failed)
        assert failed.may_have_run
        (receipt,) = bench.core.journal.receipts_for_router("a")
        assert (receipt.tokens, receipt.billable) == (6, False)

    def test_answer_of_a_filing_is_kept_until_its_outcome_is_durable(self, bench):
        bench.hear(dispatch(idempotent=False))
        bench.answer()
        aged(bench)
        assert bench.core.outlet.answers.get("n1") is not None
        bench.hear(OutcomeDurable(nonces=("n1",)))
        aged(bench)
        assert bench.core.outlet.answers.get("n1") is None


class TestSeals:
    def test_running_work_is_reported_at_its_bound_then_at_its_cost(self, bench):
        bench.hear(dispatch(reservation=40))
        (first,) = bench.hear(Seal(router="a"), peer="sealer", sender="b")
        assert (first.ran, first.running) == ({}, {"chat": 40})
        bench.answer()
        last = bench.effects[-1]
        assert isinstance(last.message, Sealed)
        assert last.peer == "sealer"
        assert (last.message.ran, last.message.running) == ({"chat": 5}, {})
        assert [r.tokens for r in last.message.receipts] == [5]

    def test_heartbeat_is_answered_with_load_and_epoch(self, bench):
        bench.hear(dispatch())
        (heartbeat,) = bench.hear(Heartbeat())
        assert (heartbeat.running, heartbeat.epoch) == (1, 1)


class TestCrashes:
    def test_one_crash_of_many_runs_is_told_once_to_every_router(self, bench):
        bench.hear(Heartbeat(), peer="q", sender="b")
        for nonce in ("n1", "n2"):
            bench.hear(dispatch(nonce, body=nonce.encode()))
        bench.effects.clear()
        for nonce in ("n1", "n2"):
            event = RunBroken(nonce=nonce, reason=FailureReason.CRASHED, tokens=6)
            bench.engine(event)
        told = [
            e for e in bench.effects if isinstance(getattr(e, "message", 0), CrashSeen)
        ]
        assert sorted(e.peer for e in told) == ["p", "q"]
        (seen,) = {e.message for e in told}
        assert len(seen.fingerprints) == 2
        assert not seen.alone

    def test_routers_that_are_gone_are_forgotten(self, bench):
        for serial in range(100):
            bench.hear(Heartbeat(), peer=f"a/{serial}")
        bench.core.on_epoch(PEER_SECONDS + 1)
        bench.hear(dispatch())
        event = RunBroken(nonce="n1", reason=FailureReason.CRASHED, tokens=6)
        told = [m for m in bench.engine(event) if isinstance(m, CrashSeen)]
        assert len(told) == 1

    def test_next_crash_has_an_id_of_its_own(self, bench):
        ids = set()
        for nonce in ("n1", "n2"):
            bench.hear(dispatch(nonce, alone=True))
            event = RunBroken(nonce=nonce, reason=FailureReason.CRASHED, tokens=6)
            seen = bench.engine(event)[0]
            assert seen.alone
            ids.add(seen.crash_id)
        assert len(ids) == 2


class TestAlone:
    def test_it_waits_for_what_runs_and_nothing_starts_beside_it(self, bench):
        """A request was running at two crashes; it is run alone to find out.

        Were it started beside others, its third crash would cut off theirs.
        """
        bench.hear(dispatch("n1"))
        bench.hear(dispatch("n2", alone=True))
        (refused,) = bench.hear(dispatch("n3"))
        assert refused.reason is RefusalReason.OVERLOADED
        assert [s.dispatch.nonce for s in bench.starts] == ["n1"]
        bench.answer("n1")
        assert [s.dispatch.nonce for s in bench.starts] == ["n1", "n2"]
        bench.answer("n2")
        bench.hear(dispatch("n4"))
        assert bench.starts[-1].dispatch.nonce == "n4"

    def test_waiting_one_that_is_cancelled_never_ran(self, bench):
        bench.hear(dispatch("n1"))
        bench.hear(dispatch("n2", alone=True))
        (refused,) = bench.hear(Cancel(nonce="n2"))
        assert refused.reason is RefusalReason.DEADLINE
        bench.hear(dispatch("n3"))
        assert [s.dispatch.nonce for s in bench.starts] == ["n1", "n3"]
