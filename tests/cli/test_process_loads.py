"""Tests of the table by process in ``ragwortkeel report``."""

import json

from ragwortkeel.cli.process_loads import (
    MAX_PROCESSES,
    MAX_SHOWN_PROCESSES,
    OTHERS,
    ProcessLoads,
)
from ragwortkeel.decision_lines import DecisionLine

HOT = """\
timestamp=1.0 event=dispatched request=a waited=0.9
timestamp=1.1 event=dispatched request=b waited=0.1
timestamp=1.2 event=served request=a first=0.3
timestamp=1.3 event=refused request=c reason=overloaded
timestamp=1.4 event=refused request=d reason=unknown_key
timestamp=1.5 event=caller_left request=e stage=arrived after=2
timestamp=1.6 event=loop_late seconds=1.25
timestamp=1.7 event=loop_late seconds=0.5
"""


def test_one_overloaded_process_shows_beside_idle_ones(terminal, tmp_path):
    """Guards against totals that hide one overloaded instance among idle ones."""
    (tmp_path / "hot.log").write_text(HOT)
    # A collector's prefix names the process.
    (tmp_path / "all.log").write_text(
        "10:00 idle-1 timestamp=1.0 event=dispatched request=f waited=0\n"
        "10:00 idle-2 timestamp=1.0 event=daemon_state now=running\n"
    )
    logs = f"{tmp_path / 'all.log'} {tmp_path / 'hot.log'}"
    _, out, _ = terminal(f"report {logs} --json")
    found = json.loads(out)["busiest_processes"]
    assert list(found) == ["hot", "idle-1"]
    assert found["hot"] == {
        "dispatched": 2,
        "served": 1,
        "refused": 1,
        "callers_left": 1,
        "late_loops": 2,
        "late_seconds": 1.75,
        "waited_long": 1,
    }
    _, out, _ = terminal(f"report {logs}")
    (row,) = [line for line in out.splitlines() if line.startswith("hot ")]
    assert row.split() == ["hot", "2", "1", "1", "1", "2", "1.75", "1"]


def test_memory_and_table_are_bounded_with_many_processes():
    """Guards against a prefix that differs on each line."""
    loads = ProcessLoads()
    for number in range(MAX_PROCESSES + 5):
        line = DecisionLine(at=1.0, process=f"p{number}", event="refused", fields={})
        loads.add(line)
    busiest = loads.busiest()
    assert len(busiest) == MAX_SHOWN_PROCESSES
    assert busiest[OTHERS].refused == 5
