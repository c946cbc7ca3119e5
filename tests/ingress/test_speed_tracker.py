"""What is measured of upstreams, and what the worker does with it."""

from time import monotonic

import msgspec
import pytest
from deployments.ports import free_address
from tests.ingress.builders import engine_service, job, upstream

from ragwortkeel.ingress.names import HeaderNames
from ragwortkeel.ingress.peer_statuses import PeerStatuses
from ragwortkeel.ingress.placement import Placement
from ragwortkeel.ingress.speed_tracker import AnswerTimer, SpeedTracker
from ragwortkeel.ingress.upstream_connection import ResponseHead
from ragwortkeel.ingress.worker import IngressWorker
from ragwortkeel.messages import InstanceStatus
from ragwortkeel.metrics import Metrics
from ragwortkeel.settings import IngressSettings, InstanceCapacity
from ragwortkeel.standins.local_platform import LocalPlatform

ENGINES = {f"e{n}": upstream(f"e{n}", service="pool", slots=64) for n in range(6)}
STREAM = ResponseHead(status=200, fields=(("content-type", "text/event-stream"),))
CAPACITY = InstanceCapacity(link_bytes_per_second=625_000.0, memory_bytes=1 << 28)


def answer(tracker, name, seconds, head=STREAM):
    """Let an engine answer a request that was sent so long ago."""
    assignment = Placement(zone="a").assign(
        job("r1", service="pool", prompt=800),
        service=engine_service(),
        upstream_by_name={name: ENGINES[name]},
        now=0.0,
    )
    timer = AnswerTimer(assignment=assignment, is_engine=True, tracker=tracker)
    timer.receive_head(head, monotonic() - seconds)
    timer.receive_event()
    timer.receive_event()


@pytest.fixture
def metrics():
    return Metrics()


@pytest.fixture
def tracker(metrics):
    rv = SpeedTracker(metrics=metrics)
    rv.retain(ENGINES)
    for _ in range(6):
        for name in ENGINES:
            answer(rv, name, 0.1)
    return rv


def worker(**fields):
    settings = IngressSettings(
        name="i1",
        zone="a",
        address=free_address(),
        http=free_address(),
        metrics=free_address(),
        platform="127.0.0.1:9",
        **fields,
    )
    return IngressWorker(
        settings=settings, platform=LocalPlatform(), names=HeaderNames()
    )


def test_a_slow_engine_is_measured_and_shown(tracker, metrics):
    for _ in range(12):
        answer(tracker, "e0", 0.4)
    tracker.update([])
    assert tracker.speeds.factor(("e0", 0)) > 1.5
    assert b'ragwortkeel_upstream_slowness{upstream="e0"}' in metrics.render()
    tracker.retain({name: ENGINES[name] for name in ("e1", "e2")})
    assert b'upstream="e0"' not in metrics.render()


@pytest.mark.parametrize(
    "head",
    [
        ResponseHead(status=503, fields=STREAM.fields),
        ResponseHead(status=200, fields=(("content-type", "text/plain"),)),
    ],
)
def test_errors_and_whole_answers_of_engines_are_not_measured(tracker, head):
    """Guards against an upstream that fails fast and so looks fast."""
    for _ in range(12):
        answer(tracker, "e0", 0.001, head=head)
    tracker.update([])
    assert tracker.speeds.factor(("e0", 0)) == 1.0


def test_a_status_carries_what_was_measured():
    """Guards against factors that peers never learn of."""
    measuring = worker(capacity=CAPACITY, measures_upstreams=True)
    measuring._speed_tracker.retain(ENGINES)
    for _ in range(6):
        for name in ENGINES:
            answer(measuring._speed_tracker, name, 0.1)
    for _ in range(12):
        answer(measuring._speed_tracker, "e0", 0.4)
    measuring._speed_tracker.update([])
    status = measuring.instance_status()
    assert set(status.slowness_by_upstream) == {"e0"}
    assert status.samples_by_upstream["e0"] > 10.0


def test_without_the_setting_nothing_is_measured_or_sent():
    plain = worker(capacity=CAPACITY)
    assert plain._speed_tracker is None
    assert plain.instance_status() == InstanceStatus(
        zone="a",
        capacity=CAPACITY.link_bytes_per_second,
        in_rotation=False,
        watches_by_capacity=True,
    )
    timer = AnswerTimer(assignment=None, is_engine=True, tracker=None)
    timer.receive_head(STREAM, monotonic())
    timer.receive_event()


def test_counts_of_samples_out_of_range_are_left_out():
    """Guards against a factor that counts by a weight which can't be true."""
    statuses = PeerStatuses()
    status = InstanceStatus(
        slowness_by_upstream={"e0": 2.0, "e1": 2.0, "e2": 200.0},
        samples_by_upstream={"e0": 3.0, "e1": -1.0, "e2": 4.0, "e3": 1.0},
    )
    statuses.merge("peer", status, now=0.0, seconds=2.0)
    (peer,) = statuses.current(1.0)
    assert peer.status == msgspec.structs.replace(
        status,
        slowness_by_upstream={"e0": 2.0, "e1": 2.0},
        samples_by_upstream={"e0": 3.0},
    )
