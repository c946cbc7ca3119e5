"""Measured slopes for docs/CAPACITY.md: ``make bench-slopes``.

Each cost is taken at three sizes or more; the last line of each is the straight
line through them, ``rate`` for each unit of ``per`` and ``base`` for none.
Processor time is that of the process named, not elapsed time.
"""

import os
import platform

from benchmarks._slopes_budget import measure_budget
from benchmarks._slopes_components import measure_components
from benchmarks._slopes_fit import report
from benchmarks._slopes_links import measure_links
from benchmarks._slopes_requests import measure_requests
from benchmarks._slopes_store import measure_store


def main() -> None:
    """Run every measurement, one after the other."""
    report(bench="slopes", python=platform.python_version(), processors=os.cpu_count())
    measure_components()
    measure_store()
    measure_budget()
    measure_links()
    measure_requests()


if __name__ == "__main__":
    main()
