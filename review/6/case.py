"""Stops a process while requests wait in its queue for room at full model servers."""

import asyncio
import signal
import time

from harness import Client, Site, configuration, main, record, route

GRACE_SECONDS = 8.0
SENT_AFTER_SECONDS = 1.0
FILLING_REQUESTS = 36
WAITING_REQUESTS = 3
EVENT_SECONDS = 0.058
EVENTS = 187
PROMPT_TOKENS = 50_000
ANSWER_TOKENS = 6 * EVENTS
KV_TOKENS = 508_599


async def stream(request_id, headers, body):
    """Run a stream of the largest size."""
    return [
        (EVENT_SECONDS, b"id: %d\ndata: x\n\n" % number)
        for number in range(1, EVENTS + 1)
    ]


async def ask(site, front):
    """Send one large stream that must not be repeated."""
    client = Client(site, front)
    headers = {"Model": "m", "Deadline-Ms": "15000", "Prefix-Hash": "a1:800"}
    headers["Token-Usage"] = f"{PROMPT_TOKENS},{ANSWER_TOKENS}"
    request_id, end, _ = await client.request("/review/1", headers=headers, wait=15.0)
    client.close()
    return request_id, end


async def play(trouble):
    """Return 1 if a request that was read got no answer at all, 0 if none."""
    site = Site(fronts=2, sides=1)
    routes = [
        route("r1", "/review/", "stream", "llm", timeoutMs=15000, public=True),
    ]
    engine = {"slots": 64, "kvCapacityTokens": KV_TOKENS, "stride": 6}
    services = [
        {"name": "llm", "healthPath": "/health", "maxConnections": 360}
        | {"engine": engine},
    ]
    site.store.put(
        "config", "main", configuration(version=7, routes=routes, services=services)
    )
    await site.open()
    for number, zone in enumerate(site.zones):
        await site.add_server(
            name=f"i-llm{number}",
            service="llm",
            zone=zone,
            slots=64,
            work=stream,
        )
    try:
        return await _play(site, trouble)
    finally:
        site.close()


async def _play(site, trouble):
    for machine in site.machines:
        machine.start()
    for front in site.fronts:
        if not await site.wait_ready(front):
            return 2
    front, other = site.fronts
    await asyncio.sleep(4.0)
    filling = [asyncio.create_task(ask(site, other)) for _ in range(FILLING_REQUESTS)]
    await asyncio.sleep(0.8)
    running = sum(server.running for server in site.servers)
    record("running at the servers", running)
    begun = time.monotonic()
    if trouble:
        front.kill(signal.SIGTERM)
    await asyncio.sleep(SENT_AFTER_SECONDS)
    asks = [asyncio.create_task(ask(site, front)) for _ in range(WAITING_REQUESTS)]
    if trouble:
        ending = asyncio.create_task(_end_after_grace(front, begun))
    ends = dict(await asyncio.gather(*asks))
    await asyncio.gather(*filling)
    if trouble:
        await ending
    runs = {run[1] for server in site.servers for run in server.runs}
    lost = [each for each, end in ends.items() if end == "cut" and each not in runs]
    record("ends", ends, "cut without having been passed on", len(lost))
    record(front.name, "exit code", front.exit_code)
    return 1 if lost else 0


async def _end_after_grace(front, begun):
    """Kill the process at the end of its grace period, as the platform does."""
    while front.exit_code is None:
        if time.monotonic() - begun >= GRACE_SECONDS:
            front.kill()
        await asyncio.sleep(0.02)
    record(front.name, "has ended", f"{time.monotonic() - begun:.2f} s after SIGTERM")


if __name__ == "__main__":
    main(play)
