"""Polling of the upstream's load report, which heartbeats send to routers."""

from dataclasses import dataclass, replace

import curio
import msgspec

from ragwortkeel.exceptions import ConnectFailed, ExchangeBroken
from ragwortkeel.http_client import MAX_REPORT_BYTES
from ragwortkeel.httpio import HttpClient

POLL_INTERVAL_SECONDS = 0.5
"""Engines report with a lag of this order, so more frequent polls gain nothing."""

RESPONSE_TIMEOUT_SECONDS = 2.0
OK = 200

LEAVING_HEADER = "x-leaving"
"""Header with the value 1 in all responses of an upstream that leaves."""


class _Load(msgspec.Struct):
    running: int = 0
    waiting: int = 0
    limit: int = 0


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """The upstream's last load report; values are zero where it sends none.

    `leaving` is whether the last response, report or not, announced that the upstream
    leaves.
    """

    waiting: int = 0
    limit: int = 0
    leaving: bool = False


async def poll_load(client: HttpClient, inbox: curio.Queue) -> None:
    """Put a `LoadReport` on the inbox periodically, until cancelled."""
    report = LoadReport()
    while True:
        report = await read_load(client, report)
        await inbox.put(report)
        await curio.sleep(POLL_INTERVAL_SECONDS)


async def read_load(client: HttpClient, previous: LoadReport) -> LoadReport:
    """Return the upstream's load report; what it does not say is as in `previous`."""
    try:
        response = await client.request(
            "GET",
            "/load",
            timeout=RESPONSE_TIMEOUT_SECONDS,
            max_bytes=MAX_REPORT_BYTES,
        )
    except (ConnectFailed, ExchangeBroken):
        return previous
    leaving = response.headers.get(LEAVING_HEADER, "").strip() == "1"
    try:
        load = msgspec.json.decode(response.body, type=_Load)
    except msgspec.DecodeError:
        return replace(previous, leaving=leaving)
    if response.status != OK:
        return replace(previous, leaving=leaving)
    return LoadReport(waiting=load.waiting, limit=load.limit, leaving=leaving)
