"""What a stream needs before it tries to leave a silent upstream for another one.

Failure it guards against: an upstream is silent for a moment and goes on, but its
streams have been ended, as no other upstream could run them.  All streams of an
upstream fall silent together, so there are more of them than retries.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from time import monotonic

from ragwortkeel.exceptions import ConnectDelayed, ConnectFailed
from ragwortkeel.ingress.configuration import Service
from ragwortkeel.ingress.dispatch import Dispatcher
from ragwortkeel.ingress.outcomes import NotRunReason
from ragwortkeel.ingress.placement import Assignment, Job, Placement
from ragwortkeel.ingress.upstream_connection import ConnectionPool, UpstreamConnection
from ragwortkeel.policy.facts import Failure
from ragwortkeel.policy.retries import RetryBudget


class Lack(StrEnum):
    """Why a stream stays at a silent upstream."""

    ATTEMPTS = "attempts"
    SUSPECT = "suspect"
    VERSION = "version"
    RETRIES = "retries"
    ROOM = "room"
    CONNECTION = "connection"
    OBSTACLE = "obstacle"
    ANSWERED = "answered"


@dataclass(frozen=True, kw_only=True)
class Replacement:
    """An assigned upstream, an open connection to it and a spent retry."""

    assignment: Assignment
    connection: UpstreamConnection


class Replacements:
    """Secures replacements for silent upstreams.

    Parameters
    ----------
    obstacle : callable
        Returns why a request may not be sent to its upstream, None if it may.
    """

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        placement: Placement,
        connections: ConnectionPool,
        retries: RetryBudget,
        obstacle: Callable[[Assignment], NotRunReason | None],
    ) -> None:
        self._dispatcher = dispatcher
        self._placement = placement
        self._connections = connections
        self._retries = retries
        self._obstacle = obstacle

    async def secure(
        self,
        job: Job,
        *,
        service: Service,
        tried_upstreams: frozenset[str],
        silent: UpstreamConnection,
    ) -> Replacement | Lack:
        """Return a replacement, or what is lacking; nothing is held in that case.

        Parameters
        ----------
        silent : UpstreamConnection
            The connection that is left; it may have received data meanwhile.
        """
        if not self._retries.has_retry:
            return Lack.RETRIES
        assignment = await self._dispatcher.acquire_at_once(
            job, service=service, tried_upstreams=tried_upstreams
        )
        if assignment is None:
            return Lack.ROOM
        rv: Replacement | Lack = Lack.RETRIES
        try:
            if self._retries.try_spend():
                rv = Lack.CONNECTION
                rv = await self._connect(assignment, silent)
        finally:
            if not isinstance(rv, Replacement):
                if rv is not Lack.RETRIES:
                    self._retries.refund()
                await self._give_back(assignment)
        return rv

    async def drop(self, replacement: Replacement) -> None:
        """Give back a replacement that was not used."""
        self._retries.refund()
        await self._give_back(replacement.assignment)
        await replacement.connection.close()

    async def _give_back(self, assignment: Assignment) -> None:
        # The assignment may have been the probe of an ejected upstream.
        self._placement.record_no_verdict(assignment.upstream.name, monotonic())
        await self._dispatcher.release(assignment)

    async def _connect(
        self, assignment: Assignment, silent: UpstreamConnection
    ) -> Replacement | Lack:
        upstream = assignment.upstream
        lack = self._lack_now(assignment, silent)
        if lack is not None:
            return lack
        try:
            connection = await self._connections.acquire(upstream, fresh=True)
        except ConnectDelayed:
            return Lack.CONNECTION
        except ConnectFailed:
            self._placement.record_failure(
                upstream.name, Failure.UNREACHABLE, monotonic()
            )
            return Lack.CONNECTION
        lack = self._lack_now(assignment, silent)
        if lack is None:
            return Replacement(assignment=assignment, connection=connection)
        await self._connections.release(upstream, connection)
        return lack

    def _lack_now(
        self, assignment: Assignment, silent: UpstreamConnection
    ) -> Lack | None:
        if not silent.is_quiet():
            return Lack.ANSWERED
        return Lack.OBSTACLE if self._obstacle(assignment) is not None else None
