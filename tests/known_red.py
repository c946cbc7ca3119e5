"""Reader of KNOWN-RED.txt, the list of tests that fail for known faults.

A line is ``TEST | command and seed | what was seen | why | issue``.  Lines whose first
field is a test of this tree mark it as expected to fail, strictly: once it passes,
the run fails until its line is removed.  All other lines are for readers only.
"""

from collections.abc import Iterable
from pathlib import Path

PAGE = Path(__file__).parents[1] / "KNOWN-RED.txt"


def listed_tests(lines: Iterable[str]) -> dict[str, str]:
    """Return the lines that name a test, by the id of that test."""
    line_by_test = {}
    for line in lines:
        name = line.partition("|")[0].strip()
        if name.startswith("tests/") and "::" in name:
            line_by_test[name] = line.strip()
    return line_by_test


def known_red() -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt by test; none where the file is missing."""
    if not PAGE.exists():
        return {}
    return listed_tests(PAGE.read_text().splitlines())
