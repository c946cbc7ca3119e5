"""Which upstreams are usable after late, expired and conflicting entries."""

import pytest
from tests.ingress.builders import upstream

from ragwortkeel.ingress.configuration import UpstreamState
from ragwortkeel.ingress.directory import (
    CATCH_UP_SECONDS,
    ENTRY_LAG_SECONDS,
    OUTAGE_GRACE_SECONDS,
    Directory,
)


def directory_with(*names):
    directory = Directory()
    entries = {name: (5, upstream(name)) for name in names}
    directory.merge_listing(entries, revision=5, now=0.0)
    return directory


class TestEntries:
    def test_a_ready_upstream_is_usable_and_a_leaving_one_is_not(self):
        directory = directory_with("u1", "u2")
        leaving = upstream("u2", state=UpstreamState.LEAVING)
        directory.merge_entry("u2", leaving, version=6, now=1.0)
        assert set(directory.usable(service="app")) == {"u1"}
        assert set(directory.upstream_by_name) == {"u1", "u2"}

    def test_an_older_entry_changes_nothing(self):
        """Guards against requests that are cut off when an upstream exits.

        The upstream is leaving, but a lagging listing shows it as ready.
        """
        directory = directory_with("u1")
        leaving = upstream("u1", state=UpstreamState.LEAVING)
        directory.merge_entry("u1", leaving, version=7, now=1.0)
        directory.merge_listing({"u1": (5, upstream("u1"))}, revision=6, now=2.0)
        assert not directory.is_usable("u1")

    def test_an_older_listing_does_not_restore_a_deleted_upstream(self):
        """Guards against requests that are cut off when an upstream exits.

        Its entry is deleted without having been marked as leaving, and a listing from a
        lagging replica of the platform still contains it.
        """
        directory = directory_with("u1")
        directory.record_deletion("u1", version=7, now=100.0)
        directory.merge_listing({"u1": (5, upstream("u1"))}, revision=6, now=101.0)
        assert not directory.is_usable("u1")

    def test_a_late_copy_of_an_entry_does_not_restore_it_after_its_removal(self):
        """Guards against a peer's message that undoes a removal.

        Some platforms report a removal with the last version of the entry.
        """
        directory = directory_with("u1")
        directory.record_deletion("u1", version=5, now=100.0)
        directory.merge_entry("u1", upstream("u1"), version=5, now=100.1)
        assert not directory.is_usable("u1")

    def test_a_leaving_upstream_is_usable_again_only_after_a_later_start(self):
        directory = directory_with("u1")
        leaving = upstream("u1", state=UpstreamState.LEAVING, started_ms=1)
        directory.merge_entry("u1", leaving, version=6, now=1.0)
        directory.merge_entry("u1", upstream("u1", started_ms=1), version=7, now=1.1)
        assert not directory.is_usable("u1")
        directory.merge_entry("u1", upstream("u1", started_ms=2), version=8, now=1.2)
        assert directory.is_usable("u1")

    def test_a_leaving_upstream_stays_so_when_its_entry_is_written_again(self):
        """Guards against requests that are cut off when an upstream exits.

        Its entry expires and is written again without its state, as after an outage of
        the platform.
        """
        directory = directory_with("u1")
        leaving = upstream("u1", state=UpstreamState.LEAVING, started_ms=1)
        directory.merge_entry("u1", leaving, version=6, now=1.0)
        directory.record_deletion("u1", version=7, now=2.0)
        directory.merge_entry("u1", upstream("u1", started_ms=1), version=8, now=3.0)
        assert not directory.is_usable("u1")
        directory.merge_entry("u1", upstream("u1", started_ms=2), version=9, now=4.0)
        assert directory.is_usable("u1")

    def test_a_deletion_without_an_outage_counts_at_once(self):
        directory = directory_with("u1")
        directory.record_deletion("u1", version=6, now=100.0)
        assert directory.upstream_by_name == {}

    def test_a_listing_does_not_delete_an_entry_newer_than_itself(self):
        directory = directory_with("u1")
        directory.merge_entry("u2", upstream("u2"), version=9, now=1.0)
        directory.merge_listing({"u1": (5, upstream("u1"))}, revision=8, now=1.0)
        assert directory.is_usable("u2")


class TestOutages:
    def test_entries_that_expire_in_an_outage_count_until_they_can_be_written(self):
        """Guards against 2 seconds of refused requests after an outage.

        The platform lets entries expire while it is unreachable, and the first listing
        after the outage contains none, although the upstreams are live.
        """
        directory = directory_with("u1", "u2")
        directory.record_outage(now=20.0)
        directory.merge_listing({}, revision=9, now=20.1)
        assert set(directory.usable(service="app")) == {"u1", "u2"}
        directory.merge_entry("u1", upstream("u1"), version=10, now=21.0)
        directory.expire(now=20.0 + OUTAGE_GRACE_SECONDS)
        assert set(directory.usable(service="app")) == {"u1"}

    def test_a_longer_outage_extends_the_grace_period(self):
        directory = directory_with("u1")
        directory.record_outage(now=20.0)
        directory.merge_listing({}, revision=9, now=20.1)
        directory.record_outage(now=22.0)
        directory.expire(now=22.5)
        assert directory.is_usable("u1")
        directory.expire(now=22.0 + OUTAGE_GRACE_SECONDS)
        assert not directory.is_usable("u1")

    def test_a_leaving_upstream_whose_entry_expires_is_not_usable(self):
        directory = directory_with("u1")
        leaving = upstream("u1", state=UpstreamState.LEAVING)
        directory.merge_entry("u1", leaving, version=6, now=19.0)
        directory.record_outage(now=20.0)
        directory.record_deletion("u1", version=8, now=20.1)
        assert not directory.is_usable("u1")


class TestAddresses:
    def test_an_address_belongs_to_the_upstream_that_started_last(self):
        """Guards against requests for instances that a power failure has stopped."""
        directory = Directory()
        old, new = upstream("old", started_ms=1000), upstream("new", started_ms=2000)
        directory.merge_entry("old", old, version=5, now=0.0)
        changes = directory.merge_entry("new", new, version=6, now=1.0)
        assert [(change.name, change.usable) for change in changes] == [
            ("new", True),
            ("old", False),
        ]
        assert set(directory.usable(service="app")) == {"new"}

    def test_a_late_entry_of_an_older_upstream_at_the_address_is_ignored(self):
        directory = Directory()
        directory.merge_entry(
            "new", upstream("new", started_ms=2000), version=6, now=0.0
        )
        directory.merge_entry(
            "old", upstream("old", started_ms=1000), version=7, now=1.0
        )
        assert set(directory.usable(service="app")) == {"new"}

    def test_upstreams_without_a_start_time_share_an_address(self):
        directory = Directory()
        directory.merge_entry("u1", upstream("u1"), version=5, now=0.0)
        directory.merge_entry("u2", upstream("u2"), version=6, now=1.0)
        assert set(directory.usable(service="app")) == {"u1", "u2"}

    def test_an_entry_of_another_service_does_not_claim_an_address(self):
        """Guards against foreign entries with the address of a working upstream."""
        directory = Directory()
        directory.merge_entry("u1", upstream("u1", started_ms=1000), version=5, now=0.0)
        other = upstream("x", service="nowhere", started_ms=9000)
        directory.merge_entry("x", other, version=6, now=1.0)
        assert set(directory.usable(service="app")) == {"u1"}

    def test_an_upstream_whose_address_another_instance_uses_is_not_usable(self):
        """Guards against a second request to the wrong instance."""
        directory = directory_with("u1")
        directory.record_replacement("u1")
        assert directory.usable(service="app") == {}
        assert directory.record_replacement("unknown") == []


class TestClaims:
    """Entries that claim the address of an upstream which answers for itself."""

    def directory(self, **fields):
        """Return a directory with a sound upstream and a later claim of its address."""
        directory = Directory()
        sound = upstream("sound", started_ms=1000, version="v1")
        directory.merge_entry("sound", sound, version=5, now=0.0)
        claim = upstream("claim", started_ms=2000, **fields)
        directory.merge_entry("claim", claim, version=6, now=1.0)
        return directory, sound, claim

    def test_a_refuted_claim_gives_the_address_back(self):
        """Guards against a service without upstreams because of another writer."""
        directory, _, _ = self.directory()
        changes = directory.record_replacement("claim")
        changes += directory.restore_displaced()
        assert [(change.name, change.usable) for change in changes] == [
            ("claim", False),
            ("sound", True),
        ]
        assert directory.version_is_certain("sound", 2.0)
        assert directory.version_of("sound") == "v1"

    def test_a_refuted_claim_displaces_nothing_when_it_is_written_again(self):
        directory, sound, claim = self.directory()
        directory.record_replacement("claim")
        directory.restore_displaced()
        directory.merge_entry("claim", claim, version=7, now=2.0)
        directory.merge_entry("sound", sound, version=8, now=2.1)
        listing = {"claim": (7, claim), "sound": (8, sound)}
        directory.merge_listing(listing, revision=8, now=2.2)
        assert directory.is_usable("sound")

    def test_a_later_start_at_the_address_displaces_again(self):
        directory, _, _ = self.directory()
        directory.record_replacement("claim")
        directory.restore_displaced()
        later = upstream("claim", started_ms=3000)
        directory.merge_entry("claim", later, version=7, now=2.0)
        assert set(directory.usable(service="app")) == {"claim"}

    def test_a_claim_that_gets_no_requests_displaces_nothing(self):
        """Guards against a claim that no request can refute."""
        directory, sound, _ = self.directory(state=UpstreamState.LEAVING)
        assert directory.is_usable("sound")
        directory.merge_entry("sound", sound, version=7, now=2.0)
        assert directory.is_usable("sound")

    def test_a_claim_in_an_evacuated_zone_displaces_nothing(self):
        directory = Directory()
        directory.evacuated_zones = frozenset({"elsewhere"})
        sound = upstream("sound", started_ms=1000)
        directory.merge_entry("sound", sound, version=5, now=0.0)
        claim = upstream("claim", started_ms=2000, zone="elsewhere")
        directory.merge_entry("claim", claim, version=6, now=1.0)
        assert directory.is_usable("sound")

    def test_a_displaced_upstream_that_was_deleted_stays_so(self):
        """Guards against requests for an instance that has left."""
        directory, _, _ = self.directory()
        directory.record_deletion("sound", version=7, now=100.0)
        directory.record_replacement("claim")
        directory.restore_displaced()
        assert directory.usable(service="app") == {}

    def test_a_displaced_upstream_that_leaves_gets_nothing_new(self):
        directory, _, _ = self.directory()
        directory.record_leaving("sound", started_ms=1000)
        directory.record_replacement("claim")
        directory.restore_displaced()
        assert not directory.is_usable("sound")


class TestPossibleRestarts:
    """Whether an upstream surely runs the version that its entry states."""

    def directory(self):
        directory = Directory()
        directory.merge_entry("u1", upstream("u1", version="v1"), version=5, now=0.0)
        directory.record_possible_restart("u1", 10.0)
        return directory

    def test_an_entry_is_not_certain_moments_after_its_upstream_was_down(self):
        """Guards against a stream that goes on at the next version of an upstream."""
        directory = self.directory()
        known_at = 10.0 + ENTRY_LAG_SECONDS
        directory.record_confirmation(revision=5, now=known_at - 0.1)
        assert not directory.version_is_certain("u1", known_at - 0.1)
        directory.record_confirmation(revision=5, now=known_at)
        assert directory.version_is_certain("u1", known_at)

    def test_it_is_not_certain_while_nothing_is_heard_of_the_entries(self):
        """Guards against two versions in one stream, in a cut not yet noticed."""
        directory = self.directory()
        directory.record_confirmation(revision=5, now=10.0 + ENTRY_LAG_SECONDS / 2)
        assert not directory.version_is_certain("u1", 10.0 + 2 * ENTRY_LAG_SECONDS)

    def test_it_is_not_certain_in_an_outage_of_the_platform(self):
        """Guards against an entry that nobody could write for the whole outage."""
        directory = self.directory()
        directory.record_outage(30.0)
        directory.record_confirmation(revision=5, now=30.0)
        assert not directory.version_is_certain("u1", 30.0)
        assert directory.version_is_certain("u1", 30.0 + OUTAGE_GRACE_SECONDS)

    def test_no_entry_is_certain_just_after_this_process_stood_still(self):
        """Guards against restarts that a frozen process has not read of yet."""
        directory = directory_with("u1")
        directory.record_freeze(20.0)
        known_at = 20.0 + CATCH_UP_SECONDS
        directory.record_confirmation(revision=5, now=known_at - 0.1)
        assert not directory.version_is_certain("u1", known_at - 0.1)
        assert not directory.version_is_certain("u1", known_at + 60.0)
        directory.record_confirmation(revision=5, now=known_at)
        assert directory.version_is_certain("u1", known_at)

    def test_no_entry_is_certain_after_a_freeze_before_entries_were_heard_of(self):
        """Guards against restarts in a freeze that ends while the platform is away."""
        directory = directory_with("u1")
        directory.record_freeze(20.0)
        directory.record_outage(20.0 + 2 * CATCH_UP_SECONDS)
        assert not directory.version_is_certain("u1", 20.0 + 2 * CATCH_UP_SECONDS)

    @pytest.mark.parametrize(("version", "is_certain"), [(5, False), (6, True)])
    def test_it_is_certain_once_it_was_written_again(self, version, is_certain):
        directory = self.directory()
        entry = upstream("u1", version="v2", started_ms=9)
        directory.merge_entry("u1", entry, version=version, now=10.2)
        assert directory.version_is_certain("u1", 10.2) is is_certain
