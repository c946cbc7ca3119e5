"""Callers whose prompts hold a block that crashes engines."""

from collections.abc import Callable
from contextlib import suppress
from itertools import count
from random import Random
from time import monotonic

import curio

from ragwortkeel.exceptions import ConnectFailed, ExchangeBroken
from ragwortkeel.http_client import HttpClient
from soak.callers import (
    ANSWER_TOKENS,
    APP_HOST,
    DEADLINE_SECONDS,
    HOST,
    MARGIN_SECONDS,
    NAMES,
    PROMPT_TOKENS,
    Target,
)
from soak.faults import SendCrashingPrompts
from soak.history import Kind, Request
from soak.upstreams import COMMON_BLOCK

MAX_TRIES = 2


class BadCallers:
    """Send requests, no two alike, at a steady rate to any process.

    Attributes
    ----------
    request_by_id : dict of str to Request
        The requests that were sent.
    """

    def __init__(
        self,
        *,
        seed: int,
        targets: Callable[[], list[Target]],
        key: Callable[[], tuple[str, str]],
    ) -> None:
        self.request_by_id: dict[str, Request] = {}
        self._random = Random(f"bad callers {seed}")
        self._targets = targets
        self._key = key
        self._numbers = count(1)

    async def run(self, action: SendCrashingPrompts) -> None:
        """Send the requests of one action."""
        end_at = monotonic() + action.seconds
        async with curio.TaskGroup() as group:
            while monotonic() < end_at:
                await group.spawn(self._send, action.block)
                await curio.sleep(1.0 / action.per_second)

    async def _send(self, block: str) -> None:
        number = next(self._numbers)
        for attempt in range(MAX_TRIES):
            targets = self._targets()
            if not targets:
                return
            target = self._random.choice(targets)
            if await self._try(target, block, f"bad{number}-{attempt}") == 200:
                return

    async def _try(self, target: Target, block: str, request_id: str) -> int:
        key, customer = self._key()
        self.request_by_id[request_id] = Request(
            request_id=request_id,
            kind=Kind.CHAT,
            process=target.process,
            start=target.start,
            route="chat",
            key=key,
            customer=customer,
            sent_at=monotonic(),
        )
        headers = {
            "host": APP_HOST,
            NAMES.request_id: request_id,
            NAMES.deadline: str(int(DEADLINE_SECONDS * 1000)),
            NAMES.usage: f"{PROMPT_TOKENS},{ANSWER_TOKENS}",
            NAMES.parts: f"{COMMON_BLOCK}:100,{block}:100,{request_id}:200",
            "authorization": f"Bearer {key}",
        }
        client = HttpClient(host=HOST, port=target.port)
        try:
            with suppress(ConnectFailed, ExchangeBroken):
                response = await client.request(
                    "POST",
                    "/chat/1",
                    body=request_id.encode(),
                    headers=headers,
                    timeout=DEADLINE_SECONDS + MARGIN_SECONDS,
                )
                return response.status
            return 0
        finally:
            await client.close()
