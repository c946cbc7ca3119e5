"""Whether an upstream is still the start of an instance that its entry describes.

An entry is late by a moment, or by an outage of the platform, and an upstream that
started again under its name may run other software.  So a stream goes on at an upstream
only once the upstream itself has shown that it did not start again:

- A connection is still open, and was opened when the start was known.
- Otherwise its report states the start that the entry names.

Pattern of load: an upstream crashes, and all its streams go on elsewhere at once.  They
share one call of the report of each upstream.
"""

from enum import StrEnum
from math import inf
from time import monotonic

import curio
import msgspec

from ragwortkeel.exceptions import ConnectFailed, ExchangeBroken
from ragwortkeel.http_client import MAX_REPORT_BYTES
from ragwortkeel.httpio import HttpClient
from ragwortkeel.ingress.configuration import Upstream
from ragwortkeel.ingress.directory import ENTRY_LAG_SECONDS, Directory
from ragwortkeel.ingress.upstream_connection import ConnectionPool
from ragwortkeel.logs import log_info

REPORT_SECONDS = 1.0
"""Time limit of a report.

An upstream may be silent for a moment, and callers wait longer than that for a stream.
"""

SHORT_WAIT_SECONDS = 0.25
"""Longest wait for a report while a stream that goes on is held up, over a hundred
round trips inside a region."""

RECHECK_SECONDS = 0.5
"""Time after a check without a result in which the upstream is not asked again."""


class StartCheck(StrEnum):
    """What is known of the start of an upstream."""

    SAME = "same"
    OTHER = "other"
    UNKNOWN = "unknown"


class StartReport(msgspec.Struct, frozen=True, kw_only=True):
    """The part of an upstream's report that names its start."""

    started_ms: int = msgspec.field(name="born")


class StartChecks:
    """Checks that upstreams are the starts that their entries describe.

    Parameters
    ----------
    connections : ConnectionPool
        The connections to upstreams, whose being open shows that none restarted.
    directory : Directory
        Is told of upstreams that did restart.
    report_path : str
        Path of the upstreams' reports; empty if they give none.
    """

    def __init__(
        self, *, connections: ConnectionPool, directory: Directory, report_path: str
    ) -> None:
        self._connections = connections
        self._directory = directory
        self._report_path = report_path
        self._shown_at: dict[tuple[str, int], float] = {}
        self._failed_at: dict[tuple[str, int], float] = {}
        self._call_by_start: dict[tuple[str, int], curio.Task] = {}

    def is_shown(self, upstream: Upstream) -> bool:
        """Return whether an open connection shows that an upstream did not restart."""
        start = _start(upstream)
        settled_until = self._directory.heard_until(monotonic()) - ENTRY_LAG_SECONDS
        shown_at = max(self._shown_at.get(start, -inf), settled_until)
        if not self._connections.has_open(upstream, opened_until=shown_at):
            return False
        self._shown_at[start] = monotonic()
        return True

    async def check(
        self, upstream: Upstream, *, seconds: float = SHORT_WAIT_SECONDS
    ) -> StartCheck:
        """Return whether an upstream is the start that its entry describes.

        The answer holds for connections that were open before the call.

        Parameters
        ----------
        seconds : float
            Longest time to wait for a report.
        """
        if self.is_shown(upstream):
            return StartCheck.SAME
        if not self._report_path or not upstream.started_ms:
            return StartCheck.UNKNOWN
        start = _start(upstream)
        if monotonic() - self._failed_at.get(start, -inf) < RECHECK_SECONDS:
            return StartCheck.UNKNOWN
        call = self._call_by_start.get(start)
        if call is None:
            call = await curio.spawn(self._ask, upstream, daemon=True)
            self._call_by_start[start] = call
        # The call goes on for the others if the caller of this one leaves.
        async with curio.ignore_after(seconds):
            await call.wait()
        return call.result if call.terminated else StartCheck.UNKNOWN

    async def may_continue_at(
        self, upstream: Upstream, *, seconds: float = REPORT_SECONDS
    ) -> bool:
        """Return whether a stream of an upstream's version may go on there.

        Without reports, or if the entry names no start to compare with, it decides.
        """
        if not (self._report_path and upstream.started_ms):
            return True
        return await self.check(upstream, seconds=seconds) is StartCheck.SAME

    async def _ask(self, upstream: Upstream) -> StartCheck:
        start, sent_at = _start(upstream), monotonic()
        try:
            result, detail = await self._read_report(upstream)
        finally:
            del self._call_by_start[start]
        match result:
            case StartCheck.SAME:
                self._shown_at[start] = sent_at
            case StartCheck.OTHER:
                self._directory.record_possible_restart(upstream.name, sent_at)
            case StartCheck.UNKNOWN:
                self._failed_at[start] = monotonic()
        log_info(
            "start_checked",
            upstream=upstream.name,
            result=result,
            detail=detail,
            took=round(monotonic() - sent_at, 4),
        )
        return result

    async def _read_report(self, upstream: Upstream) -> tuple[StartCheck, str]:
        """Return what the upstream's report says of its start, and why unknown."""
        client = HttpClient(host=upstream.host, port=upstream.port)
        try:
            response = await client.request(
                "GET",
                self._report_path,
                timeout=REPORT_SECONDS,
                max_bytes=MAX_REPORT_BYTES,
            )
            if response.status != 200:
                return StartCheck.UNKNOWN, str(response.status)
            report = msgspec.json.decode(response.body, type=StartReport)
        except (ConnectFailed, ExchangeBroken, OSError, msgspec.DecodeError) as exc:
            return StartCheck.UNKNOWN, str(exc)
        finally:
            await client.close()
        if report.started_ms == upstream.started_ms:
            return StartCheck.SAME, ""
        return StartCheck.OTHER, ""

    def retain(self, upstreams: dict[str, Upstream]) -> None:
        """Forget the starts that no entry describes any more."""
        starts = {_start(upstream) for upstream in upstreams.values()}
        for by_start in (self._shown_at, self._failed_at):
            for start in by_start.keys() - starts:
                del by_start[start]


def _start(upstream: Upstream) -> tuple[str, int]:
    return upstream.name, upstream.started_ms
