"""Cost of one more request at an upstream; the cheapest upstream gets the request.

The cost of an engine is counted in prompt tokens to read, that of a plain upstream in
fractions of its slots.  A slowness factor multiplies either, so that a slow upstream
gets less work.  Its cost still grows with its load only, so it gets some.
"""

RUNNING_REQUEST_COST_TOKENS = 250
"""Cost of one running request, in prompt tokens to read.

Each running request slows the decoding steps of the others by 0.1 ms, and an engine
reads 57 prompt tokens per millisecond.  The value holds for answers of 300 tokens and
is halved because answers end.
"""

OTHER_ZONE_COST_REQUESTS = 0.05
"""Cost of an upstream in another availability zone, in running requests.

It breaks ties in favour of the own zone, where traffic is not charged.
"""

SHARED_TOKEN_COST_FACTOR = 4.0
"""Cost of reading a token of a shared block, relative to one of the last block.

Besides the time to read it, a shared token displaces cached blocks that are in use, and
the other requests of the engine wait for it too.
"""


def load_tokens(*, unread_tokens: int, running: float) -> float:
    """Return the load of an engine as prompt tokens to read."""
    return unread_tokens + running * RUNNING_REQUEST_COST_TOKENS


def engine_cost(
    *,
    prompt_tokens: int,
    shared_tokens: int,
    held_tokens: int,
    unread_tokens: int,
    running: int,
    own_zone: bool,
    slowness: float | None = None,
) -> float:
    """Return the cost of a request at an engine, in prompt tokens to read.

    Parameters
    ----------
    prompt_tokens, shared_tokens, held_tokens : int
        Tokens of the prompt; of its shared blocks; of those that the engine has cached.
    unread_tokens, running : int
        Load of the engine without the request.
    slowness : float or None
        Duration of the engine's work as a multiple of the usual one; None if unknown.
    """
    missing = max(0, prompt_tokens - held_tokens)
    missing += max(0, shared_tokens - held_tokens) * (SHARED_TOKEN_COST_FACTOR - 1)
    load = load_tokens(
        unread_tokens=unread_tokens, running=running + _zone_cost(own_zone)
    )
    return (missing + load) * (1.0 if slowness is None else slowness)


def plain_cost(
    *, running: int, slots: int, own_zone: bool, slowness: float | None = None
) -> float:
    """Return the cost of a request at a plain upstream, in fractions of its slots.

    With a slowness the request itself counts too; otherwise an idle slow upstream would
    cost as little as an idle fast one.
    """
    used = running + _zone_cost(own_zone)
    if slowness is None:
        return used / max(1, slots)
    return (used + 1) / max(1, slots) * slowness


def _zone_cost(own_zone: bool) -> float:
    return 0.0 if own_zone else OTHER_ZONE_COST_REQUESTS
