"""The order between customers whose requests run at several processes."""

from tests.ingress.builders import job

from ragwortkeel.ingress.fleet_fairness import FleetFairness
from ragwortkeel.ingress.load_reports import LoadReports
from ragwortkeel.ingress.names import HeaderNames
from ragwortkeel.ingress.peer_statuses import MAX_CUSTOMERS, PeerStatuses
from ragwortkeel.ingress.request_queue import QueuedRequest, RequestQueue
from ragwortkeel.ingress.worker import IngressWorker
from ragwortkeel.messages import IngressState, InstanceStatus
from ragwortkeel.settings import IngressSettings, InstanceCapacity
from ragwortkeel.standins.local_platform import LocalPlatform

HOLD_SECONDS = 2.0


class Process:
    """A process at a moment `now`, with a queue and the statuses of its peers."""

    def __init__(self, *, enabled=True):
        self.now = 0.0
        self.statuses = PeerStatuses()
        self.fairness = FleetFairness(
            enabled=enabled, statuses=self.statuses, clock=lambda: self.now
        )
        self.queue = RequestQueue(peer_running=self.fairness.peer_running)

    def start(self, customer, count):
        for index in range(count):
            self.queue.record_started(job(f"{customer}{index}", customer=customer))

    def enqueue(self, customer):
        queued = job(f"of-{customer}", customer=customer)
        self.queue.add(QueuedRequest(job=queued, arrived_at=self.now, latest_start=9.0))
        self.now += 0.01

    def hear(self, node, **fields):
        status = InstanceStatus(**fields)
        self.statuses.merge(node, status, now=self.now, seconds=HOLD_SECONDS)

    def order(self):
        self.now += 0.1
        return [each.job.customer for each in self.queue.in_order("app")]

    def status(self):
        return self.fairness.add_to(InstanceStatus(), self.queue)


def two_customers(**fields):
    """Queue a request of a customer of all processes, and one of a customer of one."""
    process = Process(**fields)
    process.start("everywhere", 1)
    process.start("here", 3)
    process.enqueue("everywhere")
    process.enqueue("here")
    return process


def test_a_customer_that_fills_the_fleet_waits_for_one_that_fills_a_process():
    """Guards against a customer that looks small at each of the processes it fills."""
    process = two_customers()
    process.hear("b", running_by_customer={"everywhere": 3})
    assert process.order() == ["here", "everywhere"]


def test_the_counts_of_a_silent_peer_end():
    """Guards against an order that rests on a peer that is gone."""
    process = two_customers()
    process.hear("b", running_by_customer={"everywhere": 3})
    process.order()
    process.now += HOLD_SECONDS
    assert process.order() == ["everywhere", "here"]


def test_without_the_setting_peers_neither_decide_nor_get_counts():
    process = two_customers(enabled=False)
    process.hear("b", running_by_customer={"everywhere": 3}, has_queue=True)
    assert process.order() == ["everywhere", "here"]
    assert process.status() == InstanceStatus()


def test_counts_are_sent_only_while_requests_are_queued_in_the_fleet():
    """Guards against a fleet whose processes send counts because their peers do."""
    process = Process()
    process.start("here", 3)
    process.hear("b", running_by_customer={"here": 1})
    assert process.status() == InstanceStatus()
    process.hear("b", has_queue=True)
    assert process.status() == InstanceStatus(running_by_customer={"here": 3})
    process.now += HOLD_SECONDS
    assert process.status() == InstanceStatus()
    process.enqueue("here")
    assert process.status().has_queue


def test_a_report_has_the_largest_customers():
    process = Process()
    for index in range(40):
        process.start(f"c{index}", index + 1)
    process.enqueue("c0")
    running = process.status().running_by_customer
    assert len(running) == MAX_CUSTOMERS
    assert min(running.values()) == 9


def test_a_process_with_only_a_queue_reports_at_once():
    """Guards against a queue that peers hear of five seconds later."""
    state = IngressState(
        node="a",
        address="",
        addresses=(),
        relays=(),
        load_by_upstream={},
        status=InstanceStatus(has_queue=True),
    )
    reports = LoadReports()
    assert [reports.mark_due("b", state, now) for now in (0.0, 0.2)] == [True, True]


def test_a_worker_exchanges_counts_and_orders_by_them():
    """Guards against counts that no part of a process uses."""
    worker = IngressWorker(
        settings=IngressSettings(
            name="i1",
            zone="a",
            address="127.0.0.1:9",
            http="127.0.0.1:9",
            metrics="127.0.0.1:9",
            platform="127.0.0.1:9",
            capacity=InstanceCapacity(link_bytes_per_second=625e3, memory_bytes=10**9),
            fleet_fairness=True,
        ),
        platform=LocalPlatform(),
        names=HeaderNames(),
    )
    queue = worker._dispatcher.queue
    queue.record_started(job("r1", customer="here"))
    heard = InstanceStatus(has_queue=True, running_by_customer={"everywhere": 3})
    worker.receive_instance_status("b", heard, hold_seconds=HOLD_SECONDS)
    assert worker.instance_status().running_by_customer == {"here": 1}
    for arrived_at, customer in enumerate(("everywhere", "here")):
        queued = job(f"of-{customer}", customer=customer)
        queue.add(QueuedRequest(job=queued, arrived_at=arrived_at, latest_start=9.0))
    assert [each.job.customer for each in queue.in_order("app")][0] == "here"
