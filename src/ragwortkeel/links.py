"""Links between the processes of the fleet: zmq sockets used from curio.

An `Endpoint` is the bound socket of a process; a `Link` is a connection to one peer.
Both send and receive `Envelope` messages.  A link sends heartbeats and checks that
the peer answers, because a TCP connection can stay open without delivering anything.
After too long a silence the link closes its socket, reports `LinkDown` and
reconnects; it reports `LinkUp` when it receives a message again.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from time import monotonic

import curio
import msgspec
import zmq
from curio.traps import _read_wait

from ragwortkeel.exceptions import LinkLost
from ragwortkeel.lifecycle import ChartName, Lifecycle
from ragwortkeel.logs import log_debug, log_warning
from ragwortkeel.messages import AnyMessage, Envelope, Heartbeat, decode, encode
from ragwortkeel.traffic import Traffic

HEARTBEAT_SECONDS = 1.0
"""Interval between heartbeats.

With 1,000 routers and 10,000 sidecars, they are the largest steady message rate.
"""

SILENCE_SECONDS = 3.5
"""Silence of a peer after which a link is down.

The time of three heartbeats and some slack; with less, a short pause of a peer would
count as a failure.
"""

UP = "up"
"""The state of charts/link.json in which the peer is reachable."""

QUEUED_MESSAGES = 20_000
"""Messages queued for each peer.

A peer that falls further behind loses messages and has to resume.
"""

CLOSE_LINGER_MILLISECONDS = 500
"""Time for sending the last answers on a planned stop; more delays the exit."""


@dataclass(frozen=True, kw_only=True)
class Received:
    """A message from a peer.

    `peer` is its name for `Endpoint.send`, or for the owner of the `Link`.
    """

    peer: str
    envelope: Envelope


@dataclass(frozen=True, kw_only=True)
class LinkUp:
    """A message arrived on a new connection; the owner resumes open exchanges."""

    peer: str


@dataclass(frozen=True, kw_only=True)
class LinkDown:
    """The peer was silent for too long; sent messages may be lost."""

    peer: str


LinkEvent = Received | LinkUp | LinkDown


class _Channel:
    """A zmq socket with a queue of received messages, read by a curio task."""

    def __init__(self, socket: zmq.Socket) -> None:
        self._socket = socket
        self._ready: deque[list[bytes]] = deque()
        self._arrived = curio.Event()
        self._reader: curio.Task | None = None

    async def send(self, frames: list[bytes]) -> None:
        """Queue the frames for sending; raise `LinkLost` if that fails."""
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError as exc:
            raise LinkLost(str(exc)) from exc
        # zmq's descriptor is edge-triggered, and a send may consume the edge of a
        # message that has arrived: without this check the reader would hang.
        await self._drain()

    async def receive(self) -> list[bytes]:
        """Return the next message's frames."""
        if self._reader is None:
            self._reader = await curio.spawn(self._read, daemon=True)
        while not self._ready:
            self._arrived.clear()
            await self._drain()
            if self._ready:
                break
            await self._arrived.wait()
        return self._ready.popleft()

    async def close(self, linger: int = 0) -> None:
        """Stop reading and close the socket."""
        if self._reader is not None:
            await self._reader.cancel()
        self._socket.close(linger)

    async def _read(self) -> None:
        fd = self._socket.getsockopt(zmq.FD)
        while True:
            await _read_wait(fd)
            await self._drain()

    async def _drain(self) -> None:
        arrived = False
        while self._socket.getsockopt(zmq.EVENTS) & zmq.POLLIN:
            try:
                self._ready.append(self._socket.recv_multipart(zmq.NOBLOCK))
            except zmq.Again:
                break
            arrived = True
        if arrived:
            await self._arrived.set()


def _new_socket(kind: int, identity: str = "") -> zmq.Socket:
    rv = zmq.Context.instance().socket(kind)
    rv.setsockopt(zmq.LINGER, 0)
    rv.setsockopt(zmq.SNDHWM, QUEUED_MESSAGES)
    rv.setsockopt(zmq.RCVHWM, QUEUED_MESSAGES)
    if identity:
        rv.setsockopt(zmq.IDENTITY, identity.encode())
    return rv


class Endpoint:
    """The bound socket of a process, to which peers connect.

    Parameters
    ----------
    address
        ``ip:port`` to bind.  Port 0 selects a free port, which is in `address`
        after `open`.
    incarnation
        Sent with every message.
    revision
        Called for each message; returns the configuration revision in force.
    traffic
        Counts the messages, if given.

    Examples
    --------
    >>> endpoint = Endpoint(address="127.0.0.1:0", incarnation="s1", revision=int)
    >>> endpoint.open()
    >>> received = await endpoint.receive()
    >>> await endpoint.send(received.peer, Heartbeat())

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        *,
        address: str,
        incarnation: str,
        revision: Callable[[], int],
        traffic: Traffic | None = None,
    ) -> None:
        self.address = address
        self.incarnation = incarnation
        self._revision = revision
        self._traffic = traffic or Traffic()
        self._channel: _Channel | None = None

    def open(self) -> None:
        """Bind the socket."""
        socket = _new_socket(zmq.ROUTER)
        socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        socket.bind(f"tcp://{self.address}")
        bound = socket.getsockopt(zmq.LAST_ENDPOINT).rstrip(b"\0").decode()
        self.address = bound.removeprefix("tcp://")
        self._channel = _Channel(socket)

    async def receive(self) -> Received:
        """Return the next valid message; invalid ones are dropped."""
        while True:
            frames = await self._channel.receive()
            envelope = _decode_or_none(frames[-1])
            if envelope is not None:
                self._traffic.record_received(envelope.message, len(frames[-1]))
                return Received(peer=_decode_identity(frames[0]), envelope=envelope)

    async def send(self, peer: str, message: AnyMessage) -> None:
        """Send to a peer that has sent a message; `LinkLost` if it is disconnected."""
        envelope = Envelope(
            sender=self.incarnation, revision=self._revision(), message=message
        )
        data = encode(envelope)
        await self._channel.send([peer.encode(errors="surrogateescape"), data])
        self._traffic.record_sent(message, len(data))

    async def close(self) -> None:
        """Send queued messages for a short time, then close the socket."""
        await self._channel.close(CLOSE_LINGER_MILLISECONDS)


_serials = count(1)


class Link:
    """A connection to one peer, with heartbeats.

    Received messages and changes of its state go to `inbox` as `LinkEvent`, with
    `peer` set to `name`.

    Parameters
    ----------
    name
        Name of the peer in events.
    address
        ``ip:port`` of the peer's endpoint.
    incarnation, revision, traffic
        As for `Endpoint`.
    inbox
        Receives `Received`, `LinkUp` and `LinkDown`.

    Attributes
    ----------
    idle_seconds : float
        Time between heartbeats in addition to `heartbeat_seconds`, while the peer
        answers.  The failure of a peer is detected later by the same time; an
        unanswered heartbeat is repeated without it.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        incarnation: str,
        revision: Callable[[], int],
        inbox: curio.Queue,
        heartbeat_seconds: float = HEARTBEAT_SECONDS,
        silence_seconds: float = SILENCE_SECONDS,
        traffic: Traffic | None = None,
    ) -> None:
        self.name = name
        self.address = address
        self.incarnation = incarnation
        self._revision = revision
        self._inbox = inbox
        self._heartbeat_seconds = heartbeat_seconds
        self._silence_seconds = silence_seconds
        self._traffic = traffic or Traffic()
        self.idle_seconds = 0.0
        self._last_received_at = 0.0
        self._lifecycle = Lifecycle(chart=ChartName.LINK)
        self._channel: _Channel | None = None

    @property
    def up(self) -> bool:
        """Whether the peer is reachable."""
        return self._lifecycle.state == UP

    @property
    def last_received_at(self) -> float:
        """Monotonic seconds at which a message was last received."""
        return self._last_received_at

    async def run(self) -> None:
        """Connect, and reconnect after each failure, until cancelled."""
        try:
            while True:
                await self._run_connection()
                self._lifecycle.fire("reconnect")
        finally:
            if self._lifecycle.can("close"):
                self._lifecycle.fire("close")
            if self._channel is not None:
                await self._channel.close()

    async def send(self, message: AnyMessage) -> None:
        """Send a message; raise `LinkLost` if there is no connection."""
        if self._channel is None:
            raise LinkLost(f"{self.name} is not connected")
        envelope = Envelope(
            sender=self.incarnation, revision=self._revision(), message=message
        )
        data = encode(envelope)
        await self._channel.send([data])
        self._traffic.record_sent(message, len(data))

    async def try_send(self, message: AnyMessage) -> bool:
        """Send a message that may be lost; return whether it was queued."""
        try:
            await self.send(message)
        except LinkLost as exc:
            log_debug("peer_send_failed", peer=self.name, error=str(exc))
            return False
        return True

    async def _run_connection(self) -> None:
        try:
            self._channel = _Channel(self._connect())
        except zmq.ZMQError as exc:
            # A peer names any address, and a process may be out of descriptors.
            log_warning("link_not_opened", address=self.address, error=str(exc))
            await curio.sleep(self._silence_seconds)
            self._lifecycle.fire("silence")
            return
        self._last_received_at = monotonic()
        heartbeats = await curio.spawn(self._send_heartbeats, daemon=True)
        reader = await curio.spawn(self._read, self._channel, daemon=True)
        try:
            await heartbeats.join()
        except curio.TaskError:
            pass
        finally:
            await reader.cancel()
            await heartbeats.cancel()
            channel, self._channel = self._channel, None
            await channel.close()
        was_up = self.up
        self._lifecycle.fire("silence")
        if was_up:
            await self._inbox.put(LinkDown(peer=self.name))

    def _connect(self) -> zmq.Socket:
        rv = _new_socket(zmq.DEALER, f"{self.incarnation}/{next(_serials)}")
        try:
            rv.connect(f"tcp://{self.address}")
        except zmq.ZMQError:
            rv.close()
            raise
        return rv

    async def _send_heartbeats(self) -> None:
        """Send heartbeats until the peer has been silent for too long.

        Time in which this process did not run is no silence of the peer.
        """
        idle = paused = 0.0
        while monotonic() - self._last_received_at < (
            self._silence_seconds + idle + paused
        ):
            sent_at = monotonic()
            await self.send(Heartbeat())
            late = await _sleep(self._heartbeat_seconds)
            if self._last_received_at < sent_at:
                paused += late
                continue
            idle = self.idle_seconds
            paused = late + await _sleep(idle)

    async def _read(self, channel: _Channel) -> None:
        while True:
            frames = await channel.receive()
            envelope = _decode_or_none(frames[-1])
            if envelope is None:
                continue
            self._traffic.record_received(envelope.message, len(frames[-1]))
            self._last_received_at = monotonic()
            if not self.up:
                self._lifecycle.fire("heard")
                await self._inbox.put(LinkUp(peer=self.name))
            await self._inbox.put(Received(peer=self.name, envelope=envelope))


def _decode_identity(frame: bytes) -> str:
    """Return a peer's identity as text; zmq's own identities are any bytes."""
    return frame.decode(errors="surrogateescape")


async def _sleep(seconds: float) -> float:
    """Sleep, and return by how many seconds the wake-up was late."""
    due_at = monotonic() + seconds
    await curio.sleep(seconds)
    return max(0.0, monotonic() - due_at)


def _decode_or_none(data: bytes) -> Envelope | None:
    """Return the envelope, or None for invalid data, which must not end the reader."""
    try:
        return decode(data)
    except msgspec.DecodeError:
        return None
