"""Builders of ingress types, with defaults for what most tests don't depend on."""

from ragwortkeel.ingress.configuration import (
    Customer,
    Engine,
    IngressConfiguration,
    Repeats,
    Route,
    Service,
    Split,
    Upstream,
    UpstreamState,
)
from ragwortkeel.ingress.placement import Job
from ragwortkeel.ingress.prefixes import PromptBlock

ENGINE = Engine(slots=64, memory_tokens=100_000, event_tokens=6)


def route(name="lookup", prefix="/lookup/", repeats=Repeats.IDEMPOTENT, **fields):
    return Route(
        **{
            "name": name,
            "host": "app.example",
            "prefix": prefix,
            "repeats": repeats,
            "splits": (Split(service="app"),),
            "timeout_seconds": 5.0,
            "objective_seconds": 0.2,
        }
        | fields
    )


def configuration(revision=1, **fields):
    return IngressConfiguration(
        **{
            "revision": revision,
            "routes": (route(),),
            "services": (Service(name="app", max_connections=96),),
            "customers": (Customer(name="surco", keys=("key-1",)),),
        }
        | fields
    )


def upstream(name="u1", service="app", zone="a", slots=6, **fields):
    return Upstream(
        **{
            "name": name,
            "service": service,
            "host": "127.0.0.1",
            "port": 9,
            "zone": zone,
            "slots": slots,
            "state": UpstreamState.READY,
        }
        | fields
    )


def engine_service(name="pool"):
    return Service(name=name, max_connections=360, engine=ENGINE)


def job(request_id="r1", service="app", blocks=(), prompt=0, answer=0, **fields):
    return Job(
        **{
            "request_id": request_id,
            "service": service,
            "priority": 1,
            "customer": "surco",
            "prompt_blocks": tuple(
                PromptBlock(block_id=name, tokens=size) for name, size in blocks
            ),
            "prompt_tokens": prompt,
            "memory_tokens": prompt + answer,
        }
        | fields
    )
