"""How results are shown: as a table for people, as JSON for programs."""

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, kw_only=True)
class Result:
    """What a command found or did.

    Attributes
    ----------
    data : struct or list of structs
        What ``--json`` prints.
    text : str
        What is printed otherwise.
    """

    data: object
    text: str

    def render(self, *, as_json: bool) -> str:
        """Return what to print."""
        if as_json:
            return msgspec.json.encode(self.data).decode()
        return self.text


def format_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return rows under headings, in columns as wide as they need."""
    cells = [[str(cell) for cell in row] for row in [headings, *rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(headings))]
    lines = []
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        lines.append("  ".join(padded).rstrip())
    return "\n".join(lines)


def format_fields(one: msgspec.Struct) -> str:
    """Return a struct as one ``key: value`` a line."""
    values = msgspec.to_builtins(one)
    width = max(len(key) for key in values)
    return "\n".join(
        f"{key.ljust(width)}  {_format_value(v)}" for key, v in values.items()
    )


def _format_value(value: object) -> str:
    if isinstance(value, list | tuple):
        return ", ".join(str(one) for one in value)
    return str(value)
