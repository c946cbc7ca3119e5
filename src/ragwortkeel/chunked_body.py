"""Parses the body of a chunked HTTP/1.1 message in whole blocks.

h11 makes an event of each chunk, which costs more than all other work on a small event
of a stream.  The rules are the same as those of h11.

Failures it guards against: a body that is cut off, a chunk whose size is wrong, and
trailers that are malformed must never look like a complete body; and a body in chunks
of a few bytes must not occupy the event loop.
"""

import re

from ragwortkeel.exceptions import ExchangeBroken

MAX_LINE_BYTES = 16 * 1024
"""Limit of a chunk's size line and of all trailers, as in h11."""

MAX_RUN_CHUNK_BYTES = 16
"""Largest chunks of which several at once are parsed, as their lines cost most."""

FIRST_RUN_CHUNKS = 8

_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:;.*)?[ \t]*")
_TRAILER = re.compile(rb"[-!#$%&'*+.^_`|~0-9A-Za-z]+:[^\x00\r\n]*")
_LINE_END = b"\r\n"


class ChunkedBody:
    """Parser of one body.

    Attributes
    ----------
    complete : bool
        Whether the end marker and the trailers were received.
    rest : bytes
        Bytes after the end of the body.
    error : ExchangeBroken or None
        How the body violates the chunked coding, after the data that `feed` returned.
    """

    def __init__(self) -> None:
        self.complete = False
        self.rest = b""
        self.error: ExchangeBroken | None = None
        self._buffer = b""
        self._missing_bytes = 0
        self._within_chunk = False
        self._trailer_bytes: int | None = None

    def feed(self, block: bytes) -> bytes:
        """Append a received block; return the data of the body in it."""
        if self.error is not None:
            return b""
        data = self._buffer + block if self._buffer else block
        pieces: list[bytes] = []
        position = len(data)
        try:
            position = self._parse(data, pieces)
        except ExchangeBroken as exc:
            self.error = exc
        self._buffer = data[position:]
        if self.complete:
            self.rest, self._buffer = self._buffer, b""
        return pieces[0] if len(pieces) == 1 else b"".join(pieces)

    def _parse(self, data: bytes, pieces: list[bytes]) -> int:
        """Append the pieces of the body in `data`; return how far it was parsed."""
        position = 0
        while not self.complete:
            if self._missing_bytes:
                piece = data[position : position + self._missing_bytes]
                pieces.append(piece)
                position += len(piece)
                self._missing_bytes -= len(piece)
                if self._missing_bytes:
                    break
            end = data.find(_LINE_END, position)
            if self._within_chunk:
                if end != position and len(data) >= position + len(_LINE_END):
                    raise ExchangeBroken("a chunk is longer than its size")
                if end < 0:
                    break
                self._within_chunk = False
                position += len(_LINE_END)
                continue
            if end < 0:
                self._check_line(len(data) - position)
                break
            line_at, position = position, end + len(_LINE_END)
            self._receive_line(data[line_at:end])
            if 0 < self._missing_bytes <= MAX_RUN_CHUNK_BYTES:
                position = self._parse_run(data, line_at, position, pieces)
        return position

    def _parse_run(
        self, data: bytes, line_at: int, position: int, pieces: list[bytes]
    ) -> int:
        """Append the data of equal chunks, of which the first begins at `line_at`.

        The size line of that one ends at `position`.  Return how far was parsed; what
        is not part of a run is left for `_parse`.
        """
        size = self._missing_bytes
        line = data[line_at:position]
        period = len(line) + size + len(_LINE_END)
        count = FIRST_RUN_CHUNKS
        begin = line_at
        while (end := begin + count * period) <= len(data):
            # Most chunks that are not part of a run differ from the next one.
            if not data.startswith(line, begin + period):
                break
            # Column i holds byte i of each chunk.
            columns = [data[begin + i : end : period] for i in range(period)]
            content = columns[len(line) : len(line) + size]
            framing = columns[: len(line)] + columns[len(line) + size :]
            expected = [bytes([value]) * count for value in line + _LINE_END]
            if framing != expected:
                break
            run = bytearray(count * size)
            for offset, column in enumerate(content):
                run[offset::size] = column
            pieces.append(bytes(run))
            begin = end
            count *= 2
        if begin == line_at:
            return position
        self._missing_bytes = 0
        self._within_chunk = False
        return begin

    def _receive_line(self, line: bytes) -> None:
        if self._trailer_bytes is not None:
            self._receive_trailer(line)
            return
        self._check_line(len(line))
        match = _SIZE_LINE.fullmatch(line)
        if match is None:
            raise ExchangeBroken("a chunk has no valid size")
        self._missing_bytes = int(match[1], 16)
        if self._missing_bytes:
            self._within_chunk = True
        else:
            self._trailer_bytes = 0

    def _receive_trailer(self, line: bytes) -> None:
        if not line:
            self.complete = True
            return
        self._trailer_bytes += len(line)
        self._check_line(self._trailer_bytes)
        if _TRAILER.fullmatch(line) is None:
            raise ExchangeBroken("a trailer is malformed")

    def _check_line(self, size: int) -> None:
        if size > MAX_LINE_BYTES:
            raise ExchangeBroken("a line of a chunked body is too long")
