"""How many requests of all processes an upstream may have, beside their memory."""

PLAIN_QUEUE_FRACTION = 1.0
"""Requests that a plain upstream may have beyond its slots, as a fraction of its slots.

A plain upstream has no engine.  The bound is for all processes together; one process
alone never assigns more than the slots.  The upstream queues a few requests itself, and
most requests that count as running are on their way to it or back: a slow process holds
an assignment for 0.2 s around 22 ms of work, and loads are reported up to 0.5 s late.
Without the extra requests, an upstream that is working on 1.2 requests at a time may
count as full.
"""

MAX_CONNECTIONS_FRACTION = 0.8
"""Fraction of an upstream's connections that requests may use.

The rest is for health checks and for connections that close late.
"""


def max_plain_running(slots: int) -> int:
    """Return the requests that all processes together may have at the upstream."""
    return int(slots * (1 + PLAIN_QUEUE_FRACTION))


def usable_connections(max_connections: int) -> int:
    """Return how many connections of an upstream requests may use."""
    return int(max_connections * MAX_CONNECTIONS_FRACTION)
