"""What all checks share: the violation, bounds in time, and engines that were ready."""

from dataclasses import dataclass

from soak.history import History

CALM_SECONDS = 4.0
IN_FORCE_SECONDS = 3.0
"""Bound on a confirmed change of the configuration."""
MIN_TAKE_UPS = 12
"""Streams taken up in a run from which on their share is checked."""


@dataclass(frozen=True, kw_only=True)
class Violation:
    """A promise that a run broke."""

    promise: str
    at: float
    detail: str


def ready_engines(history: History, version: str, since: float, until: float) -> int:
    """Return how many engines of a version were ready all the time."""
    return len(
        {
            each.upstream
            for each in history.serving
            if each.version == version
            and each.begins_at <= since
            and each.ends_at >= until
        }
    )
