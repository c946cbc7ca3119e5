"""Reader of the key=value lines that processes log.

A collector may put a prefix before each line, whose last field is the name of the
process; without a prefix the name is that of the file.  A line that is truncated or
written by another program yields None, so that the caller can count such lines.
"""

import gzip
import json
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from re import compile as compiled
from typing import TextIO

STANDARD_INPUT = "-"

_PAIR = compiled(r'([^\s="]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)(?=\s|$)')
_FIRST_KEYS = ("timestamp=", "level=")


@dataclass(frozen=True, kw_only=True)
class DecisionLine:
    """Event in a log line.

    Attributes
    ----------
    at : float
        Time in seconds since the epoch; 0.0 where the line has none.
    process : str
        Name of the process that logged the event.
    event : str
        Name of the event.
    fields : dict of str to str
        All other pairs of the line.
    """

    at: float
    process: str
    event: str
    fields: dict[str, str]

    def number(self, name: str, default: float = 0.0) -> float:
        """Return a field as a number, or the default where it is not a number."""
        try:
            return float(self.fields.get(name, default))
        except ValueError:
            return default


def parse_line(text: str, *, process: str) -> DecisionLine | None:
    """Return the event in a line, or None where the line holds none."""
    starts = [
        start for first_key in _FIRST_KEYS if (start := text.find(first_key)) >= 0
    ]
    if not starts:
        return None
    prefix, text = text[: min(starts)].split(), text[min(starts) :]
    fields = {key: _unquote(value) for key, value in _PAIR.findall(text)}
    event = fields.pop("event", None)
    if event is None:
        return None
    try:
        at = float(fields.pop("timestamp", "0"))
    except ValueError:
        return None
    name = prefix[-1] if prefix else process
    return DecisionLine(at=at, process=name, event=event, fields=fields)


def read_lines(file: str) -> Iterator[DecisionLine | None]:
    """Yield the event of each line of a file, None for a line that can't be parsed.

    Parameters
    ----------
    file : str
        Path of a text file, or of a gzip file if it ends in ``.gz``; ``-`` for
        standard input.

    Raises
    ------
    OSError
        The file can't be opened.
    """
    process = Path(file).name.partition(".")[0]
    with _open_file(file) as lines:
        for text in lines:
            if text.strip():
                yield parse_line(text, process=process)


@contextmanager
def _open_file(file: str) -> Iterator[TextIO]:
    if file == STANDARD_INPUT:
        yield sys.stdin
        return
    open_text = gzip.open if file.endswith(".gz") else open
    with open_text(file, "rt", encoding="utf-8", errors="replace") as lines:
        yield lines


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return json.loads(value)
    except ValueError:
        return value
