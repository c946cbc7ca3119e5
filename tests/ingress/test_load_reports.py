"""Which peers get a report of loads, and how long a report is valid."""

import msgspec

from ragwortkeel.ingress.load_reports import (
    IDLE_REPORT_SECONDS,
    PEERS_AT_FULL_RATE,
    REPORT_SECONDS,
    LoadReports,
    hold_seconds,
    round_seconds,
    status_hold_seconds,
)
from ragwortkeel.messages import IngressState, InstanceStatus, UpstreamLoad

IDLE = IngressState(node="a", address="", addresses=(), relays=(), load_by_upstream={})
LOAD = UpstreamLoad(running=1, memory_tokens=10, unread_tokens=0)
BUSY = msgspec.structs.replace(IDLE, load_by_upstream={"u1": LOAD})


def test_the_report_rate_of_one_process_is_bounded():
    for peers in (5, 68, 1000):
        assert peers / round_seconds(peers) <= PEERS_AT_FULL_RATE / REPORT_SECONDS


def test_a_report_is_valid_until_the_next_one():
    """Guards against loads that expire between the reports of a large fleet.

    With 68 processes a burst was assigned twice over.
    """
    for peers in (5, 68, 1000):
        assert hold_seconds(peers) >= 2 * round_seconds(peers)


def test_an_idle_process_sends_one_empty_report():
    reports = LoadReports()
    assert reports.mark_due("b", BUSY, 0.0)
    assert reports.mark_due("b", IDLE, 1.0)
    assert not reports.mark_due("b", IDLE, 2.0)
    assert reports.mark_due("c", IDLE, 2.0)
    assert reports.mark_due("b", IDLE, 1.0 + IDLE_REPORT_SECONDS)


def test_a_peer_with_a_new_link_gets_a_report():
    """Guards against a restarted peer that lacks the address of this process."""
    reports = LoadReports()
    reports.mark_due("b", IDLE, 0.0)
    reports.discard("b")
    assert reports.mark_due("b", IDLE, 0.1)


def test_changes_that_peers_decide_by_are_reported_immediately():
    reports = LoadReports()
    reports.mark_due("b", IDLE, 0.0)
    slow = msgspec.structs.replace(IDLE, writing_step=3)
    assert reports.mark_due("b", slow, 0.1)
    newer = msgspec.structs.replace(slow, upstreams_revision=8)
    assert reports.mark_due("b", newer, 0.2)
    assert not reports.mark_due("b", newer, 0.3)


def test_the_status_of_an_idle_process_is_valid_until_its_next_report():
    """Guards against a hot process that doesn't hear of the peers with most room."""
    idle = InstanceStatus(zone="a", utilization=0.1)
    assert status_hold_seconds(idle, 2.0) > IDLE_REPORT_SECONDS
    hot = InstanceStatus(zone="a", utilization=0.9)
    assert status_hold_seconds(hot, 2.0) == 2.0
