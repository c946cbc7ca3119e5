"""Builders shared by the tests of the load-management decisions."""

from random import Random

from ragwortkeel.configuration import ServiceClass
from ragwortkeel.policy.facts import RequestFacts, UpstreamFacts
from ragwortkeel.policy.scheduler import Scheduler
from ragwortkeel.policy.settings import SchedulerSettings


def request(request_id: str = "r", **changes: object) -> RequestFacts:
    """Return an interactive request with a wide deadline."""
    facts: dict[str, object] = {
        "request_id": request_id,
        "profile": "chat",
        "customer": "coop",
        "service_class": ServiceClass.INTERACTIVE,
        "back_ends": ("model",),
        "deadline": 20.0,
        "first_token_deadline": 1.5,
        "cost": 100,
        "fingerprint": f"body-{request_id}",
    }
    return RequestFacts(**(facts | changes))


def batch(request_id: str, **changes: object) -> RequestFacts:
    """Return a batch request with a deadline minutes away."""
    defaults = {
        "profile": "review",
        "service_class": ServiceClass.BATCH,
        "deadline": 300.0,
        "first_token_deadline": 300.0,
    }
    return request(request_id, **(defaults | changes))


def filing(request_id: str, **changes: object) -> RequestFacts:
    """Return a request that must not repeat."""
    defaults = {
        "profile": "filing",
        "service_class": ServiceClass.MUST_NOT_REPEAT,
        "deadline": 60.0,
        "first_token_deadline": 60.0,
    }
    return request(request_id, **(defaults | changes))


def upstreams(count: int, back_end: str = "model") -> list[UpstreamFacts]:
    """Return upstreams m0, m1, ... over three zones."""
    return [
        UpstreamFacts(name=f"m{i}", back_end=back_end, zone="abc"[i % 3])
        for i in range(count)
    ]


def scheduler(count: int = 3, **settings: object) -> Scheduler:
    """Return a scheduler that knows `count` upstreams."""
    made = Scheduler(zone="a", random=Random(7), settings=SchedulerSettings(**settings))
    made.set_upstreams(upstreams(count), now=0.0)
    return made
