"""Measures what an ingress process pays for a configuration of many routes.

The sizes are those of the object and of a copy between processes; the times are
processor time of one change, and of one request without a matching route.
"""

import random
import string
import time
from collections.abc import Callable

import msgspec

from ragwortkeel.ingress.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    IngressConfiguration,
    Repeats,
    Route,
    Split,
    decode_value,
)
from ragwortkeel.ingress.routing import RoutingTable
from ragwortkeel.messages import ConfigurationPush, Envelope, VersionedObject, encode

ROUTE_COUNTS = (250, 1_650, 4_450, 9_000)
SMALL_LINK_BYTES_PER_SECOND = 625_000
ROUNDS = 20
LOOKUPS = 2_000
HOST = "app.example"


def new_configuration(*, route_count: int) -> IngressConfiguration:
    """Return a configuration whose routes are all on one host."""
    rng = random.Random(route_count)
    routes = tuple(
        Route(
            name=f"r-{number}",
            host=HOST,
            prefix=f"/{''.join(rng.choices(string.ascii_lowercase, k=8))}/",
            repeats=rng.choice(list(Repeats)),
            splits=(Split(service=rng.choice(("pool-a", "app-b"))),),
            timeout_seconds=4.0,
            objective_seconds=0.5,
            max_attempts=2,
        )
        for number in range(route_count)
    )
    return IngressConfiguration(revision=2, routes=routes)


def milliseconds(function: Callable[[], object], rounds: int) -> float:
    """Return the processor time of one call."""
    started_at = time.process_time()
    for _ in range(rounds):
        function()
    return (time.process_time() - started_at) / rounds * 1000


def measure(*, route_count: int) -> str:
    """Return one line of the table."""
    configuration = new_configuration(route_count=route_count)
    value = msgspec.json.encode(configuration)
    copy = Envelope(
        sender="ingress-1",
        revision=2,
        message=ConfigurationPush(
            objects=(
                VersionedObject(
                    kind=CONFIGURATION_KIND,
                    name=CONFIGURATION_NAME,
                    version=2,
                    value=value,
                ),
            )
        ),
    )
    table = RoutingTable(configuration=configuration)
    copy_bytes = len(encode(copy))
    times = (
        milliseconds(lambda: decode_value(value, IngressConfiguration), ROUNDS),
        milliseconds(lambda: RoutingTable(configuration=configuration), ROUNDS),
        milliseconds(lambda: encode(copy), ROUNDS),
        milliseconds(lambda: table.route(host=HOST, path="/none/", key=""), LOOKUPS),
    )
    seconds = [size / SMALL_LINK_BYTES_PER_SECOND for size in (len(value), copy_bytes)]
    figures = [*seconds, *times]
    return f"{route_count:6} {len(value):9} {copy_bytes:8} " + " ".join(
        f"{figure:9.4f}" for figure in figures
    )


def main() -> None:
    """Print the table."""
    print("routes    object     copy   object_s    copy_s decode_ms  table_ms", end=" ")
    print("encode_ms lookup_ms")
    for route_count in ROUTE_COUNTS:
        print(measure(route_count=route_count))


if __name__ == "__main__":
    main()
