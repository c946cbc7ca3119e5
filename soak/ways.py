"""Loopback proxies between the ingress processes and the platform."""

from collections.abc import Awaitable, Callable

import curio

from soak.faults import Way

HOST = "127.0.0.1"
CHUNK_BYTES = 12_500
SLOW_BYTES_PER_SECOND = 1_250_000
DELAY_SECONDS = 0.3


class PlatformWay:
    """A TCP proxy whose connections can be disturbed.

    Attributes
    ----------
    way : Way or None
        The disturbance in effect.
    """

    def __init__(self, *, target_port: int) -> None:
        self.way: Way | None = None
        self._target_port = target_port
        self._task_by_pair: dict[tuple, curio.Task] = {}
        self._silent: set[tuple] = set()

    async def start(self) -> None:
        """Listen at a free port."""
        self._sock = curio.network.tcp_server_socket(HOST, 0)
        self.port = self._sock.getsockname()[1]
        await curio.spawn(
            curio.network.run_server, self._sock, self._serve, daemon=True
        )

    async def disturb(self, way: Way) -> None:
        """Begin a disturbance; an earlier one ends."""
        self.way = way
        if way is Way.SILENT_OPEN:
            self._silent |= self._task_by_pair.keys()
        if way in (Way.RESET, Way.REFUSE):
            await self._close_all()

    def end_disturbance(self) -> None:
        """Let new connections work; connections that fell silent stay so."""
        self.way = None

    async def _close_all(self) -> None:
        for task in list(self._task_by_pair.values()):
            await task.cancel()

    async def _serve(self, client, _address) -> None:
        if self.way is Way.REFUSE:
            return
        try:
            server = await curio.open_connection(HOST, self._target_port)
        except OSError:
            return  # The platform is not there; the client sees a closed connection.
        pair = (client, server)
        self._task_by_pair[pair] = await curio.current_task()
        try:
            async with server, curio.TaskGroup(wait=any) as group:
                await group.spawn(self._copy, pair, client, server.sendall, False)
                await group.spawn(self._copy, pair, server, client.sendall, True)
        finally:
            del self._task_by_pair[pair]
            self._silent.discard(pair)

    async def _copy(
        self,
        pair: tuple,
        source,
        send: Callable[[bytes], Awaitable[None]],
        is_answer: bool,
    ) -> None:
        try:
            while data := await source.recv(CHUNK_BYTES):
                await self._wait(pair, len(data), is_answer=is_answer)
                await send(data)
        except OSError:
            return  # One of both ends has closed.

    async def _wait(self, pair: tuple, size: int, *, is_answer: bool) -> None:
        if pair in self._silent:
            await curio.sleep(3600)
        match self.way:
            case Way.SILENT:
                self._silent.add(pair)
                await curio.sleep(3600)
            case Way.ONE_WAY if is_answer:
                self._silent.add(pair)
                await curio.sleep(3600)
            case Way.DELAY:
                await curio.sleep(DELAY_SECONDS)
            case Way.SLOW_LINK:
                await curio.sleep(size / SLOW_BYTES_PER_SECOND)
