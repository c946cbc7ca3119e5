"""Origins of streams, and when a service is known to have had one version only."""

from collections import Counter
from math import inf

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortkeel.policy.stream_origins import (
    HOLDER_COUNT,
    Origin,
    OriginTable,
    SeenVersions,
    VersionHistory,
    nearest_peers,
    sole_version,
    stream_key,
)

V1 = Origin(service="chat", version="v1")
V2 = Origin(service="chat", version="v2")


class TestOriginTable:
    def test_an_origin_is_kept_while_callers_may_take_its_stream_up(self):
        table = OriginTable()
        for second in range(60):
            table.record(second, V1, now=float(second))
        assert all(table.get(second).origin == V1 for second in range(60))

    def test_old_origins_are_discarded(self):
        table = OriginTable()
        table.record(1, V1, now=0.0)
        for second in (60.0, 120.0):
            table.record(2, V1, now=second)
        assert table.get(1) is None

    def test_the_table_is_bounded(self):
        """Guards against memory that grows with the streams of an attack."""
        table = OriginTable(max_origins=10)
        for key in range(100):
            table.record(key, V1, now=0.0)
        assert len(table) <= 20
        assert table.get(99).origin == V1

    def test_a_stream_with_two_origins_has_none(self):
        """Guards against a request id that a caller used for two streams."""
        table = OriginTable()
        for origin in (V1, V2, V2):
            table.record(1, origin, now=0.0)
        assert table.get(1).origin is None

    def test_an_origin_that_is_not_certain_stays_so(self):
        """Guards against a late message that makes an uncertain origin certain."""
        table = OriginTable()
        for origin in (None, V1):
            table.record(1, origin, now=0.0)
        assert table.get(1).origin is None

    def test_the_same_id_of_another_customer_is_another_stream(self):
        """Guards against a caller that names the stream of another customer."""
        keys = {stream_key(customer=name, request_id="r1") for name in ("a", "b")}
        assert len(keys) == 2


class TestNearestPeers:
    @given(st.integers(0, 2**64 - 1), st.sets(st.text(min_size=1), min_size=3))
    def test_the_end_of_one_peer_changes_no_other(self, key, addresses):
        """Guards against origins that are lost whenever a process comes or goes."""
        before = nearest_peers(key, addresses, count=HOLDER_COUNT)
        gone = max(addresses)
        after = nearest_peers(key, addresses - {gone}, count=HOLDER_COUNT)
        assert [peer for peer in before if peer != gone] == after[
            : HOLDER_COUNT - (gone in before)
        ]

    def test_origins_spread_over_the_fleet(self):
        """Guards against one process that holds most origins of a large fleet."""
        addresses = [
            f"10.0.{number // 250}.{number % 250}:7000" for number in range(68)
        ]
        counts = Counter(
            peer
            for number in range(6800)
            for peer in nearest_peers(
                stream_key(customer="a", request_id=f"r{number}"), addresses, count=2
            )
        )
        assert len(counts) == 68
        assert max(counts.values()) < 2 * 200


class TestSoleVersion:
    def test_one_version_for_long_enough_is_certain(self):
        seen = [SeenVersions(versions=frozenset({"v1"}), seconds=60.0)]
        assert sole_version(seen, seconds=60.0, is_whole_fleet=False) == "v1"

    def test_a_process_that_has_just_started_relies_on_a_peer(self):
        seen = [
            SeenVersions(versions=frozenset({"v1"}), seconds=0.5),
            SeenVersions(versions=frozenset({"v1"}), seconds=inf),
        ]
        assert sole_version(seen, seconds=60.0, is_whole_fleet=False) == "v1"

    @pytest.mark.parametrize(
        "seen",
        [
            [SeenVersions(versions=frozenset({"v1"}), seconds=59.0)],
            [SeenVersions(versions=frozenset({"v1", "v2"}), seconds=inf)],
            [SeenVersions(versions=frozenset(), seconds=inf)],
            [
                SeenVersions(versions=frozenset({"v1"}), seconds=inf),
                SeenVersions(versions=frozenset({"v2"}), seconds=1.0),
            ],
        ],
    )
    def test_otherwise_it_is_unknown(self, seen):
        """Guards against a guess after a restart of all processes or a release."""
        assert sole_version(seen, seconds=60.0, is_whole_fleet=False) is None


class TestVersionHistory:
    def test_a_version_counts_until_long_after_its_last_upstream_has_gone(self):
        """Guards against streams of a version that was replaced moments ago."""
        history = VersionHistory(is_complete=True)
        history.update({("chat", "v1")}, now=0.0)
        history.update({("chat", "v2")}, now=100.0)
        soon = history.seen("chat", seconds=60.0, now=159.0)
        later = history.seen("chat", seconds=60.0, now=161.0)
        assert soon.versions == {"v1", "v2"}
        assert later.versions == {"v2"}

    def test_versions_of_other_services_do_not_count(self):
        history = VersionHistory(is_complete=True)
        history.update({("chat", "v1"), ("app", "v7")}, now=0.0)
        assert history.seen("chat", seconds=60.0, now=1.0).versions == {"v1"}

    @pytest.mark.parametrize(("is_complete", "seconds"), [(False, 5.0), (True, inf)])
    def test_it_goes_back_to_the_first_entries_or_to_the_start_of_the_fleet(
        self, is_complete, seconds
    ):
        history = VersionHistory(is_complete=is_complete)
        assert history.seen("chat", seconds=60.0, now=9.0).seconds in (0.0, inf)
        history.update({("chat", "v1")}, now=10.0)
        assert history.seen("chat", seconds=60.0, now=15.0).seconds == seconds
