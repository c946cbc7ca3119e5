"""Logs by eliot: one line of key=value pairs for each event, on standard output.

A log collector that stops reading must not block the daemon: lines that do not fit
into the pipe are dropped and counted, and the count is logged once the pipe accepts
data again.
"""

import logging
import os
import select
import traceback
from collections.abc import Callable, Mapping
from enum import IntEnum
from functools import lru_cache
from time import monotonic

import eliot
import msgspec

MAX_LINE_BYTES = 4096
"""Limit of a line, equal to PIPE_BUF: a pipe that polls as writable accepts that many
bytes without blocking."""

LATE_TIMEOUTS_SECONDS = 1.0
"""Shortest interval of the lines that count late time limits."""

STANDARD_OUTPUT = 1
_TRUNCATION_MARK = b"...\n"
_NEEDS_QUOTES = frozenset(' "=\\')
_FIRST_KEYS = ("timestamp", "level", "event")
_OWN_KEYS = frozenset((*_FIRST_KEYS, "message_type", "task_level", "task_uuid"))


class Level(IntEnum):
    """Severity of an event."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


class LineDestination:
    """Eliot destination that writes lines and never blocks.

    Parameters
    ----------
    fd
        File descriptor to write to.
    level
        Lowest level that is written.
    """

    def __init__(self, *, fd: int = STANDARD_OUTPUT, level: Level = Level.INFO) -> None:
        self.level = level
        self.dropped = 0
        self._fd = fd
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)

    def __call__(self, message: Mapping[str, object]) -> None:
        """Write one event, or count it as dropped."""
        if message.get("level", Level.INFO) < self.level:
            return
        if self.dropped and self._write(_dropped_line(self.dropped)):
            self.dropped = 0
        if not self._write(render(message)):
            self.dropped += 1

    def _write(self, line: bytes) -> bool:
        # A write to a full pipe would block the curio kernel and with it every request
        # of this process.  A pipe that polls as writable accepts PIPE_BUF bytes, so
        # this write cannot block.
        if not any(event & select.POLLOUT for _, event in self._poll.poll(0)):
            return False
        try:
            os.write(self._fd, line)
        except OSError:
            return False
        return True


def render(message: Mapping[str, object]) -> bytes:
    """Return an eliot message as one line, truncated to `MAX_LINE_BYTES`."""
    event = message.get("message_type") or message.get("action_type") or "event"
    level = Level(message.get("level", Level.INFO)).name.lower()
    timestamp = f"{message.get('timestamp', 0.0):.6f}"
    pairs = [("timestamp", timestamp), ("level", level), ("event", event)]
    pairs += [(k, v) for k, v in message.items() if k not in _OWN_KEYS]
    text = " ".join(
        f"{_format_key(key)}={_format_value(value)}" for key, value in pairs
    )
    line = text.encode("utf-8", "backslashreplace") + b"\n"
    if len(line) > MAX_LINE_BYTES:
        line = line[: MAX_LINE_BYTES - len(_TRUNCATION_MARK)] + _TRUNCATION_MARK
    return line


def _dropped_line(count: int) -> bytes:
    return b"level=warning event=log_lines_dropped count=%d\n" % count


@lru_cache(maxsize=1024)
def _format_key(key: str) -> str:
    # Keys are names in the code, so there are few.
    return "".join("_" if c in _NEEDS_QUOTES or not c.isprintable() else c for c in key)


def _format_value(value: object) -> str:
    match value:
        case None:
            return "-"
        case bool():
            return "true" if value else "false"
        case float():
            return f"{value:.6g}"
        case bytes():
            return _quote(value.decode("utf-8", "backslashreplace"))
        case str() | int():
            return _quote(str(value))
        case _:
            return _quote(_encode(value))


def _encode(value: object) -> str:
    try:
        return msgspec.json.encode(value).decode()
    except (TypeError, ValueError):
        return repr(value)


def _quote(text: str) -> str:
    plain = text.isprintable() and not _NEEDS_QUOTES.intersection(text)
    if text and plain:
        return text
    # A lone surrogate, as in an undecodable path, can't be encoded as JSON.
    encodable = text.encode("utf-8", "backslashreplace").decode()
    return msgspec.json.encode(encodable).decode()


def configure_logs(
    *, level: Level = Level.INFO, fd: int = STANDARD_OUTPUT
) -> LineDestination:
    """Write all events of this process to `fd`; call it once at the start."""
    destination = LineDestination(fd=fd, level=level)
    eliot.add_destinations(destination)
    route_curio_logs()
    return destination


def log_debug(event: str, **fields: object) -> None:
    """Log an event that is useful only for finding a fault."""
    eliot.log_message(event, level=Level.DEBUG, **fields)


def log_info(event: str, **fields: object) -> None:
    """Log an event that operators may want to see in normal operation."""
    eliot.log_message(event, level=Level.INFO, **fields)


def log_warning(event: str, **fields: object) -> None:
    """Log an event that operators should investigate if it persists."""
    eliot.log_message(event, level=Level.WARNING, **fields)


def log_error(event: str, **fields: object) -> None:
    """Log a failure of this process itself."""
    eliot.log_message(event, level=Level.ERROR, **fields)


class CountedLine:
    """A warning that may be due very often: counted, and logged at intervals.

    Parameters
    ----------
    event : str
        Name of the event; its line has the number of times since the last line as
        ``count``, and the fields of the last time.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        event: str,
        *,
        interval_seconds: float,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._event = event
        self._interval_seconds = interval_seconds
        self._clock = clock
        self._next_line_at = 0.0
        self._count = 0

    def record(self, **fields: object) -> None:
        """Count the event, and log it if the last line is old enough."""
        self._count += 1
        now = self._clock()
        if now >= self._next_line_at:
            log_warning(self._event, count=self._count, **fields)
            self._count = 0
            self._next_line_at = now + self._interval_seconds


class CurioLogHandler(logging.Handler):
    """Routes what curio logs through `logging` into the structured log.

    curio warns about each block that ends after its time limit, which on a process that
    lacks processor time is thousands of lines.
    """

    def __init__(self) -> None:
        super().__init__(logging.WARNING)
        self._late_timeouts = CountedLine(
            "late_timeouts", interval_seconds=LATE_TIMEOUTS_SECONDS
        )

    def emit(self, record: logging.LogRecord) -> None:
        """Count a late time limit; log everything else."""
        if record.name == "curio.time" and "longer than an enclosing" in record.msg:
            late_seconds = record.args[1] if len(record.args) > 1 else None
            self._late_timeouts.record(seconds=late_seconds)
            return
        text = record.getMessage()
        if record.exc_info:
            text += "\n" + "".join(traceback.format_exception(*record.exc_info))
        log = log_error if record.levelno >= logging.ERROR else log_warning
        log("curio_message", logger=record.name, message=text)


def route_curio_logs() -> None:
    """Route what curio logs into the structured log instead of standard error."""
    logger = logging.getLogger("curio")
    logger.handlers = [CurioLogHandler()]
    logger.propagate = False
