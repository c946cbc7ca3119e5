"""Reading and writing intents in the platform, each failure told apart."""

import curio

from ragwortkeel.configuration import INTENTS
from ragwortkeel.exceptions import (
    AlreadyExists,
    ObjectNotFound,
    OutcomeUnknown,
    PlatformUnavailable,
    VersionConflict,
)
from ragwortkeel.platform import Platform
from ragwortkeel.runs.intent import (
    Intent,
    StoredIntent,
    WriteResult,
    decode,
    encode,
    object_name,
)

OUTCOME_RETRY_SECONDS = 1.0
OUTCOME_TRIES = 30
"""The sidecar keeps what it ran and records it as well; this is the fast way."""


class IntentStore:
    """The intents of must-not-repeat requests.

    .. versionadded:: 0.1
    """

    def __init__(self, *, platform: Platform) -> None:
        self._platform = platform

    async def read(self, profile: str, request_id: str) -> StoredIntent | None:
        """Return the intent under a key; a `PlatformError` where it can't be read."""
        stored = await self._platform.get(INTENTS, object_name(profile, request_id))
        if stored is None:
            return None
        return StoredIntent(intent=decode(stored.value), version=stored.version)

    async def write(
        self, intent: Intent, version: int | None
    ) -> tuple[WriteResult, int]:
        """Create the intent, or replace it at `version`; also return the new one."""
        name = object_name(intent.profile, intent.request_id)
        value = encode(intent)
        try:
            if version is None:
                rv = await self._platform.create(INTENTS, name, value)
            else:
                rv = await self._platform.update(INTENTS, name, value, version)
        except (AlreadyExists, VersionConflict, ObjectNotFound):
            return WriteResult.CONFLICT, 0
        except OutcomeUnknown:
            return WriteResult.OPEN, 0
        except PlatformUnavailable:
            return WriteResult.UNAVAILABLE, 0
        return WriteResult.WRITTEN, rv

    async def record(self, done: Intent, version: int) -> bool:
        """Make an outcome durable, through a short outage if need be."""
        for _ in range(OUTCOME_TRIES):
            result, _ = await self.write(done, version)
            if result is WriteResult.WRITTEN:
                return True
            if result is WriteResult.CONFLICT:
                # Somebody else recorded it, or this very write did and its
                # answer was lost; the sidecar finds out which.
                return False
            await curio.sleep(OUTCOME_RETRY_SECONDS)
        return False
