"""Decisions of the sidecar core on refusals, repetitions, cancellations and seals."""

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
from ragwortkeel.sidecar.crashes import PEER_EXPIRY_SECONDS
from ragwortkeel.sidecar.effects import (
    AnswerChunk,
    AnswerCompleted,
    AnswerStarted,
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
    """A core with one router at peer `p`; records the effects."""

    def __init__(self, *, admitted=True):
        self.core = SidecarCore(incarnation="s1-a", admission=Admission(upstream="u1"))
        self.core.admission.admitted = admitted
        self.effects = []
        self.now = 0.0

    def receive(self, message, *, peer="p", sender="a"):
        return self._record(self.core.on_message(peer, sender, message, self.now))

    def engine(self, event):
        return self._record(self.core.on_upstream(event, self.now))

    def answer(self, nonce="n1", *, end=True):
        self.engine(AnswerStarted(nonce=nonce, status=200, content_type="t"))
        self.engine(AnswerChunk(nonce=nonce, data=b"abc", tokens=3))
        self.engine(AnswerChunk(nonce=nonce, data=b"de", tokens=5))
        if end:
            self.engine(AnswerCompleted(nonce=nonce, tokens=5))

    def _record(self, effects):
        self.effects += effects
        return [e.message if isinstance(e, Send) else e for e in effects]

    @property
    def starts(self):
        return [e for e in self.effects if isinstance(e, StartRun)]


@pytest.fixture
def bench():
    return Bench()


def draining(bench):
    bench.core.admission.merge_object(
        upstream_object(UpstreamState.DRAINING, version=1)
    )


def stale(bench):
    thing = VersionedObject(kind=PROFILES, name="chat", version=9, value=b"{}")
    bench.core.admission.merge_object(thing)


def aged(bench):
    for _ in range(ACCEPTED_EPOCHS + 1):
        bench.core.on_epoch(0.0)


REFUSALS = [
    (lambda b: None, {"sidecar": "s1-0"}, RefusalReason.WRONG_INCARNATION),
    (lambda b: b.receive(Seal(router="a")), {}, RefusalReason.SEALED),
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
        lambda b: b.receive(Tombstone(nonce="n1", sidecar="s1-a")),
        {},
        RefusalReason.TOMBSTONED,
    ),
    (
        lambda b: b.receive(dispatch("n0", idempotent=False)),
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
        refused = bench.receive(order)[0]
        assert isinstance(refused, Refused)
        assert refused.reason is reason
        vars(bench.core.admission).update(
            admitted=True, stopping=False, draining=False, max_running=9
        )
        assert isinstance(bench.receive(order)[0], Refused)
        assert len(bench.starts) == before

    def test_refusal_contains_newer_configuration(self, bench):
        stale(bench)
        (refused,) = bench.receive(dispatch())
        assert [(o.name, o.version) for o in refused.newer] == [("chat", 9)]

    def test_refusal_of_a_stale_epoch_is_followed_by_the_current_epoch(self, bench):
        aged(bench)
        _, heartbeat = bench.receive(dispatch())
        assert heartbeat.epoch == ACCEPTED_EPOCHS + 2

    def test_returned_upstream_accepts_work_and_older_versions_are_ignored(self, bench):
        merge_object = bench.core.admission.merge_object
        assert merge_object(upstream_object(UpstreamState.DRAINING, version=2))
        assert bench.core.heartbeat().leaving
        assert merge_object(upstream_object(UpstreamState.SERVING, version=3))
        assert not merge_object(upstream_object(UpstreamState.DRAINING, version=2))
        assert not bench.core.heartbeat().leaving

    @pytest.mark.parametrize(
        "last",
        [
            VersionedObject(kind=UPSTREAMS, name="u1", version=3, value=b"", gone=True),
            VersionedObject(kind=UPSTREAMS, name="u1", version=3, value=b"damaged"),
        ],
    )
    def test_removed_or_unreadable_upstream_accepts_no_new_work(self, bench, last):
        bench.core.admission.merge_object(last)
        (refused,) = bench.receive(dispatch(upstream_version=3))
        assert refused.reason is RefusalReason.DRAINING

    def test_removal_is_not_undone_by_a_higher_version(self, bench):
        merge_object = bench.core.admission.merge_object
        gone = VersionedObject(
            kind=UPSTREAMS, name="u1", version=3, value=b"", gone=True
        )
        assert merge_object(gone)
        assert not merge_object(upstream_object(UpstreamState.SERVING, version=9))


class TestRepeats:
    def test_repeated_dispatch_attaches_and_never_reruns(self, bench):
        bench.receive(dispatch())
        bench.answer(end=False)
        messages = bench.receive(dispatch(), peer="q")
        assert [type(m) for m in messages] == [Started, Chunk]
        bench.engine(AnswerCompleted(nonce="n1", tokens=5))
        assert len(bench.starts) == 1
        ends = [
            e.peer
            for e in bench.effects
            if isinstance(e, Send) and isinstance(e.message, Finished)
        ]
        assert ends == ["p", "q"]

    def test_retry_at_another_router_replays_from_its_offset(self, bench):
        """A router crashes during a stream, and the caller retries at another.

        The retry has to find the run and read the missing bytes without a rerun.
        """
        bench.receive(dispatch())
        bench.answer()
        located = bench.receive(Locate(profile="chat", request_id="r1"), sender="b")[0]
        assert (located.state, located.nonce) == (RunState.FINISHED, "n1")
        messages = bench.receive(Resume(nonce="n1", offset=3), peer="q", sender="b")
        assert [type(m) for m in messages] == [Started, Chunk, Finished]
        assert (messages[1].offset, messages[1].data) == (3, b"de")

    @pytest.mark.parametrize("known", [False, True])
    def test_lost_answer_is_reported_as_lost(self, bench, known):
        if known:
            bench.receive(dispatch())
            bench.answer()
            bench.core.answer_streams.answers.remove("n1")
        (failed,) = bench.receive(Resume(nonce="n1", offset=0))
        assert failed.reason == FailureReason.ANSWER_LOST
        assert failed.may_have_run

    def test_tombstone_for_a_predecessor_returns_unseen(self, bench):
        (result,) = bench.receive(Tombstone(nonce="n1", sidecar="s1-0"))
        assert result == TombstoneResult(nonce="n1", state=RunState.UNSEEN)


class TestEnds:
    def test_engine_past_its_reservation_is_stopped(self, bench):
        bench.receive(dispatch(reservation=4))
        bench.answer(end=False)
        failed, stop = bench._record(bench.effects)[-2:]
        assert failed.reason == FailureReason.RESERVATION_OUTRUN
        assert failed.tokens == 4
        assert isinstance(stop, StopRun)
        assert bench.engine(AnswerCompleted(nonce="n1", tokens=5)) == []

    @pytest.mark.parametrize(("idempotent", "cancelled"), [(True, 1), (False, 0)])
    def test_cancel_stops_a_run_but_never_a_filing(self, bench, idempotent, cancelled):
        bench.receive(dispatch(idempotent=idempotent))
        effects = bench.receive(Cancel(nonce="n1"))
        assert [type(e) for e in effects] == [CancelRun] * cancelled

    def test_declined_run_is_refused_and_tombstoned(self, bench):
        bench.receive(dispatch())
        reason = RefusalReason.UPSTREAM_UNREACHABLE
        (refused,) = bench.engine(RunDeclined(nonce="n1", reason=reason))
        assert refused.reason is reason
        assert bench.core.journal.state("n1") is RunState.TOMBSTONED
        assert bench.core.journal.pending_receipts == 0
        assert bench.receive(Locate(profile="chat", request_id="r1"))[0].nonce == ""

    @pytest.mark.parametrize("idempotent", [True, False])
    def test_nothing_starts_in_a_pause_that_the_upstream_asked_for(
        self, bench, idempotent
    ):
        """Guards against runs at an upstream that rejects all of them for a while.

        It rejects at once, so it looks idle.
        """
        bench.receive(dispatch(idempotent=idempotent))
        if idempotent:
            event = RunDeclined(
                nonce="n1", reason=RefusalReason.OVERLOADED, retry_after_seconds=3.0
            )
        else:
            reason = FailureReason.UPSTREAM_ERROR
            event = RunBroken(
                nonce="n1", reason=reason, tokens=1, retry_after_seconds=3.0
            )
        bench.engine(event)
        (refused,) = bench.receive(dispatch("n2"))
        assert (refused.reason, refused.retry_after_seconds) == (
            RefusalReason.OVERLOADED,
            3.0,
        )
        assert len(bench.starts) == 1
        bench.now = 3.0
        bench.receive(dispatch("n3"))
        (refused,) = bench.receive(dispatch("n4"))
        assert refused.reason is RefusalReason.OVERLOADED
        bench.answer("n3", end=False)
        bench.receive(dispatch("n5"))
        assert [start.dispatch.nonce for start in bench.starts] == ["n1", "n3", "n5"]

    def test_broken_run_is_failed_and_not_billed(self, bench):
        bench.receive(dispatch())
        event = RunBroken(nonce="n1", reason=FailureReason.CRASHED, tokens=6)
        seen, failed, _ = bench.engine(event)
        assert isinstance(seen, CrashSeen)
        assert isinstance(failed, Failed)
        assert failed.may_have_run
        (receipt,) = bench.core.journal.receipts_for_router("a")
        assert (receipt.tokens, receipt.billable) == (6, False)

    def test_answer_of_a_filing_is_stored_until_its_outcome_is_durable(self, bench):
        bench.receive(dispatch(idempotent=False))
        bench.answer()
        aged(bench)
        assert bench.core.answer_streams.answers.get("n1") is not None
        bench.receive(OutcomeDurable(nonces=("n1",)))
        aged(bench)
        assert bench.core.answer_streams.answers.get("n1") is None


class TestSeals:
    def test_running_work_is_reported_at_its_bound_then_at_its_cost(self, bench):
        bench.receive(dispatch(reservation=40))
        (first,) = bench.receive(Seal(router="a"), peer="sealer", sender="b")
        assert (first.ran, first.running) == ({}, {"chat": 40})
        bench.answer()
        last = bench.effects[-1]
        assert isinstance(last.message, Sealed)
        assert last.peer == "sealer"
        assert (last.message.ran, last.message.running) == ({"chat": 5}, {})
        assert [r.tokens for r in last.message.receipts] == [5]

    def test_heartbeat_is_answered_with_load_and_epoch(self, bench):
        bench.receive(dispatch())
        (heartbeat,) = bench.receive(Heartbeat())
        assert (heartbeat.running, heartbeat.epoch) == (1, 1)


class TestCrashes:
    def test_one_crash_of_many_runs_is_reported_once_to_every_router(self, bench):
        bench.receive(Heartbeat(), peer="q", sender="b")
        for nonce in ("n1", "n2"):
            bench.receive(dispatch(nonce, body=nonce.encode()))
        bench.effects.clear()
        for nonce in ("n1", "n2"):
            event = RunBroken(nonce=nonce, reason=FailureReason.CRASHED, tokens=6)
            bench.engine(event)
        reports = [
            e for e in bench.effects if isinstance(getattr(e, "message", 0), CrashSeen)
        ]
        assert sorted(e.peer for e in reports) == ["p", "q"]
        (seen,) = {e.message for e in reports}
        assert len(seen.fingerprints) == 2
        assert not seen.alone

    def test_disconnected_routers_are_removed(self, bench):
        for serial in range(100):
            bench.receive(Heartbeat(), peer=f"a/{serial}")
        bench.core.on_epoch(PEER_EXPIRY_SECONDS + 1)
        bench.receive(dispatch())
        event = RunBroken(nonce="n1", reason=FailureReason.CRASHED, tokens=6)
        reports = [m for m in bench.engine(event) if isinstance(m, CrashSeen)]
        assert len(reports) == 1

    def test_next_crash_has_an_id_of_its_own(self, bench):
        ids = set()
        for nonce in ("n1", "n2"):
            bench.receive(dispatch(nonce, alone=True))
            event = RunBroken(nonce=nonce, reason=FailureReason.CRASHED, tokens=6)
            seen = bench.engine(event)[0]
            assert seen.alone
            ids.add(seen.crash_id)
        assert len(ids) == 2


class TestAlone:
    def test_isolated_run_waits_for_running_ones_and_runs_alone(self, bench):
        """A request that was running at two crashes is run in isolation.

        Started beside other runs, a third crash would break these as well.
        """
        bench.receive(dispatch("n1"))
        bench.receive(dispatch("n2", alone=True))
        (refused,) = bench.receive(dispatch("n3"))
        assert refused.reason is RefusalReason.OVERLOADED
        assert [s.dispatch.nonce for s in bench.starts] == ["n1"]
        bench.answer("n1")
        assert [s.dispatch.nonce for s in bench.starts] == ["n1", "n2"]
        bench.answer("n2")
        bench.receive(dispatch("n4"))
        assert bench.starts[-1].dispatch.nonce == "n4"

    def test_pending_isolated_run_that_is_cancelled_never_runs(self, bench):
        bench.receive(dispatch("n1"))
        bench.receive(dispatch("n2", alone=True))
        (refused,) = bench.receive(Cancel(nonce="n2"))
        assert refused.reason is RefusalReason.DEADLINE
        bench.receive(dispatch("n3"))
        assert [s.dispatch.nonce for s in bench.starts] == ["n1", "n3"]
