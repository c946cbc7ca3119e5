"""Counts by process from log lines, which show that one is overloaded, others idle."""

from collections import Counter

import msgspec

from ragwortkeel.decision_lines import DecisionLine

LONG_WAIT_SECONDS = 0.2
"""Wait for dispatch above which a request is counted: half of the shortest objective of
a first event."""

MAX_PROCESSES = 10_000
"""Maximum number of processes that are counted separately.  All further ones are
counted under `OTHERS`."""

MAX_SHOWN_PROCESSES = 10

OTHERS = "(others)"

CALLER_FAULT_REASONS = frozenset({"unknown_key", "no_route", "bad_request"})
"""Refusal reasons caused by the caller."""

_HEADINGS = (
    "process",
    "dispatched",
    "served",
    "refused",
    "callers left",
    "loops late",
    "seconds late",
    f"waited over {LONG_WAIT_SECONDS} s",
)


class ProcessLoad(msgspec.Struct, kw_only=True):
    """What one process did and how late it was.

    Attributes
    ----------
    refused : int
        Requests that were refused, except through a fault of their callers, or whose
        answers were cut off.
    late_loops, late_seconds : int, float
        Timers that fired late, and by how many seconds in total.
    waited_long : int
        Requests that waited over `LONG_WAIT_SECONDS` for their dispatch.
    """

    dispatched: int = 0
    served: int = 0
    refused: int = 0
    callers_left: int = 0
    late_loops: int = 0
    late_seconds: float = 0.0
    waited_long: int = 0


class ProcessLoads:
    """Aggregates log lines by process, in bounded memory.

    Examples
    --------
    >>> loads = ProcessLoads()
    >>> loads.add(DecisionLine(at=1.0, process="i1", event="served", fields={}))
    >>> loads.busiest()["i1"].served
    1
    """

    def __init__(self) -> None:
        self._load_by_process: dict[str, ProcessLoad] = {}

    def add(self, line: DecisionLine) -> None:
        """Add one line; lines of other events are ignored."""
        match line.event:
            case "dispatched":
                load = self._load(line)
                load.dispatched += 1
                load.waited_long += line.number("waited") > LONG_WAIT_SECONDS
            case "served":
                self._load(line).served += 1
            case "refused" if line.fields.get("reason") not in CALLER_FAULT_REASONS:
                self._load(line).refused += 1
            case "answer_cut_off":
                self._load(line).refused += 1
            case "caller_left":
                self._load(line).callers_left += 1
            case "loop_late":
                load = self._load(line)
                load.late_loops += 1
                load.late_seconds += line.number("seconds")

    def busiest(self) -> dict[str, ProcessLoad]:
        """Return the processes with the most requests, the busiest first."""
        requests = Counter(
            {
                process: load.dispatched + load.refused + load.callers_left
                for process, load in sorted(self._load_by_process.items())
            }
        )
        return {
            process: msgspec.structs.replace(
                self._load_by_process[process],
                late_seconds=round(self._load_by_process[process].late_seconds, 3),
            )
            for process, _ in requests.most_common(MAX_SHOWN_PROCESSES)
        }

    def _load(self, line: DecisionLine) -> ProcessLoad:
        process = line.process
        known = process in self._load_by_process
        if not known and len(self._load_by_process) >= MAX_PROCESSES:
            process = OTHERS
        return self._load_by_process.setdefault(process, ProcessLoad())


def table_rows(
    load_by_process: dict[str, ProcessLoad],
) -> tuple[tuple[str, ...], list[tuple[object, ...]]]:
    """Return the headings and the rows of the table by process."""
    rows = [
        (process, *msgspec.structs.astuple(load))
        for process, load in load_by_process.items()
    ]
    return _HEADINGS, rows
