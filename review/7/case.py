"""Stops a process while a client holds an open connection that it has not used yet."""

import asyncio
import signal
import time

from harness import Client, Site, configuration, main, record, route

CLIENTS = 6
SENT_AFTER_SECONDS = 3.2
GRACE_SECONDS = 8.0
EVENT_SECONDS = 0.058
EVENTS = 120


async def stream(request_id, headers, body):
    """Run a short stream for the first request of a client, and a long one later."""
    events = EVENTS if "long" in headers.get("model", "") else 2
    return [
        (EVENT_SECONDS, b"id: %d\ndata: x\n\n" % number)
        for number in range(1, events + 1)
    ]


async def ask(client, model):
    """Send one stream that must not be repeated."""
    headers = {"Model": model, "Token-Usage": "800,720", "Deadline-Ms": "15000"}
    headers["Prefix-Hash"] = "a1:800"
    _, end, _ = await client.request("/review/1", headers=headers, wait=15.0)
    return end


async def play(trouble):
    """Return 1 if a request was passed on and cut by the planned stop, 0 if none."""
    site = Site(fronts=2, sides=1)
    routes = [
        route("r1", "/review/", "stream", "llm", timeoutMs=15000, public=True),
    ]
    engine = {"slots": 64, "kvCapacityTokens": 508_599, "stride": 6}
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
    front = site.fronts[0]
    await asyncio.sleep(4.0)
    clients = [Client(site, front) for _ in range(CLIENTS)]
    firsts = await asyncio.gather(*(ask(client, "m-short") for client in clients))
    if firsts != [200] * CLIENTS:
        return 2
    _, unused = await asyncio.open_connection(front.ip, site.base + 1)
    record("client", "opens a connection to", front.name, "and sends nothing yet")
    await asyncio.sleep(1.0)
    begun = time.monotonic()
    if trouble:
        front.kill(signal.SIGTERM)
    await asyncio.sleep(SENT_AFTER_SECONDS)
    asks = [asyncio.create_task(ask(client, "m-long")) for client in clients]
    if trouble:
        ending = asyncio.create_task(_end_after_grace(front, begun))
    ends = await asyncio.gather(*asks)
    if trouble:
        await ending
    unused.close()
    runs = [run for server in site.servers for run in server.runs]
    long_runs = [run for run in runs if run[2].get("model") == "m-long"]
    record("ends", ends, "long runs at servers", len(long_runs))
    record(front.name, "exit code", front.exit_code)
    return 1 if "cut" in ends and long_runs else 0


async def _end_after_grace(front, begun):
    """Kill the process at the end of its grace period, as the platform does."""
    while front.exit_code is None:
        if time.monotonic() - begun >= GRACE_SECONDS:
            front.kill()
        await asyncio.sleep(0.02)
    record(front.name, "has ended", f"{time.monotonic() - begun:.2f} s after SIGTERM")


if __name__ == "__main__":
    main(play)
