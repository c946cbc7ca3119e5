"""The tests that KNOWN-RED.txt lists: real faults that are not mended yet.

A line is ``TEST | command and seed | what was seen | why | issue``.  Lines whose first
field is a test of this tree mark it as expected to fail, strictly: once it passes,
the run fails until its line is taken off.  All other lines are for readers only.
"""

from collections.abc import Iterable
from pathlib import Path

PAGE = Path(__file__).parents[1] / "KNOWN-RED.txt"


def listed_tests(lines: Iterable[str]) -> dict[str, str]:
    """Return the lines by the id of the test that they name."""
    line_by_test = {}
    for line in lines:
        name = line.partition("|")[0].strip()
        if name.startswith("tests/") and "::" in name:
            line_by_test[name] = line.strip()
    return line_by_test


def known_red() -> dict[str, str]:
    """Return the page's lines by test; none where there is no page."""
    if not PAGE.exists():
        return {}
    return listed_tests(PAGE.read_text().splitlines())
