"""Format results as tables for people or as JSON for programs."""

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, kw_only=True)
class Result:
    """The result of a command.

    Attributes
    ----------
    data : struct or list of structs
        Printed with ``--json``.
    text : str
        Printed without ``--json``.
    """

    data: object
    text: str

    def render(self, *, as_json: bool) -> str:
        """Return the text to print."""
        if as_json:
            return msgspec.json.encode(self.data).decode()
        return self.text


def format_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a text table with columns as wide as their longest cell."""
    cells = [[str(cell) for cell in row] for row in [headings, *rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(headings))]
    lines = []
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        lines.append("  ".join(padded).rstrip())
    return "\n".join(lines)


def format_fields(struct: msgspec.Struct) -> str:
    """Return the fields of a struct, one line with name and value for each."""
    values = msgspec.to_builtins(struct)
    width = max(len(key) for key in values)
    return "\n".join(
        f"{key.ljust(width)}  {_format_value(v)}" for key, v in values.items()
    )


def _format_value(value: object) -> str:
    if isinstance(value, list | tuple):
        return ", ".join(str(item) for item in value)
    return str(value)
