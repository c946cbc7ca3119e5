"""Rate limits that upstreams announce, read from responses and reported by peers."""

from time import monotonic

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.ingress.builders import upstream

from ragwortkeel.exceptions import LimitUnreadable
from ragwortkeel.ingress.limit_reader import LimitReader, read_limit
from ragwortkeel.ingress.upstream_connection import ResponseHead
from ragwortkeel.metrics import Metrics

HEADER = "x-rate-limit"


def head(*values):
    return ResponseHead(status=200, fields=tuple((HEADER, value) for value in values))


class TestReading:
    @pytest.mark.parametrize(
        ("values", "limit"),
        [((), None), (("1.2",), 1.2), (("0",), 0.0), ((" 7 ",), 7.0), ((".5",), 0.5)],
    )
    def test_a_decimal_number_is_a_limit(self, values, limit):
        assert read_limit(head(*values), HEADER) == limit

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
        with pytest.raises(LimitUnreadable):
            read_limit(head(*values), HEADER)

    @given(st.lists(st.text(max_size=30), max_size=3))
    def test_no_value_raises_an_error(self, values):
        """Guards against a response that is lost because of an invalid limit."""
        reader = LimitReader(header=HEADER, metrics=Metrics())
        reader.receive_head("u1", head(*values), sent_at=0.0)


class TestAnnouncements:
    def test_an_unreadable_limit_keeps_the_limit_in_force(self):
        reader = LimitReader(header=HEADER, metrics=Metrics())
        reader.receive_head("u1", head("1.5"), sent_at=0.0)
        reader.receive_head("u1", head("many"), sent_at=1e12)
        assert reader.limits.limit_of("u1") == 1.5

    def test_a_restart_ends_the_limit(self):
        """Guards against a limit that stays in force after its upstream restarts."""
        reader = LimitReader(header=HEADER, metrics=Metrics())
        reader.record_start(upstream("u1", started_ms=1))
        reader.receive_head("u1", head("1.5"), sent_at=0.0)
        reader.record_start(upstream("u1", started_ms=1))
        assert reader.limits.limit_of("u1") == 1.5
        reader.record_start(upstream("u1", started_ms=2))
        assert reader.limits.limit_of("u1") is None

    @pytest.mark.parametrize("removed", [False, True])
    def test_the_metric_ends_with_the_limit(self, removed):
        metrics = Metrics()
        reader = LimitReader(header=HEADER, metrics=metrics)
        reader.receive_head("u1", head("1.5"), sent_at=0.0)
        assert b'announced_limit{upstream="u1"} 1.5' in metrics.render()
        if not removed:
            reader.receive_head("u1", head(), sent_at=1e12)
        reader.retain(set())
        assert b'announced_limit{upstream="u1"}' not in metrics.render()


class TestPeers:
    def test_a_peer_receives_a_limit_and_its_end(self):
        """Guards against a process that keeps an old limit as it sends no request."""
        sender = LimitReader(header=HEADER, metrics=Metrics())
        peer = LimitReader(header=HEADER, metrics=Metrics())
        sender.receive_head("u1", head("1.5"), sent_at=0.0)
        peer.merge(sender.recent())
        assert peer.limits.limit_of("u1") == 1.5
        sender.receive_head("u1", head(), sent_at=monotonic())
        peer.merge(sender.recent())
        assert peer.limits.limit_of("u1") is None

    def test_a_limit_received_from_a_peer_is_not_reported(self):
        """Guards against two processes that renew an old limit for each other."""
        sender = LimitReader(header=HEADER, metrics=Metrics())
        peer = LimitReader(header=HEADER, metrics=Metrics())
        sender.receive_head("u1", head("1.5"), sent_at=0.0)
        peer.merge(sender.recent())
        assert not peer.recent()
