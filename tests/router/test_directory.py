"""Tests of the decoded profiles and upstreams."""

import msgspec

from ragwortkeel.configuration import NODES, UPSTREAMS, Upstream, UpstreamKind
from ragwortkeel.configuration_store import ConfigurationStore
from ragwortkeel.messages import VersionedObject
from ragwortkeel.router.directory import Directory

UPSTREAM = Upstream(
    name="m1",
    back_end="assistant",
    kind=UpstreamKind.MODEL,
    sidecar_address="127.0.0.1:7000",
    zone="a",
)


def stored(kind, name, version, value=b"{}"):
    return VersionedObject(kind=kind, name=name, version=version, value=value)


class TestUpstreams:
    def test_an_older_change_that_is_received_later_is_visible(self):
        """Guards against a router that sees no upstream and refuses all requests.

        The router starts in an outage and receives the configuration from a peer
        in several messages.  The first one has a newer change of another kind, so
        that the later upstreams don't raise the revision, and a cache keyed by
        revision stays empty.
        """
        store = ConfigurationStore()
        directory = Directory(store=store)
        store.merge([stored(NODES, "router-1", 10)])
        assert directory.upstreams() == {}
        value = msgspec.json.encode(UPSTREAM)
        store.merge([stored(UPSTREAMS, "m1", 5, value)])
        assert directory.upstreams() == {"m1": (UPSTREAM, 5)}

    def test_an_unreadable_object_hides_no_other_object(self):
        store = ConfigurationStore()
        value = msgspec.json.encode(UPSTREAM)
        store.merge([stored(UPSTREAMS, "bad", 1), stored(UPSTREAMS, "m1", 2, value)])
        assert list(Directory(store=store).upstreams()) == ["m1"]
