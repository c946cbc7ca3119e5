"""Measures costs by size for docs/CAPACITY.md: ``make bench-slopes``.

Each cost is measured at three or more sizes. The last line of each is a linear fit:
``rate`` is the cost per unit of ``per``, ``base`` the cost at size 0. Processor time
is the CPU time of the named process, not elapsed time.
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
    """Run all measurements in sequence."""
    report(bench="slopes", python=platform.python_version(), processors=os.cpu_count())
    measure_components()
    measure_store()
    measure_budget()
    measure_links()
    measure_requests()


if __name__ == "__main__":
    main()
