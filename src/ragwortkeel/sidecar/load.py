"""Polling of the upstream's load report, which heartbeats send to routers."""

from dataclasses import dataclass

import curio
import msgspec

from ragwortkeel.exceptions import ConnectFailed, ExchangeBroken
from ragwortkeel.httpio import HttpClient

POLL_INTERVAL_SECONDS = 0.5
"""Engines report with a lag of this order, so more frequent polls gain nothing."""

RESPONSE_TIMEOUT_SECONDS = 2.0
OK = 200


class _Load(msgspec.Struct):
    running: int = 0
    waiting: int = 0
    limit: int = 0


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """The upstream's last load report; values are zero where it sends none."""

    waiting: int = 0
    limit: int = 0


async def poll_load(client: HttpClient, inbox: curio.Queue) -> None:
    """Put a `LoadReport` on the inbox periodically, until cancelled."""
    while True:
        report = await read_load(client)
        if report is not None:
            await inbox.put(report)
        await curio.sleep(POLL_INTERVAL_SECONDS)


async def read_load(client: HttpClient) -> LoadReport | None:
    """Return the upstream's load report, or None where it sends none."""
    try:
        response = await client.request(
            "GET", "/load", timeout=RESPONSE_TIMEOUT_SECONDS
        )
        if response.status != OK:
            return None
        load = msgspec.json.decode(response.body, type=_Load)
    except (ConnectFailed, ExchangeBroken, msgspec.DecodeError):
        return None
    return LoadReport(waiting=load.waiting, limit=load.limit)
