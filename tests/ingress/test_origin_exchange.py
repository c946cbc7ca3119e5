"""Questions to peers for the versions that began streams."""

from math import inf
from time import monotonic

import curio
import pytest

from ragwortkeel.ingress.origin_exchange import (
    ANSWER_SECONDS,
    Found,
    NotFound,
    OriginExchange,
)
from ragwortkeel.ingress.relay_worker import MAX_KEPT_ORIGINS
from ragwortkeel.messages import (
    OriginAnswer,
    OriginNote,
    OriginNotes,
    OriginQuestion,
    OriginsKept,
)
from ragwortkeel.policy.stream_origins import (
    HOLDER_COUNT,
    Origin,
    OriginTable,
    VersionHistory,
)

V1 = Origin(service="chat", version="v1")
NOTE = OriginNote(key=7, service="chat", version="v1")


class FakeLink:
    """A link to a peer that answers questions with `answer`, if it has one."""

    def __init__(self, address, answer=None):
        self.address = address
        self.answer = answer
        self.exchange = None
        self.sent = []

    async def try_send(self, message):
        self.sent.append(message)
        if isinstance(message, OriginQuestion) and self.answer is not None:
            answer = OriginAnswer(question_id=message.question_id, **self.answer)
            await self.exchange.receive_answer(self.address, answer)
        return True


def new_exchange(
    answers=(),
    *,
    versions=("v1",),
    is_complete=True,
    peer_count=None,
    is_current=True,
):
    """Return an exchange and its links, one for each answer; None for no answer."""
    links = {f"peer-{i}": FakeLink(f"peer-{i}", each) for i, each in enumerate(answers)}
    history = VersionHistory(is_complete=is_complete)
    history.update({("chat", version) for version in versions}, now=monotonic())
    exchange = OriginExchange(
        table=OriginTable(),
        history=history,
        links=lambda: links,
        peer_count=lambda: len(links) if peer_count is None else peer_count,
        is_current=lambda: is_current,
    )
    for link in links.values():
        link.exchange = exchange
    return exchange, links


def find(exchange):
    async def main():
        async with curio.timeout_after(10 * ANSWER_SECONDS):
            return await exchange.find(7, service="chat")

    return curio.run(main)


UNKNOWN = {"versions": ("v1",), "followed_seconds": inf}


class TestFind:
    def test_no_peer_is_asked_for_an_origin_that_is_known_here(self):
        exchange, links = new_exchange([UNKNOWN], versions=("v1", "v2"))
        exchange.receive_notes(OriginNotes(notes=(NOTE,)))
        found = find(exchange)
        assert (found.origin, found.source) == (V1, "own")
        assert links["peer-0"].sent == []

    def test_one_peer_that_knows_it_is_enough(self):
        """Guards against a stream that is refused since another holder is silent."""
        known = {"note": NOTE, "age_seconds": 2.5}
        exchange, _ = new_exchange([None, UNKNOWN, known], versions=("v1", "v2"))
        found = find(exchange)
        assert found == Found(origin=V1, source="peer-2", age_seconds=2.5)

    def test_an_answer_is_remembered(self):
        exchange, links = new_exchange([{"note": NOTE}], versions=("v1", "v2"))
        find(exchange)
        assert find(exchange).source == "own"
        assert len(links["peer-0"].sent) == 1

    def test_without_an_answer_the_question_ends_in_time(self):
        """Guards against callers that wait for peers behind a silent link."""
        exchange, _ = new_exchange([None, None])
        found = find(exchange)
        assert isinstance(found, NotFound)
        assert (found.answers, found.asked) == (0, 2)


class TestSoleVersion:
    def test_an_unknown_stream_goes_on_if_there_has_been_one_version_only(self):
        exchange, _ = new_exchange([UNKNOWN, None])
        assert find(exchange) == Found(origin=V1, source="sole_version")

    def test_a_process_without_peers_needs_no_answer(self):
        exchange, _ = new_exchange()
        assert find(exchange) == Found(origin=V1, source="sole_version")

    def test_a_process_that_reaches_no_peer_is_not_certain(self):
        """Guards against a process in a partition that missed a new version."""
        exchange, _ = new_exchange(peer_count=2)
        assert isinstance(find(exchange), NotFound)

    @pytest.mark.parametrize(
        ("peer_is_current", "peer_count", "source"),
        [(True, 2, "sole_version"), (False, 2, None), (False, 1, "sole_version")],
    )
    def test_half_a_fleet_that_is_cut_off_from_the_platform_is_not_certain(
        self, peer_is_current, peer_count, source
    ):
        """Guards against a new version that only the other half has heard of."""
        answer = UNKNOWN | {"is_current": peer_is_current}
        exchange, _ = new_exchange([answer], peer_count=peer_count, is_current=False)
        assert getattr(find(exchange), "source", None) == source

    def test_a_version_that_a_peer_has_seen_counts(self):
        """Guards against a process that has not yet heard of a new version."""
        answer = {"versions": ("v1", "v2"), "followed_seconds": 3.0}
        exchange, _ = new_exchange([answer])
        assert find(exchange).versions == {"v1", "v2"}

    def test_after_a_start_of_all_processes_nothing_is_certain(self):
        """Guards against a guess after a loss of power, when all have just started."""
        answer = {"versions": ("v1",), "followed_seconds": 1.0}
        exchange, _ = new_exchange([answer], is_complete=False)
        assert isinstance(find(exchange), NotFound)

    @pytest.mark.parametrize("at_peer", [False, True])
    def test_a_stream_with_two_origins_is_unknown(self, at_peer):
        """Guards against a request id that a caller used for two streams."""
        answer = UNKNOWN | {"is_ambiguous": at_peer}
        exchange, _ = new_exchange([answer])
        if not at_peer:
            other = OriginNote(key=7, service="chat", version="v2")
            exchange.receive_notes(OriginNotes(notes=(NOTE, other)))
        assert isinstance(find(exchange), NotFound)


def test_origins_of_one_moment_go_to_each_holder_in_one_message():
    """Pattern of load: many streams begin at one process."""
    exchange, links = new_exchange([None] * 5)

    async def main():
        task = await curio.spawn(exchange.run, daemon=True)
        for key in range(40):
            await exchange.record(key, V1, upstream="u1")
        await curio.sleep(0.1)
        await task.cancel()

    curio.run(main)
    messages = [link.sent for link in links.values()]
    assert all(len(sent) <= 1 for sent in messages)
    assert sum(len(sent[0].notes) for sent in messages if sent) == 40 * HOLDER_COUNT


def test_a_peer_gets_the_origin_and_the_versions_seen_here():
    exchange, _ = new_exchange(versions=("v1", "v2"))
    exchange.receive_notes(OriginNotes(notes=(NOTE,)))
    known = exchange.answer(OriginQuestion(question_id=3, key=7, service="chat"))
    unknown = exchange.answer(OriginQuestion(question_id=4, key=8, service="chat"))
    assert (known.question_id, known.note) == (3, NOTE)
    assert (unknown.question_id, unknown.note) == (4, None)
    assert unknown.versions == ("v1", "v2")


class TestRestartOfAnUpstream:
    """The entry of an upstream states another version than the one it had."""

    def notes(self, count):
        """Return notes of streams that began at e1 as v1."""
        return tuple(
            OriginNote(key=key, service="chat", version="v1", upstream="e1")
            for key in range(count)
        )

    def test_none_of_the_origins_that_a_relay_kept_stays_certain(self):
        """Guards against kept origins that no entry read later is compared with."""
        exchange, _ = new_exchange(versions=("v1", "v2"))
        notes = self.notes(MAX_KEPT_ORIGINS)

        async def main():
            await exchange.receive_kept(OriginsKept(notes=notes))
            await exchange.record_version("e1", "v2")
            return sum(not exchange.is_ambiguous(note.key) for note in notes)

        assert curio.run(main) == 0

    def test_an_origin_of_a_process_that_has_ended_does_not_stay_certain(self):
        """Guards against a late entry that only the ended process would have minded."""
        exchange, _ = new_exchange(versions=("v1", "v2"))

        async def main():
            exchange.receive_notes(OriginNotes(notes=self.notes(1)))
            await exchange.record_new_version("e1", in_outage=False)
            return await exchange.find(0, service="chat")

        assert isinstance(curio.run(main), NotFound)
