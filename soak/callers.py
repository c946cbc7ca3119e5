"""Callers that keep their connections for as long as their process is there."""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from random import Random
from time import monotonic

import curio
import msgspec

from ragwortkeel.exceptions import ConnectFailed, ExchangeBroken
from ragwortkeel.http_client import HttpClient
from ragwortkeel.ingress.names import HeaderNames
from soak.history import STREAM_KINDS, Answer, History, Kind, Request
from soak.idle_limits import IdleLimits
from soak.upstreams import (
    COMMON_BLOCK,
    LONG_EVENTS,
    PROOF,
    STREAM_EVENTS,
    draft_events,
    own_body,
    stream_events,
)

HOST = "127.0.0.1"
NAMES = HeaderNames()
DEADLINE_SECONDS = 4.0
LONG_DEADLINE_SECONDS = 20.0
MARGIN_SECONDS = 1.0
PAUSE_SECONDS = 0.15
MEAN_REQUESTS_PER_PROCESS = 25
PROMPT_TOKENS = 400
ANSWER_TOKENS = 100
LONG_ANSWER_TOKENS = 600
REVOKED_KEY_SHARE = 0.1
MAX_TAKE_UPS = 3
TAKE_UP_SECONDS = 8.0
"""How long patient callers look for a process to take up a stream at."""
LEFT_DRAFT_SHARE = 0.15
"""Share of requests for drafts whose caller loses its connection between events."""
APP_HOST = "app.example"
IDLE_SHARE = 0.06
"""Share of pauses between two requests that last as long as the idle limit allows."""
MIN_IDLE_FRACTION = 0.6
MAX_IDLE_FRACTION = 0.8
MAX_IDLE_SECONDS = 4.0
IDLE_POLL_SECONDS = 0.02


@dataclass(frozen=True, kw_only=True)
class Target:
    """An ingress process that is there: its name, its start and its port."""

    process: str
    start: int
    port: int


@dataclass(frozen=True, kw_only=True)
class Route:
    """A route that callers use."""

    name: str
    path: str
    kind: Kind


@dataclass(kw_only=True)
class Choices:
    """What callers choose from; the operator changes it.

    Attributes
    ----------
    routes : list of Route
        With routes that are new or removed.
    keys, revoked_keys : list of (str, str)
        API keys, new ones too, each with its customer.
    idle_limits : IdleLimits
        How long connections may stay idle.
    """

    routes: list[Route]
    keys: list[tuple[str, str]]
    revoked_keys: list[tuple[str, str]]
    idle_limits: IdleLimits


class Caller:
    """Sends one request after another.

    Parameters
    ----------
    targets : callable
        Returns the processes that the balancer would choose from.
    mean_requests : callable
        Returns the mean number of requests on one connection.
    kind : Kind or None
        What all requests ask for; None for all kinds.
    customer : str
        Customer of all requests; empty for all customers.
    idles : bool
        Whether connections are left idle for nearly as long as the limit at times.
    patient : bool
        Whether broken streams are taken up also once no process has been there.
    """

    def __init__(
        self,
        *,
        number: int,
        seed: int,
        targets: Callable[[], list[Target]],
        mean_requests: Callable[[], int] = lambda: MEAN_REQUESTS_PER_PROCESS,
        choices: Choices,
        history: History,
        kind: Kind | None = None,
        customer: str = "",
        idles: bool = True,
        patient: bool = False,
    ) -> None:
        self._number = number
        # Apart, so that callers that do not idle draw what they drew before.
        self._idle_random = Random(f"idle caller {number} {seed}")
        self._idles = idles
        self._patient = patient
        self._random = Random(f"caller {number} {seed}")
        self._targets = targets
        self._mean_requests = mean_requests
        self._choices = choices
        self._history = history
        self._kind = kind
        self._customer = customer
        self._sent = 0

    async def run(self) -> None:
        """Use one process after another until cancelled."""
        while True:
            targets = self._targets()
            if not targets:
                await curio.sleep(PAUSE_SECONDS)
                continue
            await self._use(self._random.choice(targets))

    async def _use(self, target: Target) -> None:
        """Use one process's connection until it is gone, or for some requests."""
        client = HttpClient(host=HOST, port=target.port)
        idle_since = None
        try:
            for _ in range(self._random.randrange(2 * self._mean_requests())):
                route = self._draw_route()
                if idle_since is not None and self._is_idle_too_long(idle_since):
                    await client.close()
                    idle_since = None
                answer = await self.ask(client, target, route, idle_since=idle_since)
                idle_since = monotonic()
                if route.kind is Kind.DRAFT:
                    await self._take_up(answer, route)
                if not answer.status:
                    await curio.sleep(PAUSE_SECONDS)
                    return
                await curio.sleep(self._random.uniform(0, 2 * PAUSE_SECONDS))
                if self._idles and self._idle_random.random() < IDLE_SHARE:
                    await self._idle(idle_since)
        finally:
            await client.close()

    async def _idle(self, since: float) -> None:
        """Wait until the connection was idle for a large part of what is allowed."""
        part = self._idle_random.uniform(MIN_IDLE_FRACTION, MAX_IDLE_FRACTION)
        while True:
            limit = self._choices.idle_limits.least_seconds(monotonic())
            if monotonic() - since >= part * min(limit, MAX_IDLE_SECONDS):
                return
            await curio.sleep(IDLE_POLL_SECONDS)

    def _is_idle_too_long(self, since: float) -> bool:
        now = monotonic()
        limit = self._choices.idle_limits.least_seconds(now)
        return self._idles and now - since > MAX_IDLE_FRACTION * limit

    async def _take_up(self, answer: Answer, route: Route) -> None:
        """Take a broken stream up, at another process each time."""
        first_id, last_id = "", 0
        tries = 0
        gives_up_at = monotonic() + (TAKE_UP_SECONDS if self._patient else 0.0)
        while tries < MAX_TAKE_UPS:
            if answer.draft:
                first_id = first_id or answer.request.request_id
                last_id, _ = answer.draft[-1]
            if last_id in (0, STREAM_EVENTS):
                return
            targets = await self._await_targets(gives_up_at)
            if not targets:
                return
            target = self._random.choice(targets)
            client = HttpClient(host=HOST, port=target.port)
            try:
                answer = await self.ask(
                    client,
                    target,
                    route,
                    stream=answer.stream,
                    resumes=first_id,
                    after=last_id,
                    key=(answer.request.key, answer.request.customer),
                )
            finally:
                await client.close()
            if self._patient and not answer.draft:
                await curio.sleep(PAUSE_SECONDS)
            if answer.connected or monotonic() >= gives_up_at:
                tries += 1

    async def _await_targets(self, until: float) -> list[Target]:
        """Return the processes that are there, waiting for one until a time."""
        while not (targets := self._targets()) and monotonic() < until:
            await curio.sleep(PAUSE_SECONDS)
        return targets

    async def ask(
        self,
        client: HttpClient,
        target: Target,
        route: Route,
        *,
        stream: str = "",
        resumes: str = "",
        after: int = 0,
        key: tuple[str, str] | None = None,
        idle_since: float | None = None,
    ) -> Answer:
        """Send one request and record how it ended."""
        self._sent += 1
        is_long = route.kind is Kind.LONG
        deadline_seconds = LONG_DEADLINE_SECONDS if is_long else DEADLINE_SECONDS
        key, customer = key or self._draw_key()
        request = Request(
            request_id=f"c{self._number}-{self._sent}",
            kind=route.kind,
            process=target.process,
            start=target.start,
            route=route.name,
            key=key,
            customer=customer,
            sent_at=monotonic(),
            time_limit_seconds=LONG_DEADLINE_SECONDS if is_long else None,
        )
        headers = {
            "host": APP_HOST,
            NAMES.request_id: request.request_id,
            NAMES.deadline: str(int(deadline_seconds * 1000)),
            "authorization": f"Bearer {key}",
        }
        is_stream = route.kind in STREAM_KINDS
        if is_stream:
            answer_tokens = LONG_ANSWER_TOKENS if is_long else ANSWER_TOKENS
            headers[NAMES.usage] = f"{PROMPT_TOKENS},{answer_tokens}"
            headers[NAMES.parts] = f"{COMMON_BLOCK}:100,{request.request_id}:300"
        if after:
            headers |= {NAMES.last_event: str(after), NAMES.resumes: resumes}
        leaves_after = inf
        if route.kind is Kind.DRAFT and self._random.random() < LEFT_DRAFT_SHARE:
            leaves_after = self._random.randrange(1, STREAM_EVENTS)
        received = bytearray()
        left = False
        status, is_own, problem, connected = 0, True, {}, True
        try:
            async with (
                curio.timeout_after(deadline_seconds + MARGIN_SECONDS),
                client.stream("POST", route.path, body=b"q", headers=headers) as rv,
            ):
                async for chunk in rv.chunks():
                    received += chunk
                    left = received.count(b"\n\n") >= leaves_after
                    if left:
                        break
            status = 0 if left else rv.status
            problem = _problem(rv.headers, received)
            is_own = status != 200 or _is_own(request, rv.headers, bytes(received))
        except ConnectFailed:
            connected = False
        except (ExchangeBroken, curio.TaskTimeout):
            pass  # The answer has status 0, which the checks look at.
        is_draft = route.kind is Kind.DRAFT and status in (0, 200)
        answer = Answer(
            request=request,
            ended_at=monotonic(),
            status=status,
            outcome=problem.get("outcome", ""),
            reason=problem.get("reason", ""),
            is_own=is_own,
            connected=connected,
            events=received.count(b"\n\n") if is_stream else 0,
            stream=stream or request.request_id,
            after=after,
            draft=draft_events(bytes(received)) if is_draft else (),
            left=left,
            idle_seconds=None if idle_since is None else request.sent_at - idle_since,
        )
        self._history.answers.append(answer)
        return answer

    def _draw_route(self) -> Route:
        routes = self._choices.routes
        if self._kind is not None:
            routes = [route for route in routes if route.kind is self._kind]
        return self._random.choice(routes)

    def _draw_key(self) -> tuple[str, str]:
        if self._customer:
            keys = [key for key in self._choices.keys if key[1] == self._customer]
            return self._random.choice(keys)
        keys = self._choices.keys
        if self._choices.revoked_keys and self._random.random() < REVOKED_KEY_SHARE:
            keys = self._choices.revoked_keys
        return self._random.choice(keys)


def _problem(headers: dict[str, str], body: bytes) -> dict:
    if "problem+json" not in headers.get("content-type", ""):
        return {}
    return msgspec.json.decode(body)


def _is_own(request: Request, headers: dict[str, str], body: bytes) -> bool:
    if request.kind is Kind.DRAFT:
        return headers.get(NAMES.proof) == PROOF
    expected = own_body(request.request_id)
    if request.kind is Kind.CHAT:
        expected = stream_events(request.request_id)
    if request.kind is Kind.LONG:
        expected = stream_events(request.request_id, count=LONG_EVENTS)
    return headers.get(NAMES.proof) == PROOF and body == expected
