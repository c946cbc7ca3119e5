"""What upstreams state of their rate limits, as answers and peers tell it."""

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
    def test_anything_else_is_told_apart(self, values):
        with pytest.raises(LimitUnreadable):
            read_limit(head(*values), HEADER)

    @given(st.lists(st.text(max_size=30), max_size=3))
    def test_no_value_ends_the_reader(self, values):
        """Guards against an answer that is lost over a header it does not need."""
        stated = LimitReader(header=HEADER, metrics=Metrics())
        stated.receive_head("u1", head(*values), sent_at=0.0)


class TestStatements:
    def test_an_unreadable_limit_leaves_the_one_in_force(self):
        stated = LimitReader(header=HEADER, metrics=Metrics())
        stated.receive_head("u1", head("1.5"), sent_at=0.0)
        stated.receive_head("u1", head("many"), sent_at=1e12)
        assert stated.limits.limit_of("u1") == 1.5

    def test_a_later_instance_of_that_name_has_no_limit(self):
        """Guards against an upstream that is spared after its restart."""
        stated = LimitReader(header=HEADER, metrics=Metrics())
        stated.record_start(upstream("u1", started_ms=1))
        stated.receive_head("u1", head("1.5"), sent_at=0.0)
        stated.record_start(upstream("u1", started_ms=1))
        assert stated.limits.limit_of("u1") == 1.5
        stated.record_start(upstream("u1", started_ms=2))
        assert stated.limits.limit_of("u1") is None

    @pytest.mark.parametrize("gone", [False, True])
    def test_the_metric_ends_with_the_limit(self, gone):
        metrics = Metrics()
        stated = LimitReader(header=HEADER, metrics=metrics)
        stated.receive_head("u1", head("1.5"), sent_at=0.0)
        assert b'announced_limit{upstream="u1"} 1.5' in metrics.render()
        if not gone:
            stated.receive_head("u1", head(), sent_at=1e12)
        stated.retain(set())
        assert b'announced_limit{upstream="u1"}' not in metrics.render()


class TestPeers:
    def test_a_peer_hears_of_a_limit_and_of_its_end(self):
        """Guards against processes that are not chosen to send, and never find out."""
        teller = LimitReader(header=HEADER, metrics=Metrics())
        peer = LimitReader(header=HEADER, metrics=Metrics())
        teller.receive_head("u1", head("1.5"), sent_at=0.0)
        peer.merge(teller.recent())
        assert peer.limits.limit_of("u1") == 1.5
        teller.receive_head("u1", head(), sent_at=monotonic())
        peer.merge(teller.recent())
        assert peer.limits.limit_of("u1") is None

    def test_what_a_peer_said_is_not_passed_on(self):
        """Guards against two processes that keep an old limit alive for each other."""
        teller = LimitReader(header=HEADER, metrics=Metrics())
        peer = LimitReader(header=HEADER, metrics=Metrics())
        teller.receive_head("u1", head("1.5"), sent_at=0.0)
        peer.merge(teller.recent())
        assert not peer.recent()
