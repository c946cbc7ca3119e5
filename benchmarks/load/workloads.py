"""What callers ask: the two deployments of the brief, and patterns of load."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from random import Random

from ragwortkeel.configuration import ServiceClass

DISCONNECT_FRACTION = 0.08
"""Part of interactive callers who close the window before the answer is whole;
they are left out of the shares served in time."""


@dataclass(frozen=True, kw_only=True)
class ProfileLoad:
    """One profile's promises and sizes; `weight` is its part of all requests.

    Requests of one conversation (`prefixes` of them) repeat `prefix_fraction` of
    its length, so their prompts differ by the last turn only.
    """

    name: str
    service: ServiceClass
    back_end: str
    weight: float
    deadline_seconds: float
    first_token_seconds: float
    prompt: tuple[int, int]
    output: tuple[int, int]
    prefix_fraction: float = 0.0
    prefixes: int = 0


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """One fleet; `rate` is requests a second at about its full load."""

    name: str
    models: int
    services: int
    rate: float
    profiles: tuple[ProfileLoad, ...]
    weights_by_customer: dict[str, float]
    routers: int = 3
    zones: str = "abc"


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """A pattern of load on a deployment.

    Attributes
    ----------
    load : float
        Share of the deployment's full rate.
    burst : tuple of float
        From, to, and how many times the rate in between.
    greedy : float
        Part of all requests that one customer sends.
    hot_prefix : float
        Part of prefixed requests that share one prefix.
    batch_weight_factor : float
        How many times the weight of batch profiles.
    slow, failing : tuple of float
        From, to (seconds): the first model server is at a quarter of its speed,
        or fails each request at once.
    uneven : bool
        Every other model server is an older one, of half the speed.
    flaky : float
        Part of runs that every model server breaks off half-way with an error.
    restarting : tuple of float
        From, to: half of the model servers are replaced, one after the other.
    """

    name: str
    load: float
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    greedy: float = 0.0
    hot_prefix: float = 0.0
    batch_weight_factor: float = 1.0
    slow: tuple[float, float] = (0.0, 0.0)
    failing: tuple[float, float] = (0.0, 0.0)
    restarting: tuple[float, float] = (0.0, 0.0)
    uneven: bool = False
    flaky: float = 0.0
    seconds: float = 40.0


@dataclass(frozen=True, kw_only=True)
class RequestSpec:
    """What one caller wants once; it may ask for it more than once.

    With `disconnects_after_seconds` it hangs up after as many seconds, whatever comes.
    """

    number: int
    at: float
    customer: str
    profile: ProfileLoad
    prompt: int
    output: int
    prefix: str
    prefix_tokens: int
    disconnects_after_seconds: float = 0.0


def _customers() -> dict[str, float]:
    small = {f"small{i}": 0.05 for i in range(8)}
    return {"large0": 0.35, "large1": 0.25} | small


SURCO = Deployment(
    name="surco",
    models=5,
    services=3,
    rate=34.0,
    weights_by_customer=_customers(),
    profiles=(
        ProfileLoad(
            name="advisor-chat",
            service=ServiceClass.INTERACTIVE,
            back_end="assistant",
            weight=0.45,
            deadline_seconds=15.0,
            first_token_seconds=1.5,
            prompt=(800, 2_400),
            output=(60, 220),
            prefix_fraction=0.8,
            prefixes=250,
        ),
        ProfileLoad(
            name="invoice-tagging",
            service=ServiceClass.BATCH,
            back_end="assistant",
            weight=0.2,
            deadline_seconds=60.0,
            first_token_seconds=30.0,
            prompt=(500, 900),
            output=(10, 40),
            prefix_fraction=0.5,
            prefixes=4,
        ),
        ProfileLoad(
            name="dossier-review",
            service=ServiceClass.BATCH,
            back_end="assistant",
            weight=0.05,
            deadline_seconds=120.0,
            first_token_seconds=60.0,
            prompt=(8_000, 24_000),
            output=(400, 900),
        ),
        ProfileLoad(
            name="claim-filing",
            service=ServiceClass.MUST_NOT_REPEAT,
            back_end="claims",
            weight=0.1,
            deadline_seconds=20.0,
            first_token_seconds=20.0,
            prompt=(0, 0),
            output=(60, 180),
        ),
        ProfileLoad(
            name="claim-status",
            service=ServiceClass.INTERACTIVE,
            back_end="claims",
            weight=0.2,
            deadline_seconds=5.0,
            first_token_seconds=2.0,
            prompt=(0, 0),
            output=(20, 60),
        ),
    ),
)

CHAOPHRAYA = Deployment(
    name="chaophraya",
    models=10,
    services=3,
    rate=44.0,
    weights_by_customer=_customers(),
    profiles=(
        ProfileLoad(
            name="thread-summary",
            service=ServiceClass.BATCH,
            back_end="archive",
            weight=0.1,
            deadline_seconds=60.0,
            first_token_seconds=30.0,
            prompt=(6_000, 20_000),
            output=(300, 700),
            prefix_fraction=0.8,
            prefixes=60,
        ),
        ProfileLoad(
            name="reply-draft",
            service=ServiceClass.INTERACTIVE,
            back_end="archive",
            weight=0.35,
            deadline_seconds=25.0,
            first_token_seconds=2.0,
            prompt=(1_500, 5_000),
            output=(120, 360),
            prefix_fraction=0.8,
            prefixes=150,
        ),
        ProfileLoad(
            name="privilege-tagging",
            service=ServiceClass.BATCH,
            back_end="archive",
            weight=0.25,
            deadline_seconds=60.0,
            first_token_seconds=30.0,
            prompt=(900, 2_500),
            output=(5, 20),
            prefix_fraction=0.4,
            prefixes=6,
        ),
        ProfileLoad(
            name="matter-lookup",
            service=ServiceClass.INTERACTIVE,
            back_end="registry",
            weight=0.25,
            deadline_seconds=5.0,
            first_token_seconds=2.0,
            prompt=(0, 0),
            output=(15, 50),
        ),
        ProfileLoad(
            name="mailbox-hold",
            service=ServiceClass.MUST_NOT_REPEAT,
            back_end="registry",
            weight=0.05,
            deadline_seconds=20.0,
            first_token_seconds=20.0,
            prompt=(0, 0),
            output=(60, 200),
        ),
    ),
)

DEPLOYMENTS = (SURCO, CHAOPHRAYA)

SCENARIOS = (
    Scenario(name="steady", load=0.7),
    Scenario(name="burst", load=0.6, burst=(10.0, 18.0, 3.0)),
    Scenario(name="greedy", load=1.2, greedy=0.75),
    Scenario(name="hot_prefix", load=0.8, hot_prefix=0.7),
    Scenario(name="slow", load=0.7, slow=(8.0, 40.0)),
    Scenario(name="uneven", load=0.65, uneven=True),
    Scenario(name="long", load=0.8, batch_weight_factor=2.5),
    Scenario(name="saturation", load=1.6),
    Scenario(name="restarts", load=0.8, restarting=(8.0, 38.0)),
    Scenario(name="flaky", load=1.0, flaky=0.3),
    Scenario(name="failing", load=0.7, failing=(8.0, 24.0)),
)


def request_specs(
    deployment: Deployment, scenario: Scenario, random: Random
) -> Iterator[RequestSpec]:
    """Yield what callers want, in order of time."""
    profiles = [
        replace(
            p,
            weight=p.weight
            * (
                scenario.batch_weight_factor if p.service is ServiceClass.BATCH else 1.0
            ),
        )
        for p in deployment.profiles
    ]
    at = 0.0
    number = 0
    while True:
        start, end, factor = scenario.burst
        rate = deployment.rate * scenario.load
        if start <= at < end:
            rate *= factor
        at += random.expovariate(rate)
        if at >= scenario.seconds:
            return
        number += 1
        yield _request_spec(deployment, scenario, profiles, number, at, random)


def _request_spec(
    deployment: Deployment,
    scenario: Scenario,
    profiles: list[ProfileLoad],
    number: int,
    at: float,
    random: Random,
) -> RequestSpec:
    profile = random.choices(profiles, [p.weight for p in profiles])[0]
    names = list(deployment.weights_by_customer)
    weights = list(deployment.weights_by_customer.values())
    customer = random.choices(names, weights)[0]
    if random.random() < scenario.greedy:
        customer = "large0"
    prompt = random.randint(*profile.prompt)
    prefix, prefix_tokens = "", 0
    if profile.prefixes:
        index = random.randrange(profile.prefixes)
        if random.random() < scenario.hot_prefix:
            index = 0
        prefix = f"{profile.name}/{index}"
        prompt = Random(index).randint(*profile.prompt)
        prefix_tokens = int(prompt * profile.prefix_fraction)
    disconnects_after_seconds = 0.0
    if (
        profile.service is ServiceClass.INTERACTIVE
        and random.random() < DISCONNECT_FRACTION
    ):
        disconnects_after_seconds = random.uniform(0.2, 0.3 * profile.deadline_seconds)
    return RequestSpec(
        number=number,
        at=at,
        customer=customer,
        profile=profile,
        prompt=prompt,
        output=random.randint(*profile.output),
        prefix=prefix,
        prefix_tokens=prefix_tokens,
        disconnects_after_seconds=disconnects_after_seconds,
    )
