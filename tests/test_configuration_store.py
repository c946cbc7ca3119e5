"""Tests of the configuration store, which never reverts an object."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortkeel.configuration import NODES, PROFILES, SEALS, UPSTREAMS
from ragwortkeel.configuration_store import (
    LEAVES_PER_BRANCH,
    MAX_VERSION,
    ConfigurationStore,
    Rank,
    leaf_of,
    tombstone,
)
from ragwortkeel.messages import VersionedObject


def made(name, version, *, kind=PROFILES, retired=False):
    value = msgspec.json.encode({"version": version, "retired": retired})
    return VersionedObject(kind=kind, name=name, version=version, value=value)


states = st.builds(
    made,
    st.sampled_from(["chat", "claim", "dossier"]),
    st.integers(0, 6),
    retired=st.booleans(),
)


def content(store):
    return {one.name: one for one in store.objects(PROFILES)}


class TestNeverReverts:
    @pytest.mark.parametrize(
        ("held", "received", "is_merged"),
        [
            (made("a", 2), made("a", 1), False),
            (made("a", 2), made("a", 2), False),
            (made("a", 2), made("a", 3), True),
            (made("a", 2, retired=True), made("a", 3), False),
            (made("a", 2, retired=True), made("a", 3, retired=True), True),
            (made("a", 3), made("a", 2, retired=True), True),
            (tombstone(NODES, "a", 2), made("a", 1, kind=NODES), False),
            (made("a", 2, kind=NODES), tombstone(NODES, "a", 2), True),
            (made("a", 2), made("b", 1), True),
        ],
    )
    def test_only_higher_rank_is_merged(self, held, received, is_merged):
        store = ConfigurationStore()
        store.merge([held])
        assert bool(store.merge([received])) == is_merged

    @given(st.lists(states, max_size=20), st.randoms(use_true_random=False))
    def test_any_order_gives_equal_stores(self, received, random):
        one, other = ConfigurationStore(), ConfigurationStore()
        one.merge(received)
        shuffled = received + received[:3]
        random.shuffle(shuffled)
        for state in shuffled:
            other.merge([state])
        ranks = {name: state.version for name, state in content(one).items()}
        assert ranks == {name: state.version for name, state in content(other).items()}
        assert one.root(PROFILES) == other.root(PROFILES)
        assert one.branch_hashes(PROFILES) == other.branch_hashes(PROFILES)

    def test_unreadable_value_is_kept_with_its_version(self):
        store = ConfigurationStore()
        undecodable = VersionedObject(kind=PROFILES, name="a", version=3, value=b"\xff")
        assert store.merge([undecodable]) == [undecodable]
        assert store.get(PROFILES, "a") == undecodable

    @pytest.mark.parametrize(
        "refused",
        [
            made("a", 1, kind="unknown"),
            made("a", -1),
            made("a", MAX_VERSION),
            made("b", 1, kind=UPSTREAMS),
        ],
    )
    def test_objects_of_other_kinds_and_names_are_ignored(self, refused):
        store = ConfigurationStore(only={UPSTREAMS: frozenset({"own"})})
        assert store.merge([refused]) == []
        assert store.revision == 0


class TestTree:
    def test_hashes_show_where_stores_differ(self):
        one, other = ConfigurationStore(), ConfigurationStore()
        same = [made(f"p{i}", i) for i in range(200)]
        one.merge(same)
        other.merge(reversed(same))
        assert one.root(PROFILES) == other.root(PROFILES)
        other.merge([made("p7", 300)])
        branch, leaf = divmod(leaf_of("p7"), LEAVES_PER_BRANCH)
        pairs = zip(
            one.branch_hashes(PROFILES), other.branch_hashes(PROFILES), strict=True
        )
        assert [i for i, (a, b) in enumerate(pairs) if a != b] == [branch]
        assert (
            one.leaf_hashes(PROFILES, branch)[leaf]
            != other.leaf_hashes(PROFILES, branch)[leaf]
        )

    def test_sizes_and_ranks(self):
        store = ConfigurationStore()
        store.merge([made("a", 1), made("b", 2, retired=True), made("a", 4)])
        assert store.size(PROFILES) == 2 and store.size(SEALS) == 0
        assert store.rank(PROFILES, "b") == Rank(True, 2)
        assert store.leaf_ranks(PROFILES, leaf_of("a"))["a"] == Rank(False, 4)
        assert store.revision == 4
