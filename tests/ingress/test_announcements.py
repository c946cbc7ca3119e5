"""What upstreams announce in responses, and rate limits that peers report."""

from time import monotonic

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.ingress.builders import upstream

from ragwortkeel.exceptions import AnnouncementUnreadable
from ragwortkeel.ingress.announcements import (
    RETRY_AFTER_HEADER,
    AnnouncementReader,
    Pause,
    RateLimit,
    read_limit,
    read_pause,
)
from ragwortkeel.ingress.directory import Directory
from ragwortkeel.ingress.leaving_tracker import LeavingTracker
from ragwortkeel.ingress.limit_tracker import LimitTracker
from ragwortkeel.ingress.names import HeaderNames
from ragwortkeel.ingress.pause_tracker import PauseTracker
from ragwortkeel.ingress.upstream_connection import ResponseHead
from ragwortkeel.metrics import Metrics

NAMES = HeaderNames()
UPSTREAM = upstream("u1")
HEADERS = (NAMES.rate_limit, NAMES.leaving, RETRY_AFTER_HEADER)


def head(*values, header=NAMES.rate_limit, status=200):
    fields = tuple((header, value) for value in values)
    return ResponseHead(status=status, fields=fields)


class Process:
    """The parts of a process that read announcements."""

    def __init__(self):
        self.metrics = Metrics()
        self.tracker = LimitTracker(metrics=self.metrics)
        self.directory = Directory()
        self.directory.merge_entry("u1", UPSTREAM, version=1, now=0.0)
        self.leaving = LeavingTracker(directory=self.directory, metrics=self.metrics)
        self.pauses = PauseTracker(metrics=self.metrics)
        self.announcements = AnnouncementReader(
            names=NAMES,
            limits=self.tracker,
            leaving=self.leaving,
            pauses=self.pauses,
        )

    def receive(self, *values, sent_at=0.0, **fields):
        """Receive a response of the upstream with these header values."""
        response = head(*values, **fields)
        self.announcements.receive_head(UPSTREAM, response, sent_at=sent_at)


class TestReading:
    @pytest.mark.parametrize(
        ("values", "limit"),
        [((), None), (("1.2",), 1.2), (("0",), 0.0), ((" 7 ",), 7.0), ((".5",), 0.5)],
    )
    def test_a_decimal_number_is_a_limit(self, values, limit):
        announced = read_limit(head(*values), NAMES.rate_limit)
        assert announced == RateLimit(per_second=limit)

    @pytest.mark.parametrize(
        "values",
        [
            ("",),
            ("-1",),
            ("nan",),
            ("inf",),
            ("1e3",),
            ("1,2",),
            ("many",),
            ("1.2", "3"),
            ("9" * 40,),
        ],
    )
    def test_anything_else_is_unreadable(self, values):
        with pytest.raises(AnnouncementUnreadable):
            read_limit(head(*values), NAMES.rate_limit)

    @pytest.mark.parametrize("header", HEADERS)
    @given(values=st.lists(st.text(max_size=30), max_size=3))
    def test_no_value_raises_an_error(self, header, values):
        """Guards against a response that is lost because of an invalid header."""
        Process().receive(*values, header=header, status=503)

    @pytest.mark.parametrize("status", [200, 404, 429, 500, 502])
    def test_retry_after_asks_for_a_pause_only_with_503(self, status):
        """Guards against an upstream that is unused since it rejected one customer."""
        assert read_pause(
            head("3", header=RETRY_AFTER_HEADER, status=503), "retry-after"
        ) == Pause(seconds=3.0)
        response = head("3", header=RETRY_AFTER_HEADER, status=status)
        assert read_pause(response, RETRY_AFTER_HEADER) == Pause(seconds=0.0)

    @pytest.mark.parametrize(
        "values",
        [("-1",), ("soon",), ("Wed, 21 Oct 2026 07:28:00 GMT",), ("nan",), ("3", "4")],
    )
    def test_other_pauses_are_unreadable(self, values):
        with pytest.raises(AnnouncementUnreadable):
            read_pause(
                head(*values, header=RETRY_AFTER_HEADER, status=503),
                RETRY_AFTER_HEADER,
            )


class TestAnnouncements:
    def test_an_unreadable_limit_keeps_the_limit_in_force(self):
        process = Process()
        process.receive("1.5", sent_at=0.0)
        process.receive("many", sent_at=1e12)
        assert process.tracker.limits.limit_of("u1") == 1.5

    def test_a_restart_ends_the_limit(self):
        """Guards against a limit that stays in force after its upstream restarts."""
        process = Process()
        process.tracker.record_start(upstream("u1", started_ms=1))
        process.receive("1.5", sent_at=0.0)
        process.tracker.record_start(upstream("u1", started_ms=1))
        assert process.tracker.limits.limit_of("u1") == 1.5
        process.tracker.record_start(upstream("u1", started_ms=2))
        assert process.tracker.limits.limit_of("u1") is None

    @pytest.mark.parametrize("removed", [False, True])
    def test_the_metric_ends_with_the_limit(self, removed):
        process = Process()
        process.receive("1.5", sent_at=0.0)
        assert b'announced_limit{upstream="u1"} 1.5' in process.metrics.render()
        if not removed:
            process.receive(sent_at=1e12)
        process.tracker.retain(set())
        assert b'announced_limit{upstream="u1"}' not in process.metrics.render()


class TestPeers:
    def test_a_peer_receives_a_limit_and_its_end(self):
        """Guards against a process that keeps an old limit as it sends no request."""
        sender = Process()
        peer = Process()
        sender.receive("1.5", sent_at=0.0)
        peer.tracker.merge(sender.tracker.recent())
        assert peer.tracker.limits.limit_of("u1") == 1.5
        sender.receive(sent_at=monotonic())
        peer.tracker.merge(sender.tracker.recent())
        assert peer.tracker.limits.limit_of("u1") is None

    def test_a_limit_received_from_a_peer_is_not_reported(self):
        """Guards against two processes that renew an old limit for each other."""
        sender = Process()
        peer = Process()
        sender.receive("1.5", sent_at=0.0)
        peer.tracker.merge(sender.tracker.recent())
        assert not peer.tracker.recent()
