"""Delay after which a refused caller should retry.

Load pattern: an outage or a burst refuses many callers within a second.  With one
constant delay they all return together and, if the cause lasts some seconds, too
early; most callers retry only once, and a second refusal is their last.  So the delay
is the expected time until they can be served, plus a random spread.
"""

from random import Random

MIN_DELAY_SECONDS = 0.5
"""Lower bound of the delay; answers that hold tokens or assignments take about that
long."""

MAX_DELAY_SECONDS = 6.0
"""Upper bound of the delay.  Callers shorten longer ones; most of their deadlines are
at most 15 s, of which they wait a third."""

SPREAD_FRACTION = 0.3
"""Random extra delay as a fraction of the delay: a hundred callers that were refused in
one second return over a third of the delay or more."""


def retry_delay(seconds: float, random: Random) -> float:
    """Return the delay to announce if a caller can be served in about `seconds`."""
    wait = max(MIN_DELAY_SECONDS, seconds)
    return round(
        min(MAX_DELAY_SECONDS, wait * (1.0 + SPREAD_FRACTION * random.random())), 2
    )
