"""The account of the bytes of answers."""

import curio
import pytest
from tests.ingress.in_process import (
    chunk,
    events,
    run_ingress,
    stream_head,
    stream_whole,
)

from ragwortkeel.exceptions import ExchangeBroken
from ragwortkeel.ingress.answer_bytes import AnswerBytes, HeldAnswer

MAX_BYTES = 100


class World:
    """An account, and the requests whose answers it has cut off."""

    def __init__(self):
        self.cut_off = []
        self.ended = 0
        self.account = AnswerBytes(max_bytes=MAX_BYTES, on_ended=self._count)

    def _count(self):
        self.ended += 1

    def answer(self, request_id, size=0):
        rv = HeldAnswer(account=self.account, request_id=request_id)
        rv.begin(lambda: self.cut_off.append(request_id))
        if size:
            rv.hold(size)
        return rv


def test_the_incomplete_answer_that_holds_most_ends():
    """Guards against answers that together use up the memory."""
    world = World()
    large, small = world.answer("large", 60), world.answer("small", 40)
    small.hold(41)
    assert (world.cut_off, world.ended, world.account.total) == (["large"], 1, 41)
    with pytest.raises(ExchangeBroken):
        large.hold(61)


def test_an_answer_may_end_itself():
    world = World()
    world.answer("small", 40)
    large = world.answer("large", 60)
    with pytest.raises(ExchangeBroken):
        large.hold(61)
    assert (world.cut_off, world.account.total) == (["large"], 40)


def test_a_single_answer_may_exceed_the_bound():
    """Guards against a bound that a single answer meets in calm."""
    world = World()
    assert world.answer("only", 2 * MAX_BYTES).size == 2 * MAX_BYTES
    assert not world.cut_off


def test_a_complete_answer_is_kept():
    """Guards against a ready answer that is dropped to make room."""
    world = World()
    ready = world.answer("ready", 90)
    ready.complete()
    late = world.answer("late")
    with pytest.raises(ExchangeBroken):
        late.hold(11)
    assert (world.cut_off, ready.size) == (["late"], 90)


def test_a_failure_that_is_kept_beside_another_run_counts():
    world = World()
    answer = world.answer("a", 20)
    answer.complete()
    answer.begin(lambda: None)
    answer.hold(5)
    assert world.account.total == 25
    answer.drop()
    assert world.account.total == 20
    answer.close()
    assert world.account.total == 0


def test_another_run_may_be_held_after_an_answer_was_ended():
    world = World()
    answer, _ = world.answer("a", 60), world.answer("b", 41)
    answer.drop()
    answer.begin(lambda: None)
    answer.hold(10)
    assert (world.cut_off, world.account.total) == (["a"], 51)


def test_what_a_complete_answer_leaves_over_ends_no_connection():
    """Guards against a connection that is cut off within the next request on it."""
    world = World()
    ready = world.answer("ready", 1)
    ready.complete()
    world.answer("other", MAX_BYTES - 1).complete()
    with pytest.raises(ExchangeBroken):
        world.answer("late").hold(1)
    assert world.cut_off == ["late"]


def test_a_stream_whose_answer_is_ended_goes_on_without_a_gap():
    """Guards against events that arrived before the end and never reach the caller."""
    fleets = []

    async def script(seen, sock):
        if "last-event-id" in seen.headers:
            return await stream_whole(seen, sock)
        whole = events(1, 5)
        await sock.sendall(stream_head(seen) + chunk(whole[: len(events(1, 3)) - 1]))
        await curio.sleep(0.1)
        # The process finds both when it reads next.
        sock._socket.send(chunk(whole[len(events(1, 3)) - 1 : -1]))
        account = fleets[0].workers[0]._front._components.answers
        for answer in list(account._holding):
            account._end(answer)
        await curio.sleep(5)
        return False

    async def scenario(fleet):
        fleets.append(fleet)
        return await fleet.ask("/chat/1")

    answer = run_ingress(scenario, scripts={"e1": script, "e2": script})
    assert (answer.status, answer.body) == (200, events(1, 5))
