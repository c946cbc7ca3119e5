"""Callers that open connections early, and those that make a planned stop difficult."""

from collections.abc import Callable
from math import isinf
from random import Random
from time import monotonic

import curio

from ragwortkeel.exceptions import ConnectFailed
from ragwortkeel.http_client import HttpClient
from soak.callers import HOST, Caller, Route, Target
from soak.faults import CrowdedStop, UnusedConnection
from soak.operator import BASE_ROUTES, LONG_ROUTE, SCARCE_ROUTE
from soak.processes import IngressProcess

PREPARING_SECONDS = 1.0
"""From the first requests on kept connections to the SIGTERM."""
MAX_UNUSED_SECONDS = 6.0
USED_SHARE = 0.5


class EarlyClient(HttpClient):
    """A client whose connection may be opened before there is a request for it."""

    async def open(self) -> None:
        """Open a connection, and leave it unused; none if that fails."""
        try:
            self._idle.append(await self._connect())
        except ConnectFailed:
            return  # A first request tries again, and records how that ends.


class LazyCaller:
    """Opens connections and leaves them unused for a while, or for good.

    Parameters
    ----------
    targets : callable
        Returns the processes that the balancer would choose from.
    caller : Caller
        Sends the requests.
    """

    def __init__(
        self,
        *,
        number: int,
        seed: int,
        targets: Callable[[], list[Target]],
        caller: Caller,
        routes: tuple[Route, ...],
    ) -> None:
        self._random = Random(f"lazy caller {number} {seed}")
        self._targets = targets
        self._caller = caller
        self._routes = routes

    async def run(self) -> None:
        """Open one connection after the other until cancelled."""
        while True:
            seconds = self._random.uniform(0.0, MAX_UNUSED_SECONDS)
            route = self._random.choice(self._routes)
            is_used = self._random.random() < USED_SHARE
            targets = self._targets()
            if not targets:
                await curio.sleep(seconds)
                continue
            target = self._random.choice(targets)
            client = EarlyClient(host=HOST, port=target.port)
            try:
                await client.open()
                await curio.sleep(seconds)
                if is_used:
                    await self._caller.ask(client, target, route)
            finally:
                await client.close()


class Crowd:
    """The callers of one `CrowdedStop`.

    Parameters
    ----------
    target : Target
        The process that is to stop.
    caller : Caller
        Sends the requests.
    """

    def __init__(self, *, action: CrowdedStop, target: Target, caller: Caller) -> None:
        self._action = action
        self._target = target
        self._caller = caller
        self._term_at = 0.0

    async def play(self, process: IngressProcess) -> None:
        """Let the callers begin, stop the process, and start it again."""
        action = self._action
        self._term_at = monotonic() + PREPARING_SECONDS
        async with curio.TaskGroup() as group:
            for seconds in action.late:
                await group.spawn(self._send_late, seconds)
            for seconds in action.waiting:
                await group.spawn(self._send_waiting, seconds)
            for connection in action.unused:
                await group.spawn(self._use_late, connection)
            for seconds in action.terms:
                await group.spawn(self._call_at, seconds, process.send_term)
            for seconds in action.reloads:
                await group.spawn(self._call_at, seconds, process.reload)
            await self._wait_until(0.0)
            await process.end()
        process.start()

    async def _wait_until(self, seconds: float) -> None:
        """Wait until some seconds after the SIGTERM."""
        await curio.sleep(max(0.0, self._term_at + seconds - monotonic()))

    async def _call_at(self, seconds: float, function: Callable[[], None]) -> None:
        await self._wait_until(seconds)
        function()

    async def _send_late(self, seconds: float) -> None:
        """Send a stream on a connection that has been used before the stop."""
        client = EarlyClient(host=HOST, port=self._target.port)
        try:
            answer = await self._caller.ask(client, self._target, BASE_ROUTES[0])
            begun_at = monotonic()
            await self._wait_until(seconds)
            if answer.connected:
                await self._caller.ask(
                    client, self._target, LONG_ROUTE, idle_since=begun_at
                )
        finally:
            await client.close()

    async def _send_waiting(self, seconds: float) -> None:
        client = EarlyClient(host=HOST, port=self._target.port)
        try:
            await client.open()
            await self._wait_until(seconds)
            await self._caller.ask(client, self._target, SCARCE_ROUTE)
        finally:
            await client.close()

    async def _use_late(self, connection: UnusedConnection) -> None:
        client = EarlyClient(host=HOST, port=self._target.port)
        try:
            await self._wait_until(connection.opened_at)
            await client.open()
            if isinf(connection.used_at):
                await self._wait_until(MAX_UNUSED_SECONDS)
                return
            await self._wait_until(connection.used_at)
            await self._caller.ask(client, self._target, LONG_ROUTE)
        finally:
            await client.close()
