"""Who is sent a report of loads, and how long one holds."""

import msgspec

from ragwortkeel.ingress.load_reports import (
    IDLE_REPORT_SECONDS,
    PEERS_AT_FULL_RATE,
    REPORT_SECONDS,
    LoadReports,
    hold_seconds,
    round_seconds,
)
from ragwortkeel.messages import IngressState, UpstreamLoad

IDLE = IngressState(node="a", address="", addresses=(), relays=(), load_by_upstream={})
LOAD = UpstreamLoad(running=1, memory_tokens=10, unread_tokens=0)
BUSY = msgspec.structs.replace(IDLE, load_by_upstream={"u1": LOAD})


def test_reports_of_one_process_a_second_stay_bounded():
    for peers in (5, 68, 1000):
        assert peers / round_seconds(peers) <= PEERS_AT_FULL_RATE / REPORT_SECONDS


def test_a_report_holds_until_the_next_one_comes():
    """A burst is placed twice over: with 68 processes loads lapsed between reports."""
    for peers in (5, 68, 1000):
        assert hold_seconds(peers) >= 2 * round_seconds(peers)


def test_an_idle_process_reports_that_once():
    reports = LoadReports()
    assert reports.mark_due("b", BUSY, 0.0)
    assert reports.mark_due("b", IDLE, 1.0)
    assert not reports.mark_due("b", IDLE, 2.0)
    assert reports.mark_due("c", IDLE, 2.0)
    assert reports.mark_due("b", IDLE, 1.0 + IDLE_REPORT_SECONDS)


def test_a_peer_that_is_heard_again_is_sent_one():
    """A restarted peer could not answer: it did not know this process's address."""
    reports = LoadReports()
    reports.mark_due("b", IDLE, 0.0)
    reports.discard("b")
    assert reports.mark_due("b", IDLE, 0.1)


def test_what_peers_decide_by_is_reported_at_once():
    reports = LoadReports()
    reports.mark_due("b", IDLE, 0.0)
    slow = msgspec.structs.replace(IDLE, writing_step=3)
    assert reports.mark_due("b", slow, 0.1)
    newer = msgspec.structs.replace(slow, upstreams_revision=8)
    assert reports.mark_due("b", newer, 0.2)
    assert not reports.mark_due("b", newer, 0.3)
