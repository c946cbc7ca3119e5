"""Processor time and memory of processes, linear fits, and lines of results."""

import resource
from dataclasses import dataclass

CLOCK_TICKS = 100
PAGE_BYTES = resource.getpagesize()


@dataclass(frozen=True, kw_only=True)
class Usage:
    """CPU seconds and resident bytes of a process."""

    cpu_seconds: float
    memory_bytes: int

    def __sub__(self, other: "Usage") -> "Usage":
        """Return the difference to an earlier usage."""
        return Usage(
            cpu_seconds=self.cpu_seconds - other.cpu_seconds,
            memory_bytes=self.memory_bytes - other.memory_bytes,
        )


def usage_of(pid: int | str = "self") -> Usage:
    """Return the usage of a process; the CPU time has a resolution of 10 ms."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    ticks = int(fields[11]) + int(fields[12])
    return Usage(cpu_seconds=ticks / CLOCK_TICKS, memory_bytes=pages * PAGE_BYTES)


def own_cpu_seconds() -> float:
    """Return the CPU time of this process, with a resolution of 1 microsecond."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line through points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    rise = sum((x - mean_x) * (y - mean_y) for x, y in points)
    rv = rise / spread
    return rv, mean_y - rv * mean_x


def report(**fields: object) -> None:
    """Print a line of ``key=value`` pairs."""
    print(
        " ".join(f"{key}={_text(value)}" for key, value in fields.items()), flush=True
    )


def _text(value: object) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def report_slope(
    what: str, unit: str, per: str, points: list[tuple[float, float]]
) -> None:
    """Print each point, then the slope and intercept of their linear fit."""
    for size, cost in points:
        report(what=what, unit=unit, size=int(size), cost=float(cost))
    rate, base = slope(points)
    report(slope=what, unit=unit, per=per, rate=rate, base=base)
