"""Reading of h11 events from a curio socket, for client and server."""

import re
import socket as _socket
from collections.abc import Callable
from fcntl import ioctl
from os import strerror
from struct import Struct
from termios import TIOCOUTQ

import h11

from ragwortkeel.exceptions import BadRequest, ExchangeBroken
from ragwortkeel.usage_counters import ByteCounter

READ_CHUNK_BYTES = 64 * 1024

MAX_DIGITS = 18
"""Most digits of a whole number; 64 bits hold it."""

MAX_STATUS = 599

_VERSIONS = (b"1.0", b"1.1")
_HEAD_END = re.compile(rb"\n\r?\n")
_CONTINUATION = re.compile(rb"\n[ \t]")
_INT = Struct("i")
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{0,12})?|\.[0-9]{1,12}")


async def next_event(
    sock,
    conn: h11.Connection,
    counter: ByteCounter | None = None,
    *,
    check_end: Callable[[], None] | None = None,
):
    """Return the next h11 event, reading from the socket as needed.

    Parameters
    ----------
    counter : ByteCounter or None
        Counts the bytes that are read.
    check_end : callable or None
        Called when the peer has ended its side, before that counts as the end of a
        message; raises `ExchangeBroken` if the end was not orderly.

    Raises
    ------
    BadRequest
        On the server, if the peer violates the HTTP protocol.
    ExchangeBroken
        On the client for the same reason, and if reading from the connection fails.
    """
    while (event := parsed_event(conn)) is h11.NEED_DATA:
        if conn.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await sock.sendall(conn.send(go_on))
        try:
            data = await sock.recv(READ_CHUNK_BYTES)
        except OSError as exc:
            raise ExchangeBroken(str(exc)) from exc
        if counter is not None:
            counter.record_received(len(data))
        if not data and check_end is not None:
            check_end()
        conn.receive_data(data)
    return event


def check_orderly_end(sock) -> None:
    """Check that a server which has ended its side had received the request.

    One that closes while bytes are on their way to it sends an end before the reset.

    Raises
    ------
    ExchangeBroken
        The connection was reset after the end, or is about to be.
    """
    raw = sock._socket
    error = raw.getsockopt(_socket.SOL_SOCKET, _socket.SO_ERROR)
    if error:
        raise ExchangeBroken(f"reset after the end: {strerror(error)}")
    if unacknowledged_bytes(raw):
        raise ExchangeBroken("the server ended before it received the request")


def unacknowledged_bytes(raw: _socket.socket) -> int:
    """Return the bytes sent that the peer's system has not received, 0 if not known."""
    try:
        found = ioctl(raw.fileno(), TIOCOUTQ, bytes(_INT.size))
    except OSError:
        # Not every transport tells it.
        return 0
    return _INT.unpack(found)[0]


def parsed_event(conn: h11.Connection):
    """Return the next event of what was received, `h11.NEED_DATA` if there is none.

    Raises
    ------
    BadRequest, ExchangeBroken
        The peer violates the HTTP protocol, as in `next_event`.
    """
    if conn.our_role is h11.CLIENT and conn.their_state is h11.SEND_RESPONSE:
        _check_head_lines(conn.trailing_data[0])
    try:
        event = conn.next_event()
    except h11.RemoteProtocolError as exc:
        raise _protocol_error(conn, exc) from exc
    if isinstance(event, h11.Response):
        _check_status_line(event)
    return event


def _check_head_lines(data: bytes) -> None:
    """Raise `ExchangeBroken` if a line of a complete head begins with a blank.

    h11 joins it to the value before, which hides a field whose name is damaged.
    """
    end = _HEAD_END.search(data)
    if end is not None and _CONTINUATION.search(data, 0, end.end()):
        raise ExchangeBroken("a line of the response's head begins with a blank")


def _check_status_line(response: h11.Response) -> None:
    if response.status_code > MAX_STATUS:
        raise ExchangeBroken(f"no status: {response.status_code}")
    if response.http_version not in _VERSIONS:
        raise ExchangeBroken(f"no HTTP/1 response: {response.http_version!r}")


def _protocol_error(conn: h11.Connection, exc: h11.RemoteProtocolError) -> Exception:
    if conn.our_role is h11.CLIENT:
        return ExchangeBroken(str(exc))
    status = exc.error_status_hint or 400
    return BadRequest(status=status, reason="bad_http", detail=str(exc))


def join_headers(headers) -> dict[str, str]:
    """Return headers by name; values of a repeated header are joined by commas."""
    by_name: dict[str, str] = {}
    for raw_name, raw_value in headers:
        name, value = raw_name.decode("latin-1"), raw_value.decode("latin-1")
        by_name[name] = f"{by_name[name]}, {value}" if name in by_name else value
    return by_name


def whole_number(text: str | bytes) -> int | None:
    """Return the whole number in a header or an id; None for anything else.

    `int` fails beyond some thousand digits.
    """
    return int(text) if len(text) <= MAX_DIGITS and text.isdigit() else None


def decimal_value(text: str) -> float | None:
    """Return the decimal number in a header; None for anything else."""
    return float(text) if _DECIMAL.fullmatch(text) else None
