"""Few processes watch the platform; the others keep up by what those pass on."""

import curio
from tests.ingress.in_process import ROUTES, answer_whole, reached, run_ingress

from ragwortkeel.ingress import watching
from ragwortkeel.ingress.configuration import UPSTREAMS_KIND
from ragwortkeel.ingress.watching import LAG_SECONDS, WATCHERS, Feed, watchers

NAMES = [f"10.1.0.{n}:1" for n in range(68)]


class TestWatchers:
    def test_their_number_does_not_grow_with_the_fleet(self):
        assert len(watchers(NAMES[:3])) == 3
        assert len(watchers(NAMES)) == WATCHERS

    def test_the_death_of_one_changes_only_one(self):
        before = set(watchers(NAMES))
        dead = next(iter(before))
        after = set(watchers([name for name in NAMES if name != dead]))
        assert len(after - before) == 1

    def test_who_hears_nobody_watches_by_itself(self):
        assert watchers([NAMES[5]]) == [NAMES[5]]


class TestFeed:
    def test_changes_that_follow_on_are_complete(self):
        feed = Feed()
        feed.listed(revision=10, newest=9)
        assert feed.passed_on(since=9, revision=12)
        assert feed.passed_on(since=12, revision=15)
        assert feed.complete == 15
        assert not feed.lags(100.0)

    def test_a_lost_message_shows_by_the_next_one(self):
        """Requests went on to an upstream that had left: its change was lost."""
        feed = Feed()
        feed.listed(revision=10, newest=9)
        assert not feed.passed_on(since=12, revision=15)
        assert not feed.lags(1.0)
        assert feed.lags(1.0 + LAG_SECONDS)
        assert feed.complete == 10

    def test_a_lost_message_shows_by_what_peers_know(self):
        feed = Feed()
        feed.listed(revision=10, newest=9)
        feed.heard(12)
        assert not feed.lags(1.0)
        assert feed.lags(1.0 + LAG_SECONDS)
        feed.watched(revision=14, newest=12)
        assert not feed.lags(3.0)

    def test_what_was_watched_is_told_with_what_it_follows_on(self):
        feed = Feed()
        feed.listed(revision=10, newest=9)
        assert feed.watched(revision=20, newest=0) == 10
        assert feed.watched(revision=24, newest=23) == 10
        assert feed.watched(revision=30, newest=29) == 23

    def test_older_changes_from_a_second_watcher_change_nothing(self):
        feed = Feed()
        feed.listed(revision=10, newest=9)
        feed.passed_on(since=10, revision=20)
        assert feed.passed_on(since=10, revision=12)
        assert feed.complete == 20


def count_watches(fleet):
    """Return a list that grows with each watch of the platform."""
    watches = []
    watch = fleet.platform.watch

    async def counted(kind, revision, timeout):
        watches.append(kind)
        return await watch(kind, revision, timeout)

    fleet.platform.watch = counted
    return watches


async def until(condition):
    async with curio.timeout_after(5):
        while not condition():
            await curio.sleep(0.01)


class TestProcessesThatDoNotWatch:
    def test_they_have_changes_of_upstreams_and_routes(self, monkeypatch):
        monkeypatch.setattr(watching, "WATCHERS", 1)

        async def scenario(fleet):
            await curio.sleep(1.0)
            watches = count_watches(fleet)
            stored = await fleet.platform.get(UPSTREAMS_KIND, "u1")
            await fleet.platform.delete(UPSTREAMS_KIND, "u1", stored.version)
            for worker in fleet.workers:
                await until(lambda w=worker: not w._directory.is_usable("u1"))
            await fleet.configure(routes=ROUTES)
            for worker in fleet.workers:
                await reached(worker, fleet.revision)
            return len(watches)

        scripts = {"u1": answer_whole}
        assert run_ingress(scenario, processes=4, scripts=scripts) <= 6
