"""Reads what upstreams announce about themselves in the heads of their responses.

Failure it guards against: an announcement that is only forwarded to the caller, so that
this process goes on as if the upstream had not made it.  All headers of that kind are
read here, whatever the status of the response.
"""

from collections.abc import Callable
from dataclasses import dataclass

from ragwortkeel.exceptions import AnnouncementUnreadable
from ragwortkeel.http_events import decimal_value
from ragwortkeel.ingress.configuration import Upstream
from ragwortkeel.ingress.leaving_tracker import LeavingTracker
from ragwortkeel.ingress.limit_tracker import LimitTracker
from ragwortkeel.ingress.names import HeaderNames
from ragwortkeel.ingress.pause_tracker import PauseTracker
from ragwortkeel.ingress.upstream_connection import ResponseHead
from ragwortkeel.logs import log_warning

MAX_LOGGED_CHARACTERS = 40
"""Number of characters of an invalid header value that a log line contains."""

RETRY_AFTER_HEADER = "retry-after"
UNAVAILABLE = 503


@dataclass(frozen=True, kw_only=True)
class RateLimit:
    """The upstream accepts so many requests a second from the whole fleet.

    `per_second` is None if it accepts requests at any rate.
    """

    per_second: float | None


@dataclass(frozen=True, kw_only=True)
class Leaving:
    """The upstream exits soon and must get no new request."""


@dataclass(frozen=True, kw_only=True)
class Pause:
    """The upstream wants no request of this process for so many seconds.

    `seconds` is 0 if it accepts requests at once.
    """

    seconds: float


Announcement = RateLimit | Leaving | Pause


def read_limit(head: ResponseHead, header: str) -> RateLimit:
    """Return the rate limit in a response; one without the header ends the limit.

    Raises
    ------
    AnnouncementUnreadable
        The value is no decimal number, or there are two different values.
    """
    value = _single_value(head, header)
    if value is None:
        return RateLimit(per_second=None)
    return RateLimit(per_second=_decimal(value))


def read_leaving(head: ResponseHead, header: str) -> Leaving | None:
    """Return whether a response announces that its upstream leaves.

    Raises
    ------
    AnnouncementUnreadable
        The value is neither 0 nor 1, or there are two different values.
    """
    match _single_value(head, header):
        case None | "0":
            return None
        case "1":
            return Leaving()
        case value:
            raise AnnouncementUnreadable(value)


def read_pause(head: ResponseHead, header: str) -> Pause:
    """Return the pause that a response asks for.

    It asks for none unless its status is 503; with others, the header is about one
    request or customer.

    Raises
    ------
    AnnouncementUnreadable
        The value is no decimal number, or there are two different values.
    """
    value = _single_value(head, header) if head.status == UNAVAILABLE else None
    return Pause(seconds=0.0 if value is None else _decimal(value))


class AnnouncementReader:
    """Passes the announcements in responses to the parts that obey them.

    Parameters
    ----------
    names : HeaderNames
        Names of the headers with announcements.
    limits : LimitTracker
        Records rate limits.
    leaving : LeavingTracker
        Records which upstreams leave.
    pauses : PauseTracker
        Records which upstreams ask for a pause.
    """

    def __init__(
        self,
        *,
        names: HeaderNames,
        limits: LimitTracker,
        leaving: LeavingTracker,
        pauses: PauseTracker,
    ) -> None:
        self._limits = limits
        self._leaving = leaving
        self._pauses = pauses
        self._read_by_header: dict[
            str, Callable[[ResponseHead, str], Announcement | None]
        ] = {
            names.rate_limit: read_limit,
            names.leaving: read_leaving,
            RETRY_AFTER_HEADER: read_pause,
        }
        self._unreadable: set[tuple[str, str]] = set()

    def receive_head(
        self, upstream: Upstream, head: ResponseHead, *, sent_at: float
    ) -> None:
        """Read a response to a request that was sent at `sent_at`."""
        for header, read in self._read_by_header.items():
            try:
                announcement = read(head, header)
            except AnnouncementUnreadable as exc:
                self._log_unreadable(upstream.name, header, str(exc))
                continue
            self._unreadable.discard((upstream.name, header))
            match announcement:
                case RateLimit(per_second=per_second):
                    self._limits.record_answer(
                        upstream.name, per_second, sent_at=sent_at
                    )
                case Leaving():
                    self._leaving.record_answer(upstream)
                case Pause(seconds=seconds):
                    self._pauses.record_answer(upstream, seconds, sent_at=sent_at)

    def retain(self, upstreams: set[str]) -> None:
        """Forget which headers of all other upstreams were unreadable."""
        self._unreadable = {key for key in self._unreadable if key[0] in upstreams}

    def _log_unreadable(self, upstream: str, header: str, value: str) -> None:
        if (upstream, header) in self._unreadable:
            return
        self._unreadable.add((upstream, header))
        log_warning(
            "upstream_announcement_unreadable",
            upstream=upstream,
            header=header,
            value=value[:MAX_LOGGED_CHARACTERS],
        )


def _single_value(head: ResponseHead, header: str) -> str | None:
    values = {value.strip() for name, value in head.fields if name == header}
    if len(values) > 1:
        raise AnnouncementUnreadable(", ".join(sorted(values)))
    return values.pop() if values else None


def _decimal(value: str) -> float:
    number = decimal_value(value)
    if number is None:
        raise AnnouncementUnreadable(value)
    return number
