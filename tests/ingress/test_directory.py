from tests.ingress.builders import upstream

from ragwortkeel.ingress.configuration import UpstreamState
from ragwortkeel.ingress.directory import OUTAGE_GRACE_SECONDS, Directory


def directory_with(*names):
    directory = Directory()
    listed = {name: (5, upstream(name)) for name in names}
    directory.merge_listing(listed, revision=5, now=0.0)
    return directory


class TestEntries:
    def test_a_ready_upstream_is_usable_and_a_leaving_one_is_not(self):
        directory = directory_with("u1", "u2")
        leaving = upstream("u2", state=UpstreamState.LEAVING)
        directory.merge_entry("u2", leaving, version=6, now=1.0)
        assert set(directory.usable(service="app")) == {"u1"}
        assert set(directory.upstream_by_name) == {"u1", "u2"}

    def test_an_older_entry_changes_nothing(self):
        """A caller's request is cut by an upstream that exits.

        It had said that it leaves; then a lagging list showed it ready again and
        it got new work.
        """
        directory = directory_with("u1")
        leaving = upstream("u1", state=UpstreamState.LEAVING)
        directory.merge_entry("u1", leaving, version=7, now=1.0)
        directory.merge_listing({"u1": (5, upstream("u1"))}, revision=6, now=2.0)
        assert not directory.is_usable("u1")

    def test_what_is_gone_is_not_brought_back_by_an_older_list(self):
        """A caller's request is cut by an upstream that has left.

        Its entry was removed without a word of leaving; then a list from a lagging
        copy of the platform still held it.
        """
        directory = directory_with("u1")
        directory.record_deletion("u1", version=7, now=100.0)
        directory.merge_listing({"u1": (5, upstream("u1"))}, revision=6, now=101.0)
        assert not directory.is_usable("u1")

    def test_leaving_is_final_until_the_instance_is_born_anew(self):
        directory = directory_with("u1")
        leaving = upstream("u1", state=UpstreamState.LEAVING, started_ms=1)
        directory.merge_entry("u1", leaving, version=6, now=1.0)
        directory.merge_entry("u1", upstream("u1", started_ms=1), version=7, now=1.1)
        assert not directory.is_usable("u1")
        directory.merge_entry("u1", upstream("u1", started_ms=2), version=8, now=1.2)
        assert directory.is_usable("u1")

    def test_an_entry_that_vanishes_on_a_calm_day_is_gone_at_once(self):
        directory = directory_with("u1")
        directory.record_deletion("u1", version=6, now=100.0)
        assert directory.upstream_by_name == {}

    def test_a_list_without_an_entry_that_is_newer_than_it_keeps_the_entry(self):
        directory = directory_with("u1")
        directory.merge_entry("u2", upstream("u2"), version=9, now=1.0)
        directory.merge_listing({"u1": (5, upstream("u1"))}, revision=8, now=1.0)
        assert directory.is_usable("u2")


class TestOutages:
    def test_entries_that_lapsed_in_an_outage_are_kept_until_they_can_be_back(self):
        """All callers are refused for two seconds after the platform is back.

        It had let the entries lapse while it was away, and the first list after
        it showed no upstream although all of them served on.
        """
        directory = directory_with("u1", "u2")
        directory.record_outage(now=20.0)
        directory.merge_listing({}, revision=9, now=20.1)
        assert set(directory.usable(service="app")) == {"u1", "u2"}
        directory.merge_entry("u1", upstream("u1"), version=10, now=21.0)
        directory.expire(now=20.0 + OUTAGE_GRACE_SECONDS)
        assert set(directory.usable(service="app")) == {"u1"}

    def test_an_outage_that_goes_on_keeps_them_on(self):
        directory = directory_with("u1")
        directory.record_outage(now=20.0)
        directory.merge_listing({}, revision=9, now=20.1)
        directory.record_outage(now=22.0)
        directory.expire(now=22.5)
        assert directory.is_usable("u1")
        directory.expire(now=22.0 + OUTAGE_GRACE_SECONDS)
        assert not directory.is_usable("u1")

    def test_a_leaving_upstream_that_lapses_is_not_used_again(self):
        directory = directory_with("u1")
        leaving = upstream("u1", state=UpstreamState.LEAVING)
        directory.merge_entry("u1", leaving, version=6, now=19.0)
        directory.record_outage(now=20.0)
        directory.record_deletion("u1", version=8, now=20.1)
        assert not directory.is_usable("u1")


class TestAddresses:
    def test_an_address_belongs_to_the_upstream_that_was_born_there_last(self):
        """Guards against requests for instances that a loss of power has ended."""
        directory = Directory()
        old, new = upstream("old", started_ms=1000), upstream("new", started_ms=2000)
        directory.merge_entry("old", old, version=5, now=0.0)
        changes = directory.merge_entry("new", new, version=6, now=1.0)
        assert [(change.name, change.usable) for change in changes] == [
            ("new", True),
            ("old", False),
        ]
        assert set(directory.usable(service="app")) == {"new"}

    def test_a_late_entry_of_the_old_one_does_not_bring_it_back(self):
        directory = Directory()
        directory.merge_entry(
            "new", upstream("new", started_ms=2000), version=6, now=0.0
        )
        directory.merge_entry(
            "old", upstream("old", started_ms=1000), version=7, now=1.0
        )
        assert set(directory.usable(service="app")) == {"new"}

    def test_upstreams_that_do_not_say_when_they_were_born_are_left_alone(self):
        directory = Directory()
        directory.merge_entry("u1", upstream("u1"), version=5, now=0.0)
        directory.merge_entry("u2", upstream("u2"), version=6, now=1.0)
        assert set(directory.usable(service="app")) == {"u1", "u2"}

    def test_an_entry_of_another_service_takes_no_address_away(self):
        """Guards against somebody's entry that names the address of a good upstream."""
        directory = Directory()
        directory.merge_entry("u1", upstream("u1", started_ms=1000), version=5, now=0.0)
        other = upstream("x", service="nowhere", started_ms=9000)
        directory.merge_entry("x", other, version=6, now=1.0)
        assert set(directory.usable(service="app")) == {"u1"}

    def test_one_that_another_instance_answered_for_gets_nothing_more(self):
        """Guards against a second request on the same wrong way."""
        directory = directory_with("u1")
        directory.record_replacement("u1")
        assert directory.usable(service="app") == {}
        assert directory.record_replacement("unknown") == []
