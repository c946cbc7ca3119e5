"""Reads and writes intents in the platform."""

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
OUTCOME_WRITE_ATTEMPTS = 30
"""The sidecar records the outcome of each run too, so that giving up loses none."""


class IntentStore:
    """The stored intents of must-not-repeat requests.

    .. versionadded:: 0.1
    """

    def __init__(self, *, platform: Platform) -> None:
        self._platform = platform

    async def read(self, profile: str, request_id: str) -> StoredIntent | None:
        """Return the intent of a request, None if there is none.

        Raises
        ------
        PlatformError
            The intent can't be read.
        """
        stored = await self._platform.get(INTENTS, object_name(profile, request_id))
        if stored is None:
            return None
        return StoredIntent(intent=decode(stored.value), version=stored.version)

    async def write(
        self, intent: Intent, version: int | None
    ) -> tuple[WriteResult, int]:
        """Create the intent, or replace it if it is at `version`.

        Return the result and the new version, 0 unless it was written.
        """
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

    async def record(self, intent: Intent, version: int) -> bool:
        """Write an intent with its outcome, with retries during a short outage.

        Return whether the write was confirmed.
        """
        for _ in range(OUTCOME_WRITE_ATTEMPTS):
            result, _ = await self.write(intent, version)
            if result is WriteResult.WRITTEN:
                return True
            if result is WriteResult.CONFLICT:
                # Another process recorded the outcome, or an earlier write
                # took effect and its answer was lost.  The sidecar reads the
                # intent to find out.
                return False
            await curio.sleep(OUTCOME_RETRY_SECONDS)
        return False
