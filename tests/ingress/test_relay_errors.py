"""Answers of relays that no correct relay would send."""

import curio
import pytest

from ragwortkeel.budget.shards import SHARDS_KIND
from ragwortkeel.exceptions import PlatformUnavailable
from ragwortkeel.ingress.ledger_store import SHARD_NAME
from ragwortkeel.ingress.relaying import RelayedPlatform
from ragwortkeel.messages import PlatformAnswer, PlatformError
from ragwortkeel.standins.local_platform import LocalPlatform


@pytest.mark.parametrize(
    "error",
    [error for error in PlatformError if error is not PlatformError.NONE],
)
def test_a_relay_that_answers_a_read_with_any_error_is_unavailable(error):
    """Guards against the end of the follower whose read a relay answers wrongly."""

    class Relay:
        name = "relay"

        async def send(self, call):
            answer = PlatformAnswer(call_id=call.call_id, error=error)
            await platform.receive_answer(answer)

    class NoPlatform(LocalPlatform):
        async def get(self, kind, name, *, stale=False):
            raise PlatformUnavailable("down")

    platform = RelayedPlatform(direct=NoPlatform(), relays=lambda: [Relay()])

    async def main():
        with pytest.raises(PlatformUnavailable):
            await platform.get(SHARDS_KIND, SHARD_NAME)

    curio.run(main)
