from tests.ingress.builders import job

from ragwortkeel.ingress.request_queue import QueuedRequest, RequestQueue


def queued_request(request_id, arrived_at=0.0, **fields):
    return QueuedRequest(
        job=job(request_id, **fields), arrived_at=arrived_at, latest_start=9.0
    )


def order(queue):
    return [one.job.request_id for one in queue.in_order("app")]


class TestRequestQueue:
    def test_urgent_requests_go_first_then_the_first_to_arrive(self):
        queue = RequestQueue()
        queue.add(queued_request("late", arrived_at=2.0))
        queue.add(queued_request("early", arrived_at=1.0))
        queue.add(queued_request("urgent", arrived_at=3.0, priority=0))
        assert order(queue) == ["urgent", "early", "late"]

    def test_a_customer_with_fewer_running_requests_goes_first(self):
        """Guards against a burst of one customer that delays all others."""
        queue = RequestQueue()
        for i in range(3):
            queue.record_started(job(f"run{i}", customer="large"))
        queue.add(queued_request("of-large", arrived_at=0.0, customer="large"))
        queue.add(queued_request("of-small", arrived_at=1.0, customer="small"))
        assert order(queue) == ["of-small", "of-large"]

    def test_only_requests_of_at_least_equal_priority_are_ahead(self):
        queue = RequestQueue()
        queue.add(queued_request("r1", priority=2))
        assert queue.queued_ahead(job("r2", priority=1)) == 0
        assert queue.queued_ahead(job("r2", priority=2)) == 1

    def test_a_removed_request_is_not_queued(self):
        queue = RequestQueue()
        queue.add(queued_request("r1"))
        queue.remove(job("r1"))
        assert queue.services() == []
        assert len(queue) == 0
