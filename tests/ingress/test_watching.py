"""Few processes watch the platform and forward changes to the others."""

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.ingress.in_process import (
    ROUTES,
    answer_whole,
    run_ingress,
    wait_for_revision,
)

from ragwortkeel.ingress import watching
from ragwortkeel.ingress.configuration import UPSTREAMS_KIND
from ragwortkeel.ingress.watching import (
    LAG_GRACE_SECONDS,
    WATCHER_COUNT,
    Feed,
    WatcherOrder,
    select_watchers,
)
from ragwortkeel.messages import InstanceStatus

NAMES = [f"10.1.0.{n}:1" for n in range(68)]


def status(capacity, known=True):
    return InstanceStatus(capacity=capacity, watches_by_capacity=known)


def watchers_among(names, **capacity_by_name):
    return select_watchers(names, capacity_by_name=capacity_by_name)


class TestWatchers:
    def test_the_number_of_watchers_does_not_grow_with_the_fleet(self):
        assert len(watchers_among(NAMES[:3])) == 3
        assert len(watchers_among(NAMES)) == WATCHER_COUNT

    def test_the_failure_of_a_watcher_replaces_only_this_one(self):
        before = set(watchers_among(NAMES))
        stopped = next(iter(before))
        after = set(watchers_among([name for name in NAMES if name != stopped]))
        assert len(after - before) == 1

    def test_a_process_that_reaches_no_peer_watches(self):
        assert watchers_among([NAMES[5]]) == [NAMES[5]]

    def test_instances_with_larger_links_watch(self):
        """Guards against small links that are full for seconds with each change."""
        large = NAMES[10:18]
        capacity_by_name = {name: 25e6 if name in large else 625e3 for name in NAMES}
        watchers = watchers_among(NAMES, **capacity_by_name)
        assert set(watchers) <= set(large)

    @given(
        st.lists(st.sampled_from([0.0, 625e3, 25e6]), min_size=1, max_size=12),
        st.sets(st.sampled_from(NAMES[:12])),
    )
    def test_processes_that_reach_each_other_agree_on_their_watchers(
        self, capacities, older
    ):
        """Guards against a fleet in which each process leaves watching to others.

        Some processes are of an older build, which orders them by name only.
        """
        capacity_by_name = dict(zip(NAMES, capacities, strict=False))
        views = []
        for own in capacity_by_name:
            if own in older:
                views.append(watchers_among(capacity_by_name))
                continue
            order = WatcherOrder(name=own, link_capacity=capacity_by_name[own])
            for peer, capacity in capacity_by_name.items():
                if peer != own:
                    order.record_status(peer, status(capacity, known=peer not in older))
            views.append(order.watchers(capacity_by_name.keys() - {own}))
        assert views[0]
        assert all(view == views[0] for view in views)

    def test_without_a_status_of_each_peer_the_order_is_by_name(self):
        """Guards against changes that nobody reads right after a start."""
        order = WatcherOrder(name=NAMES[0], link_capacity=625e3)
        order.record_status(NAMES[1], status(25e6))
        order.record_status(NAMES[2], None)
        assert order.watchers(NAMES[1:]) == watchers_among(NAMES)

    @pytest.mark.parametrize("capacity", [float("nan"), float("inf"), float("-inf")])
    def test_a_capacity_that_is_no_number_counts_as_none(self, capacity):
        order = WatcherOrder(name=NAMES[0], link_capacity=25e6)
        for peer in NAMES[1:]:
            order.record_status(peer, status(625e3))
        order.record_status(NAMES[1], status(capacity))
        assert order.watchers(NAMES[1:]) == watchers_among(NAMES)


class TestFeed:
    def test_consecutive_changes_are_complete(self):
        feed = Feed()
        feed.record_listing(revision=10, newest=9)
        assert feed.record_forwarded(since=9, revision=12)
        assert feed.record_forwarded(since=12, revision=15)
        assert feed.complete_revision == 15
        assert not feed.is_lagging(100.0)

    def test_the_next_message_shows_that_one_was_lost(self):
        """Guards against requests to a leaving upstream whose change was lost."""
        feed = Feed()
        feed.record_listing(revision=10, newest=9)
        assert not feed.record_forwarded(since=12, revision=15)
        assert not feed.is_lagging(1.0)
        assert feed.is_lagging(1.0 + LAG_GRACE_SECONDS)
        assert feed.complete_revision == 10

    def test_a_peer_s_revision_shows_that_a_message_was_lost(self):
        feed = Feed()
        feed.record_listing(revision=10, newest=9)
        feed.record_peer_revision(12)
        assert not feed.is_lagging(1.0)
        assert feed.is_lagging(1.0 + LAG_GRACE_SECONDS)
        feed.record_watch(revision=14, newest=12)
        assert not feed.is_lagging(3.0)

    def test_it_knows_the_revision_that_the_changes_of_a_watch_continue_from(self):
        feed = Feed()
        feed.record_listing(revision=10, newest=9)
        assert feed.last_change_revision == 10
        feed.record_watch(revision=20, newest=0)
        assert feed.last_change_revision == 10
        feed.record_watch(revision=24, newest=23)
        assert feed.last_change_revision == 23

    def test_older_changes_of_a_second_watcher_change_nothing(self):
        feed = Feed()
        feed.record_listing(revision=10, newest=9)
        feed.record_forwarded(since=10, revision=20)
        assert feed.record_forwarded(since=10, revision=12)
        assert feed.complete_revision == 20


def count_watches(fleet):
    """Return a list that grows with each watch of the platform."""
    watches = []
    watch = fleet.platform.watch

    async def counted(kind, revision, timeout):
        watches.append(kind)
        return await watch(kind, revision, timeout)

    fleet.platform.watch = counted
    return watches


async def wait_until(condition):
    async with curio.timeout_after(5):
        while not condition():
            await curio.sleep(0.01)


class TestProcessesThatDoNotWatch:
    def test_they_get_changes_of_upstreams_and_routes(self, monkeypatch):
        monkeypatch.setattr(watching, "WATCHER_COUNT", 1)

        async def scenario(fleet):
            await curio.sleep(1.0)
            watches = count_watches(fleet)
            stored = await fleet.platform.get(UPSTREAMS_KIND, "u1")
            await fleet.platform.delete(UPSTREAMS_KIND, "u1", stored.version)
            for worker in fleet.workers:
                await wait_until(lambda w=worker: not w._directory.is_usable("u1"))
            await fleet.configure(routes=ROUTES)
            for worker in fleet.workers:
                await wait_for_revision(worker, fleet.revision)
            return len(watches)

        scripts = {"u1": answer_whole}
        assert run_ingress(scenario, processes=4, scripts=scripts) <= 6
