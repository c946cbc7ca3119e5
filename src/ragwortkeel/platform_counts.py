"""Counts of a process's calls to the platform, by operation, kind and outcome.

The platform charges every call, also refused ones, so a fleet pays for the sum over
its processes.  The counts show which calls increase with the size of the fleet.
"""

from collections import Counter
from collections.abc import Awaitable

import curio

from ragwortkeel.exceptions import (
    AlreadyExists,
    ObjectNotFound,
    OutcomeUnknown,
    PlatformError,
    VersionConflict,
)
from ragwortkeel.logs import log_info
from ragwortkeel.metrics import Metrics
from ragwortkeel.platform import Changes, Instance, Listing, Platform, Stored

REPORT_SECONDS = 2.0
"""Interval between log lines with the counts."""

_CONFLICTS = (VersionConflict, AlreadyExists, ObjectNotFound)


class CountedPlatform:
    """A `Platform` that counts its calls.

    Parameters
    ----------
    platform : Platform
        Makes the calls.
    metrics : Metrics
        Receives the counts.
    """

    def __init__(self, *, platform: Platform, metrics: Metrics) -> None:
        self._platform = platform
        self._metrics = metrics
        self._count_by_call: Counter[str] = Counter()

    async def get(self, kind: str, name: str, *, stale: bool = False) -> Stored | None:
        """Return the object; see `Platform.get`."""
        operation = "get_stale" if stale else "get"
        call = self._platform.get(kind, name, stale=stale)
        return await self._await_counted(operation, kind, call)

    async def list(self, kind: str, prefix: str = "") -> Listing:
        """Return all objects of a kind; see `Platform.list`."""
        return await self._await_counted(
            "list", kind, self._platform.list(kind, prefix)
        )

    async def create(self, kind: str, name: str, value: bytes) -> int:
        """Create the object; see `Platform.create`."""
        call = self._platform.create(kind, name, value)
        return await self._await_counted("create", kind, call)

    async def update(self, kind: str, name: str, value: bytes, version: int) -> int:
        """Replace the object at a version; see `Platform.update`."""
        call = self._platform.update(kind, name, value, version)
        return await self._await_counted("update", kind, call)

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete the object at a version; see `Platform.delete`."""
        call = self._platform.delete(kind, name, version)
        await self._await_counted("delete", kind, call)

    async def watch(self, kind: str, revision: int, timeout: float) -> Changes:
        """Wait for changes; see `Platform.watch`."""
        call = self._platform.watch(kind, revision, timeout)
        return await self._await_counted("watch", kind, call)

    async def live(self) -> dict[str, Instance]:
        """Return live and leaving instances; see `Platform.live`."""
        return await self._await_counted("live", "instances", self._platform.live())

    async def run(self) -> None:
        """Log the counts regularly until cancelled."""
        while True:
            await curio.sleep(REPORT_SECONDS)
            self._report()

    def _report(self) -> None:
        if not self._count_by_call:
            return
        calls = ",".join(f"{c}:{n}" for c, n in self._count_by_call.most_common())
        log_info("platform_calls", calls=calls, seconds=REPORT_SECONDS)
        self._count_by_call.clear()

    async def _await_counted(self, operation: str, kind: str, call: Awaitable):
        outcome = "cancelled"
        try:
            rv = await call
            outcome = "done"
            return rv
        except _CONFLICTS:
            outcome = "conflict"
            raise
        except OutcomeUnknown:
            outcome = "unknown"
            raise
        except PlatformError:
            outcome = "unavailable"
            raise
        finally:
            self._count_by_call[f"{operation}/{kind}/{outcome}"] += 1
            self._metrics.record_platform_call(
                operation=operation, kind=kind, outcome=outcome
            )
