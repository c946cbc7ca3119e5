from collections import Counter

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from tests.policy.helpers import batch, request

from ragwortkeel.configuration import ServiceClass
from ragwortkeel.policy.queueing import FairQueue, QueuedRequest

EVERY = frozenset(ServiceClass)


def waiting(request_id, latest_start=100.0, made=request, **facts):
    return QueuedRequest(request=made(request_id, **facts), latest_start=latest_start)


def drain(queue, count=1000, services=EVERY):
    taken = []
    while len(taken) < count and (first := queue.peek(services)):
        queue.pop(first)
        taken.append(first.request)
    return taken


class TestFairShare:
    def test_flood_does_not_delay_a_small_customer(self):
        """One customer sends hundreds of requests, another sends one chat."""
        queue = FairQueue()
        for i in range(200):
            queue.push(waiting(f"flood{i}", customer="large"))
        queue.push(waiting("chat", customer="small"))
        assert "chat" in [each.request_id for each in drain(queue, 2)]

    def test_shares_are_equal_by_tokens(self):
        queue = FairQueue()
        for i in range(40):
            queue.push(waiting(f"long{i}", customer="a", cost=1000))
            queue.push(waiting(f"short{i}", customer="b", cost=100))
        taken = Counter(each.customer for each in drain(queue, 33))
        assert taken == {"a": 3, "b": 30}

    def test_idle_customer_accumulates_no_credit(self):
        queue = FairQueue()
        for i in range(100):
            queue.push(waiting(f"a{i}", customer="a"))
        drain(queue, 50)
        for i in range(100):
            queue.push(waiting(f"b{i}", customer="b"))
        taken = Counter(each.customer for each in drain(queue, 20))
        assert taken == {"a": 10, "b": 10}

    @pytest.mark.parametrize(("fair", "owner"), [(True, "large"), (False, "small")])
    def test_full_queue_displaces_largest_customer(self, fair, owner):
        queue = FairQueue(max_requests=4, fair=fair)
        for i in range(4):
            assert queue.push(waiting(f"flood{i}", customer="large")) is None
        assert queue.push(waiting("s", customer="small")).request.customer == owner


class TestClasses:
    def test_batch_is_slowed_but_not_starved(self):
        queue = FairQueue()
        for i in range(100):
            queue.push(waiting(f"i{i}", cost=100))
            queue.push(waiting(f"b{i}", made=batch, cost=1000))
        taken = Counter(each.service_class for each in drain(queue, 22))
        assert taken == {ServiceClass.INTERACTIVE: 20, ServiceClass.BATCH: 2}

    def test_excluded_class_is_skipped(self):
        queue = FairQueue()
        queue.push(waiting("b", made=batch))
        queue.push(waiting("i"))
        taken = drain(queue, services={ServiceClass.INTERACTIVE})
        assert [each.request_id for each in taken] == ["i"]


class QueueMachine(RuleBasedStateMachine):
    """Each request leaves the queue once, and counts agree, in any order of calls."""

    def __init__(self):
        super().__init__()
        self.queue = FairQueue(max_requests=5)
        self.inside = {}
        self.now = 0.0
        self.number = 0

    @rule(
        customer=st.sampled_from("abc"),
        service=st.sampled_from(list(ServiceClass)),
        slack=st.integers(0, 9),
        cost=st.integers(1, 50),
    )
    def push(self, customer, service, slack, cost):
        self.number += 1
        new = waiting(
            f"r{self.number}",
            self.now + slack,
            customer=customer,
            service_class=service,
            cost=cost,
        )
        self.inside[new.request.request_id] = new
        if gone := self.queue.push(new):
            del self.inside[gone.request.request_id]

    @precondition(lambda self: self.inside)
    @rule(services=st.sets(st.sampled_from(list(ServiceClass))))
    def take(self, services):
        first = self.queue.peek(services)
        there = [w for w in self.inside.values() if w.request.service_class in services]
        assert bool(first) == bool(there)
        if first:
            self.queue.pop(first)
            del self.inside[first.request.request_id]

    @rule(number=st.integers(1, 30))
    def remove(self, number):
        known = self.inside.pop(f"r{number}", None)
        assert self.queue.remove(f"r{number}") == bool(known)

    @rule(seconds=st.integers(0, 4))
    def pass_time(self, seconds):
        self.now += seconds
        late = {w.request.request_id for w in self.queue.pop_expired(self.now)}
        due = {i for i, w in self.inside.items() if w.latest_start < self.now}
        assert late == due
        for request_id in late:
            del self.inside[request_id]

    @invariant()
    def counts_agree(self):
        assert len(self.queue) == len(self.inside)
        starts = [w.latest_start for w in self.inside.values()]
        assert self.queue.next_expiry_at() == min(starts, default=None)
        for service in ServiceClass:
            there = [
                w for w in self.inside.values() if w.request.service_class is service
            ]
            assert self.queue.length(service) == len(there) <= 5


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = hypothesis_settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
