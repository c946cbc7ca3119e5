"""Claims of reserved memory, which peers see as load.

Pattern of load: one giant request among small ones at many processes.  A reservation
holds back the requests of its own process only; those of the others would fill the
memory that becomes free, and the giant request would never start.  So its process
reports the tokens as if they were in use.  The peers assign less to the upstream, and
what is free there is left to the request.
"""

from dataclasses import dataclass

from ragwortkeel.ingress.loads import NO_LOAD, Load
from ragwortkeel.policy.head_reservation import Reservation
from ragwortkeel.policy.memory_share import REPORT_ROUND_SECONDS

CLAIM_AFTER_SECONDS = 0.1
"""Age of a reservation that is claimed; most of them end within a few requests."""

MIN_CLAIM_FRACTION = 0.04
"""Smallest claim, as a fraction of the engine's memory.

Usual requests of a saturated service have reservations too, in each process; claims for
these would leave memory of the whole fleet unused.
"""


@dataclass(frozen=True, kw_only=True)
class _Claim:
    request_id: str
    upstream: str
    tokens: int
    since_at: float


class MemoryClaims:
    """The claims of this process, at most one for each service."""

    def __init__(self) -> None:
        self._by_service: dict[str, _Claim] = {}

    def update(self, held: Reservation, *, memory_tokens: int, now: float) -> None:
        """Claim the memory of a reservation that is old and large enough.

        Parameters
        ----------
        memory_tokens : int
            Memory of the engine.
        """
        known = self._by_service.get(held.service)
        if known is not None and (known.request_id, known.upstream) == (
            held.request_id,
            held.upstream,
        ):
            return
        self._by_service.pop(held.service, None)
        is_large = held.memory_tokens >= memory_tokens * MIN_CLAIM_FRACTION
        if is_large and now - held.since_at >= CLAIM_AFTER_SECONDS:
            self._by_service[held.service] = _Claim(
                request_id=held.request_id,
                upstream=held.upstream,
                tokens=held.memory_tokens,
                since_at=now,
            )

    def remove(self, service: str) -> None:
        """Remove the claim of a service, whose reservation ended."""
        self._by_service.pop(service, None)

    def is_known(self, request_id: str, upstream: str, now: float) -> bool:
        """Return whether all peers have heard that the request claims the upstream."""
        return any(
            (claim.request_id, claim.upstream) == (request_id, upstream)
            and now - claim.since_at >= REPORT_ROUND_SECONDS
            for claim in self._by_service.values()
        )

    def added_to(self, load_by_upstream: dict[str, Load]) -> dict[str, Load]:
        """Return the loads with the claimed tokens, for the peers."""
        rv = dict(load_by_upstream)
        for claim in self._by_service.values():
            claimed = Load(memory_tokens=claim.tokens)
            rv[claim.upstream] = rv.get(claim.upstream, NO_LOAD) + claimed
        return rv
