"""Tests of the account of what callers have sent: who is ended when room is short."""

import pytest

from ragwortkeel.received_bytes import (
    CONNECTION_BYTES,
    LARGE_BYTES,
    LARGE_FRACTION,
    CallerBytes,
    ReceivedBytes,
    Shortage,
)

MAX_BYTES = 1024 * 1024
MAX_LARGE_BYTES = int(MAX_BYTES * LARGE_FRACTION)
LARGE = 4 * LARGE_BYTES


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class World:
    """An account with a clock, and callers by name."""

    def __init__(self):
        self.clock = Clock()
        self.account = ReceivedBytes(
            max_bytes=MAX_BYTES, max_connections=lambda: 5, clock=self.clock
        )
        self.ended = []

    def caller(self, name, size, *, complete=False):
        def end(cause):
            self.ended.append(name)
            return cause is Shortage.DESCRIPTORS

        rv = CallerBytes(account=self.account, end=end)
        rv.begin_request(0, 0)
        rv.grow(size)
        if complete:
            rv.complete(size, 0)
        return rv


@pytest.fixture
def world():
    return World()


class TestIncompleteRequests:
    def test_a_crowd_that_stopped_makes_room_for_a_new_large_request(self, world):
        """Guards against incomplete bodies that keep others out until they expire."""
        for number in range(3):
            world.caller(f"c{number}", LARGE - CONNECTION_BYTES)
        world.clock.now += 1.0
        new = world.caller("new", 0)
        for _ in range(4):
            new.grow(LARGE_BYTES // 2)
        assert not new.is_ended
        assert len(world.ended) == 1

    def test_a_crowd_of_small_requests_makes_room_for_a_new_one(self, world):
        """Guards against many small incomplete requests that keep others out."""
        for number in range(MAX_BYTES // LARGE_BYTES):
            world.caller(f"c{number}", LARGE_BYTES - CONNECTION_BYTES)
        world.clock.now += 1.0
        assert not world.caller("new", LARGE_BYTES - CONNECTION_BYTES).is_ended
        assert world.ended

    def test_the_one_that_holds_most_for_longest_is_ended(self, world):
        world.caller("small and old", LARGE_BYTES)
        world.clock.now += 4.0
        world.caller("large and old", LARGE)
        world.clock.now += 5.0
        world.caller("large and new", LARGE)
        world.caller("new", LARGE)
        assert world.ended == ["large and old"]

    def test_what_was_ended_is_ended_once_and_holds_nothing(self, world):
        first = world.caller("first", LARGE)
        world.clock.now += 1.0
        for number in range(3):
            world.caller(f"c{number}", LARGE)
        assert world.ended.count("first") == 1
        assert first.size == CONNECTION_BYTES

    def test_the_total_stays_within_the_bound(self, world):
        callers = [world.caller(f"c{number}", 0) for number in range(20)]
        for _ in range(40):
            for caller in callers:
                if not caller.is_ended:
                    world.clock.now += 0.001
                    caller.grow(LARGE_BYTES // 8)
                assert world.account.total <= MAX_BYTES


class TestCompleteRequests:
    def test_complete_requests_are_never_ended(self, world):
        """Guards against ending a request that may have run."""
        for number in range(3):
            world.caller(f"c{number}", LARGE - CONNECTION_BYTES, complete=True)
        world.clock.now += 1.0
        assert world.caller("new", LARGE).is_ended
        assert world.ended == ["new"]

    def test_complete_large_requests_leave_room_for_small_ones(self, world):
        """Guards against whole bodies that wait and keep ordinary callers out."""
        size = MAX_LARGE_BYTES // 3 - CONNECTION_BYTES
        for number in range(3):
            world.caller(f"c{number}", size, complete=True)
        small = [world.caller(f"s{number}", 1000) for number in range(20)]
        assert not any(caller.is_ended for caller in small)

    def test_a_large_request_is_refused_from_its_length(self, world):
        world.caller("c", MAX_LARGE_BYTES - LARGE, complete=True)
        assert world.account.can_hold(LARGE // 2)
        assert not world.account.can_hold(LARGE)
        assert world.account.can_hold(LARGE_BYTES)


class TestSingleRequest:
    def test_a_single_large_request_may_exceed_the_bound(self, world):
        """Guards against a legal request that is refused although nothing waits."""
        for number in range(10):
            world.caller(f"idle-{number}", 0)
        assert world.account.can_hold(2 * MAX_BYTES)
        single = world.caller("single", 0)
        for _ in range(32):
            single.grow(LARGE_BYTES)
        assert not single.is_ended

    def test_closed_connections_hold_nothing(self, world):
        callers = [world.caller(f"c{number}", 1000) for number in range(5)]
        for caller in callers:
            caller.close()
        assert world.account.total == 0


class TestDescriptors:
    def test_the_longest_wait_makes_place_for_a_new_connection(self, world):
        """Guards against connections without a request that keep others out."""
        for number in range(5):
            assert world.account.make_place()
            world.caller(f"c{number}", 0)
            world.clock.now += 1.0
        assert world.account.make_place()
        assert world.ended == ["c0"]

    def test_open_requests_are_not_ended_for_a_new_connection(self, world):
        for number in range(5):
            world.caller(f"c{number}", 100, complete=True)
        assert not world.account.make_place()
        assert world.ended == []

    def test_a_refused_caller_that_stays_is_closed(self, world):
        """Guards against refused callers that keep their descriptors."""
        for number in range(4):
            world.caller(f"c{number}", LARGE - CONNECTION_BYTES)
            world.clock.now += 1.0
        assert world.ended == ["c0"]
        world.caller("c4", 0)
        assert world.account.make_place()
        assert world.ended == ["c0", "c0"]
