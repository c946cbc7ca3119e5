"""When a refused caller should come back.

Pattern of load: an outage or a burst refuses many callers within a second.  With one
constant for all they return together and, where what they lack is seconds away, too
early; most callers return only once, and a second refusal is the last.  So the time
is what is known of when they can be served, spread at random behind it.
"""

from random import Random

MIN_DELAY_SECONDS = 0.5
"""Sooner, little has changed: answers that hold tokens or places take that long."""

MAX_DELAY_SECONDS = 6.0
"""Later, callers cut the wait short by themselves; most of their deadlines are 15 s
and less, of which they wait a third."""

SPREAD_FRACTION = 0.3
"""Of the wait, added at random: a hundred callers that were refused in one second
come back over a third of the wait or more."""


def retry_delay(seconds: float, random: Random) -> float:
    """Return the seconds to tell a caller that can be served in about `seconds`."""
    wait = max(MIN_DELAY_SECONDS, seconds)
    return round(
        min(MAX_DELAY_SECONDS, wait * (1.0 + SPREAD_FRACTION * random.random())), 2
    )
