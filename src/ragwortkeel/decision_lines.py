"""Reads the key=value lines that processes log, of any number of processes.

Lines may stand behind a prefix whose last word names the process, as collectors put it;
else the process is the file's name.  A line that is cut off or of another program is no
line; whoever reads counts these.
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
_MARKS = ("timestamp=", "level=")


@dataclass(frozen=True, kw_only=True)
class DecisionLine:
    """One event of one process.

    Attributes
    ----------
    at : float
        Seconds since the epoch; 0.0 where the line has no time.
    fields : dict of str to str
        All other pairs.
    """

    at: float
    process: str
    event: str
    fields: dict[str, str]

    def number(self, name: str, default: float = 0.0) -> float:
        """Return a field as a number; the default where it is none."""
        try:
            return float(self.fields.get(name, default))
        except ValueError:
            return default


def parse_line(text: str, *, process: str) -> DecisionLine | None:
    """Return the event that a line tells of, or None where it tells of none."""
    starts = [start for mark in _MARKS if (start := text.find(mark)) >= 0]
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
    """Return the events of a file, None for each line that can't be read.

    Parameters
    ----------
    file : str
        A path, of a gzip file where it ends in ``.gz``; ``-`` for standard input.

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
    opens = gzip.open if file.endswith(".gz") else open
    with opens(file, "rt", encoding="utf-8", errors="replace") as lines:
        yield lines


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return json.loads(value)
    except ValueError:
        return value
