from tests.ingress.builders import job

from ragwortkeel.ingress.request_queue import QueuedRequest, RequestQueue


def waiter(request_id, arrived_at=0.0, **fields):
    return QueuedRequest(
        job=job(request_id, **fields), arrived_at=arrived_at, latest_start=9.0
    )


def order(room):
    return [one.job.request_id for one in room.in_order("app")]


class TestRequestQueue:
    def test_urgent_requests_go_first_then_the_first_to_come(self):
        room = RequestQueue()
        room.add(waiter("late", arrived_at=2.0))
        room.add(waiter("early", arrived_at=1.0))
        room.add(waiter("urgent", arrived_at=3.0, priority=0))
        assert order(room) == ["urgent", "early", "late"]

    def test_a_customer_with_little_running_goes_before_one_with_much(self):
        """One customer sends many times its usual and all others wait behind it."""
        room = RequestQueue()
        for i in range(3):
            room.record_started(job(f"run{i}", customer="large"))
        room.add(waiter("of-large", arrived_at=0.0, customer="large"))
        room.add(waiter("of-small", arrived_at=1.0, customer="small"))
        assert order(room) == ["of-small", "of-large"]

    def test_only_requests_as_urgent_count_as_ahead(self):
        room = RequestQueue()
        room.add(waiter("r1", priority=2))
        assert room.queued_ahead(job("r2", priority=1)) == 0
        assert room.queued_ahead(job("r2", priority=2)) == 1

    def test_a_request_that_left_is_forgotten(self):
        room = RequestQueue()
        room.add(waiter("r1"))
        room.remove(job("r1"))
        assert room.services() == []
        assert len(room) == 0
