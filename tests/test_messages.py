"""Tests of the codec of messages between the processes of the fleet."""

import zlib

import msgspec
import pytest
from tests.ingress.builders import configuration, route

from ragwortkeel.messages import (
    MAX_MESSAGE_BYTES,
    Cancel,
    Chunk,
    ConfigurationPush,
    Envelope,
    Heartbeat,
    IngressState,
    VersionedObject,
    decode,
    encode,
)


class TestRoundTrip:
    @pytest.mark.parametrize("message", [Cancel(nonce="n1"), Heartbeat(running=3)])
    def test_message_is_decoded_unchanged(self, message):
        envelope = Envelope(sender="router-1", revision=7, message=message)
        assert decode(encode(envelope)) == envelope

    @pytest.mark.parametrize("data", [b"", b"\xc1", b"\x80", b"\x93\x01\x02\x03"])
    def test_garbage_is_refused(self, data):
        with pytest.raises(msgspec.DecodeError):
            decode(data)


class TestOtherBuilds:
    STATE = IngressState(
        node="n", address="a", addresses=(), relays=(), load_by_upstream={}
    )

    def test_a_field_of_a_newer_build_is_skipped(self):
        """Guards against a link that breaks while a fleet is replaced."""
        envelope = Envelope(sender="p", revision=1, message=self.STATE)
        fields = msgspec.msgpack.decode(encode(envelope))
        fields["message"]["field_of_a_newer_build"] = {"u1": 5}
        assert decode(msgspec.msgpack.encode(fields)) == envelope

    def test_what_an_older_build_does_not_send_is_empty(self):
        """Guards against a state that is unreadable as its sender is older."""
        envelope = Envelope(sender="p", revision=1, message=self.STATE)
        assert b"leaving" not in encode(envelope)
        assert decode(encode(envelope)).message.leaving_by_upstream == {}


def test_a_heartbeat_of_defaults_is_small():
    """Each process exchanges heartbeats with dozens of peers twice a second."""
    idle = Envelope(sender="front-1/0a1b2c3d", revision=10, message=Heartbeat())
    assert len(encode(idle)) < 70
    assert decode(encode(idle)) == idle


class TestLargeMessages:
    def test_a_configuration_is_deflated_and_decoded_unchanged(self):
        """Guard against a link that a configuration fills.

        A process that can't reach the platform pulls configurations from a peer, and
        a large one delays the messages behind it.
        """
        many = tuple(route(f"r{i}", f"/r{i}/") for i in range(250))
        value = msgspec.json.encode(configuration(3, routes=many))
        pushed = VersionedObject(kind="ingress", name="main", version=3, value=value)
        sent = Envelope(
            sender="front-1", revision=3, message=ConfigurationPush(objects=(pushed,))
        )
        assert len(encode(sent)) < len(value) / 4
        assert decode(encode(sent)) == sent

    def test_messages_with_callers_bytes_are_not_deflated(self):
        chunk = Chunk(nonce="n1", offset=0, data=bytes(5000))
        sent = Envelope(sender="sidecar-1", revision=3, message=chunk)
        assert len(encode(sent)) > 5000

    @pytest.mark.parametrize(
        "garbage",
        [
            b"\x78",
            b"\x78 no zlib",
            zlib.compress(b"cut off" * 9)[:-5],
            zlib.compress(b"no envelope" * 99),
            zlib.compress(bytes(MAX_MESSAGE_BYTES + 1)),
            b"\x81\xa1x" + b"\x91" * 20_000 + b"\xc0",
            b"\x81\xa6sender\xa1\xff",
        ],
        ids=[
            "empty",
            "other bytes",
            "cut off",
            "no envelope",
            "too large",
            "nested deep",
            "no text",
        ],
    )
    def test_garbage_is_refused(self, garbage):
        """Guard against foreign data that fills the memory or ends the reader."""
        with pytest.raises(msgspec.DecodeError):
            decode(garbage)
