"""Callers that keep their connections for as long as their process is there."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from time import monotonic

import curio
import msgspec

from ragwortkeel.exceptions import ConnectFailed, ExchangeBroken
from ragwortkeel.http_client import HttpClient
from ragwortkeel.ingress.names import HeaderNames
from soak.history import Answer, History, Kind, Request
from soak.upstreams import PROOF, own_body, stream_events

HOST = "127.0.0.1"
NAMES = HeaderNames()
DEADLINE_SECONDS = 4.0
MARGIN_SECONDS = 1.0
PAUSE_SECONDS = 0.15
MEAN_REQUESTS_PER_PROCESS = 25
PROMPT_TOKENS = 400
ANSWER_TOKENS = 100
REVOKED_KEY_SHARE = 0.1
APP_HOST = "app.example"


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
    """

    routes: list[Route]
    keys: list[tuple[str, str]]
    revoked_keys: list[tuple[str, str]]


class Caller:
    """Sends one request after another.

    Parameters
    ----------
    targets : callable
        Returns the processes that the balancer would choose from.
    """

    def __init__(
        self,
        *,
        number: int,
        seed: int,
        targets: Callable[[], list[Target]],
        choices: Choices,
        history: History,
    ) -> None:
        self._number = number
        self._random = Random(f"caller {number} {seed}")
        self._targets = targets
        self._choices = choices
        self._history = history
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
        try:
            for _ in range(self._random.randrange(2 * MEAN_REQUESTS_PER_PROCESS)):
                answer = await self._ask(client, target)
                self._history.answers.append(answer)
                if not answer.status:
                    await curio.sleep(PAUSE_SECONDS)
                    return
                await curio.sleep(self._random.uniform(0, 2 * PAUSE_SECONDS))
        finally:
            await client.close()

    async def _ask(self, client: HttpClient, target: Target) -> Answer:
        self._sent += 1
        route = self._random.choice(self._choices.routes)
        key, customer = self._draw_key()
        request = Request(
            request_id=f"c{self._number}-{self._sent}",
            kind=route.kind,
            process=target.process,
            start=target.start,
            route=route.name,
            key=key,
            customer=customer,
            sent_at=monotonic(),
        )
        headers = {
            "host": APP_HOST,
            NAMES.request_id: request.request_id,
            NAMES.deadline: str(int(DEADLINE_SECONDS * 1000)),
            "authorization": f"Bearer {key}",
        }
        if route.kind is Kind.CHAT:
            headers[NAMES.usage] = f"{PROMPT_TOKENS},{ANSWER_TOKENS}"
        received = bytearray()
        status, is_own, problem, connected = 0, True, {}, True
        try:
            async with (
                curio.timeout_after(DEADLINE_SECONDS + MARGIN_SECONDS),
                client.stream("POST", route.path, body=b"q", headers=headers) as rv,
            ):
                async for chunk in rv.chunks():
                    received += chunk
            status = rv.status
            problem = _problem(rv.headers, received)
            is_own = status != 200 or _is_own(request, rv.headers, bytes(received))
        except ConnectFailed:
            connected = False
        except (ExchangeBroken, curio.TaskTimeout):
            pass  # The answer has status 0, which the checks look at.
        return Answer(
            request=request,
            ended_at=monotonic(),
            status=status,
            outcome=problem.get("outcome", ""),
            reason=problem.get("reason", ""),
            is_own=is_own,
            connected=connected,
            events=received.count(b"\n\n") if route.kind is Kind.CHAT else 0,
        )

    def _draw_key(self) -> tuple[str, str]:
        keys = self._choices.keys
        if self._choices.revoked_keys and self._random.random() < REVOKED_KEY_SHARE:
            keys = self._choices.revoked_keys
        return self._random.choice(keys)


def _problem(headers: dict[str, str], body: bytes) -> dict:
    if "problem+json" not in headers.get("content-type", ""):
        return {}
    return msgspec.json.decode(body)


def _is_own(request: Request, headers: dict[str, str], body: bytes) -> bool:
    expected = own_body(request.request_id)
    if request.kind is Kind.CHAT:
        expected = stream_events(request.request_id)
    return headers.get(NAMES.proof) == PROOF and body == expected
