"""Contract of the codec between the system's own processes."""

import msgspec
import pytest

from ragwortkeel.messages import Cancel, Envelope, Heartbeat, decode, encode


class TestRoundTrip:
    @pytest.mark.parametrize("message", [Cancel(nonce="n1"), Heartbeat(running=3)])
    def test_message_comes_back_equal(self, message):
        envelope = Envelope(sender="router-1", revision=7, message=message)
        assert decode(encode(envelope)) == envelope

    @pytest.mark.parametrize("data", [b"", b"\xc1", b"\x80", b"\x93\x01\x02\x03"])
    def test_garbage_is_refused(self, data):
        with pytest.raises(msgspec.DecodeError):
            decode(data)


def test_a_heartbeat_that_says_nothing_else_is_small():
    """Dozens of peers hear it twice a second, and as many echoes come back."""
    idle = Envelope(sender="front-1/0a1b2c3d", revision=10, message=Heartbeat())
    assert len(encode(idle)) < 70
    assert decode(encode(idle)) == idle
