"""``python -m soak``: plays seeds, prints what they broke, exits 1 if any did."""

import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

import curio
import fire
import msgspec
from curio.task import ContextTask
from deployments.fleet import Fleet

from soak.checks import violations
from soak.run import Run

SHOWN_VIOLATIONS = 10
HISTORY_FILE = "history.json"


def soak(
    *,
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 40.0,
    processes: int = 3,
    share: float = 1.0,
    cuts: bool = True,
    pauses: bool = True,
    stops: bool = True,
    unframed: float = 0.0,
    directory: str = "",
) -> None:
    """Play seeds one after the other.

    Parameters
    ----------
    seed, seeds
        The first seed, and how many.
    seconds
        Length of one run, without its start and end.
    processes
        Ingress processes of a run.
    share
        Share of the faults that are played, other than those of the switches below.
    cuts
        Whether all processes are cut off at times and upstreams leave often.
    pauses
        Whether sound upstreams are silent for a moment at times, and work is planned
        beside it: the limit of idle connections changes, processes stop and reload.
    stops
        Whether processes stop while callers do what makes that difficult, relays stop,
        and all processes are killed at once at times.
    unframed
        Share of streams that end with their connection, without a length or chunks.
    directory
        Receives a folder with the logs of each seed; a temporary one if empty.
    """
    root = Path(directory or tempfile.mkdtemp(prefix="soak-"))
    broken = []
    for number in range(seed, seed + seeds):
        logs = root / f"seed-{number}"
        logs.mkdir(parents=True, exist_ok=True)
        print(f"seed {number}, logs in {logs}", flush=True)
        found = run_seed(
            seed=number,
            seconds=seconds,
            processes=processes,
            directory=logs,
            share=share,
            cuts=cuts,
            pauses=pauses,
            stops=stops,
            unframed=unframed,
        )
        if found:
            broken.append(number)
    print(f"{seeds} seeds, broken: {broken or 'none'}")
    sys.exit(1 if broken else 0)


def run_seed(
    *,
    seed: int,
    seconds: float,
    processes: int,
    directory: Path,
    share: float = 1.0,
    cuts: bool = True,
    pauses: bool = True,
    stops: bool = True,
    unframed: float = 0.0,
) -> list:
    """Play one seed, print its outcome and return the violations."""
    fleet = Fleet(directory)
    try:
        run = Run(
            seed=seed,
            seconds=seconds,
            processes=processes,
            fleet=fleet,
            share=share,
            cuts=cuts,
            pauses=pauses,
            stops=stops,
            unframed=unframed,
        )
        with curio.Kernel(taskcls=ContextTask) as kernel:
            history = kernel.run(run.run)
    finally:
        fleet.close()
    (directory / HISTORY_FILE).write_bytes(msgspec.json.encode(history))
    found = violations(history)
    statuses = Counter(
        answer.reason or answer.status for answer in history.answers
    ).most_common()
    outcomes = ", ".join(f"{count} {status}" for status, count in statuses)
    print(f"  {len(history.changes)} changes, {len(history.spans)} disturbances")
    print(f"  answers: {outcomes}")
    print(f"  spent: {history.spent_by_customer}")
    for violation in found[:SHOWN_VIOLATIONS]:
        print(f"  BROKEN {violation.promise} at {violation.at:.3f}: {violation.detail}")
    if len(found) > SHOWN_VIOLATIONS:
        print(f"  and {len(found) - SHOWN_VIOLATIONS} more")
    sys.stdout.flush()
    return found


def main() -> None:
    """Run the command; INT and TERM end the processes that it started."""
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)
    fire.Fire(soak)


if __name__ == "__main__":
    main()
