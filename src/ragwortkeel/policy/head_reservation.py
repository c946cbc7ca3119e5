"""Reservation of one upstream for the first queued request that fits nowhere.

Pattern of load: one request that needs as much memory as dozens of others, among a
steady flow of small ones.  If all requests behind it wait, upstreams with free memory
stand idle (head-of-line blocking).  If the others pass it, they take each bit of memory
that becomes free, and it never starts (starvation).  So the others pass it, except at
one upstream, whose memory becomes free for it.

There is one reservation for each service.  With more, a burst of large requests would
withhold the whole service from the small ones.
"""

from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b

NOTHING_WITHHELD: frozenset[str] = frozenset()


class ReservationChange(StrEnum):
    """What happened to a reservation."""

    BEGUN = "begun"
    ASSIGNED = "assigned"
    REMOVED = "removed"
    UPSTREAM_GONE = "upstream_gone"
    MORE_URGENT = "more_urgent"


@dataclass(frozen=True, kw_only=True)
class Reservation:
    """An upstream that is withheld from other requests.

    Attributes
    ----------
    priority : int
        Priority of the request; lower numbers are more urgent.
    missing_tokens : int
        Tokens that the upstream lacked for the request when the reservation began.
    queued_at, since_at : float
        Monotonic seconds at which the request was queued and the reservation began.
    only_upstream : bool
        Whether the request may use no other upstream.
    """

    service: str
    request_id: str
    priority: int
    upstream: str
    memory_tokens: int
    missing_tokens: int
    queued_at: float
    since_at: float
    only_upstream: bool = False


class HeadReservations:
    """The reservation of each service."""

    def __init__(self) -> None:
        self._by_service: dict[str, Reservation] = {}

    def of(self, service: str) -> Reservation | None:
        """Return the reservation of the service."""
        return self._by_service.get(service)

    def withheld(
        self, *, service: str, request_id: str, priority: int, goes_first: bool
    ) -> frozenset[str]:
        """Return the upstreams that the request must not use.

        A request of a more urgent priority may use any upstream.  One of the same
        priority may not, even if the share of its customer puts it first: otherwise
        customers with few running requests take all memory that is freed.  Where there
        is no other upstream, the order between customers holds as it is.

        Parameters
        ----------
        goes_first : bool
            Whether the request goes before the holder of the reservation.
        """
        held = self._by_service.get(service)
        if held is None or held.request_id == request_id or priority < held.priority:
            return NOTHING_WITHHELD
        if held.only_upstream and goes_first:
            return NOTHING_WITHHELD
        return frozenset({held.upstream})

    def reserve(
        self,
        *,
        service: str,
        request_id: str,
        priority: int,
        memory_tokens: int,
        queued_at: float,
        missing_tokens_by_upstream: dict[str, int],
        now: float,
    ) -> list[tuple[ReservationChange, Reservation]]:
        """Reserve an upstream for a request that fits nowhere; return what changed.

        A reservation passes to a request of a more urgent priority.
        The upstream with the fewest missing tokens is expected to suffice first; among
        equal ones, each request has an order of its own, so that processes don't all
        reserve the same one.  There
        is no reservation if one of them lacks no memory but a slot: the next free slot
        goes to the first request in the queue without one.

        Parameters
        ----------
        missing_tokens_by_upstream : dict of str to int
            Tokens that each upstream lacks which the request may use.
        """
        changes = []
        held = self._by_service.get(service)
        if held is not None:
            if held.request_id == request_id:
                if held.upstream in missing_tokens_by_upstream:
                    return []
                changes.append((ReservationChange.UPSTREAM_GONE, held))
            elif priority < held.priority:
                changes.append((ReservationChange.MORE_URGENT, held))
            else:
                return []
        upstream = min(
            missing_tokens_by_upstream,
            key=lambda name: (
                missing_tokens_by_upstream[name],
                _rank(request_id, name),
            ),
            default=None,
        )
        if upstream is None or missing_tokens_by_upstream[upstream] <= 0:
            if held is not None and held.request_id == request_id:
                del self._by_service[service]
                return changes
            return []
        begun = self._by_service[service] = Reservation(
            service=service,
            request_id=request_id,
            priority=priority,
            upstream=upstream,
            memory_tokens=memory_tokens,
            missing_tokens=missing_tokens_by_upstream[upstream],
            queued_at=queued_at,
            since_at=now,
            only_upstream=len(missing_tokens_by_upstream) == 1,
        )
        return [*changes, (ReservationChange.BEGUN, begun)]

    def end(self, *, service: str, request_id: str) -> Reservation | None:
        """End the reservation of a request that was assigned, refused or left."""
        held = self._by_service.get(service)
        if held is None or held.request_id != request_id:
            return None
        return self._by_service.pop(service)


@dataclass(frozen=True, kw_only=True)
class Search:
    """The bounds within which an upstream was searched for a request.

    Attributes
    ----------
    regions : frozenset of str or None
        Regions of the upstreams; None for all.
    version : str or None
        Software version of the upstreams; None for all.
    """

    regions: frozenset[str] | None
    excluded_upstreams: frozenset[str]
    memory_tokens: int
    version: str | None = None

    @property
    def is_unbounded(self) -> bool:
        """Whether all upstreams of the service were searched."""
        return (
            self.regions is None
            and self.version is None
            and not self.excluded_upstreams
        )

    def covers(self, other: "Search") -> bool:
        """Return whether the other search fails as well if this one failed."""
        return (
            self.memory_tokens <= other.memory_tokens
            and self.excluded_upstreams <= other.excluded_upstreams
            and (self.regions is None or self.regions == other.regions)
            and (self.version is None or self.version == other.version)
        )


def _rank(request_id: str, upstream: str) -> bytes:
    return blake2b(f"{request_id}/{upstream}".encode(), digest_size=8).digest()
