"""Kills two processes while the store turns some machines away; a third one ends."""

import asyncio
import sys
import time

from harness import (
    REPOSITORY,
    Client,
    Site,
    configuration,
    main,
    record,
    route,
)

sys.path.insert(0, str(REPOSITORY / "src"))
sys.path.insert(0, str(REPOSITORY / "target" / "deps"))
from ragwortkeel.budget.write_order import Writer  # noqa: E402
from ragwortkeel.ingress.mesh import rendezvous_order  # noqa: E402

CLIENTS_PER_FRONT = 8
WORK_SECONDS = 0.5
DARK_SECONDS = 3.5
TURNED_AWAY_SECONDS = 9.0
TURNED_AWAY_SHARE = 0.33
KEY = {"Authorization": "Bearer key-1", "Model": "m", "Prefix-Hash": "a1:100"}
PREPAID = 200_000
MOST_CUT = 3
KILL_DELAYS = (0.25, 0.35, 0.3, 0.25, 0.35, 0.3, 0.25)
TRY_SECONDS = 4.5


async def work(request_id, headers, body):
    """Run a plain request."""
    await asyncio.sleep(WORK_SECONDS)
    return b"x" * 800


async def stream(request_id, headers, body):
    """Run a stream of a few events."""
    return [(0.02, b"id: %d\ndata: x\n\n" % number) for number in range(1, 5)]


async def press(site, machine, ends, stop):
    """Send one request after another on a kept connection."""
    client = Client(site, machine)
    number = 0
    while not stop.is_set():
        number += 1
        path = "/file/1" if number % 2 else "/look/1"
        if machine.process.poll() is not None:
            client.close()
            await asyncio.sleep(0.1)
            continue
        _, end, _ = await client.request(path, headers={"Deadline-Ms": "1500"})
        ends.append((time.monotonic(), machine, end, client.on_connection))
        if end == "no connection":
            await asyncio.sleep(0.1)
    client.close()


async def ask(site, machine, tokens):
    """Send one stream of a tenant."""
    client = Client(site, machine)
    headers = KEY | {"Token-Usage": f"{tokens},24", "Deadline-Ms": "12000"}
    result = await client.request("/chat/1", headers=headers, wait=12.0)
    client.close()
    return result


async def play(trouble):
    """Return 1 if a machine that nobody touched cut requests, 0 if none did.

    Each try has a deployment of its own, until one of them breaks the rule.
    """
    for delay in KILL_DELAYS:
        site = Site(fronts=3, sides=9)
        try:
            cut = await _try(site, trouble, delay)
        finally:
            site.close()
        if cut is None:
            return 2
        if cut > MOST_CUT:
            return 1
    return 0


async def _open(site):
    """Write the configuration and start the servers."""
    routes = [
        route("r1", "/file/", "non_idempotent", "app", public=True),
        route("r2", "/look/", "idempotent", "app", public=True, maxAttempts=2),
        route("r3", "/chat/", "stream", "llm", timeoutMs=12000),
    ]
    engine = {"slots": 64, "kvCapacityTokens": 500_000, "stride": 6}
    services = [
        {"name": "app", "healthPath": "/health", "maxConnections": 96},
        {"name": "llm", "healthPath": "/health", "maxConnections": 360}
        | {"engine": engine},
    ]
    tenants = [
        {"name": "t1", "apiKeys": ["key-1"], "priority": 1, "prepaid": PREPAID},
    ]
    settings = {"routes": routes, "services": services, "tenants": tenants}
    site.store.put("config", "main", configuration(version=7, **settings))
    await site.open()
    for number, zone in enumerate(site.zones):
        app = {"service": "app", "slots": 16, "work": work}
        await site.add_server(name=f"i-app{number}", zone=zone, **app)
        llm = {"service": "llm", "slots": 64, "work": stream}
        await site.add_server(name=f"i-llm{number}", zone=zone, **llm)


async def _try(site, trouble, delay):
    """Return how many requests an untouched machine cut, None if none is ready."""
    await _open(site)
    watched = site.store.gate = Watched()
    for machine in site.machines:
        machine.start()
    for front in site.fronts:
        if not await site.wait_ready(front):
            return None
    ends, stop = [], asyncio.Event()
    tasks = [
        asyncio.create_task(press(site, front, ends, stop))
        for front in site.fronts
        for _ in range(CLIENTS_PER_FRONT)
    ]
    site.bootstrap = False
    try:
        return await _disturb(site, watched, ends, trouble, delay)
    finally:
        stop.set()
        await asyncio.gather(*tasks)


class Watched:
    """What the store sees of the ledgers, and the machines that it turns away."""

    def __init__(self):
        self.last_writer = None
        self.reads = []
        self.away = []
        self.away_until = 0.0

    def __call__(self, machine, method, kind, body):
        """Return "silent" for a call that gets no answer, None for any other."""
        if kind == "customer-ledgers" and method == "PUT":
            self.last_writer = machine
        if kind == "customer-ledgers" and method == "GET":
            self.reads.append((time.monotonic(), machine))
        if machine in self.away and time.monotonic() < self.away_until:
            return "silent"
        return None

    async def wait_for_read(self, machine, since):
        """Wait until a machine reads the ledgers, by itself or through a relay."""
        while not any(at > since and each in self.away for at, each in self.reads):
            await asyncio.sleep(0.01)
            if time.monotonic() > since + 3:
                record("no read of", machine.name)
                return
        record(machine.name, "reads the ledgers")


async def _disturb(site, watched, ends, trouble, delay):
    """Return how many requests a machine cut that ran all the while."""
    for _ in range(8):
        await asyncio.gather(*(ask(site, front, 300) for front in site.fronts))
        await asyncio.sleep(0.25)
    # The machine that last wrote to the store under a condition is killed first.
    leader = watched.last_writer
    others = [front for front in site.fronts if front is not leader]
    first, second = _in_write_order(site, others)
    record("leader", leader.name, "next", first.name, "last", second.name)
    await asyncio.sleep(1.0)
    begun = time.monotonic()
    if trouble:
        count = int(TURNED_AWAY_SHARE * len(site.machines)) - 1
        watched.away = [first, *_relays(site, first)[:count]]
        watched.away_until = begun + TURNED_AWAY_SECONDS
        record("the store turns away", *(each.name for each in watched.away))
        leader.kill()
    asked = [asyncio.create_task(ask(site, first, 3000))]
    await asyncio.sleep(0.15)
    asked.append(asyncio.create_task(ask(site, second, 3000)))
    if trouble:
        await watched.wait_for_read(first, begun)
        await asyncio.sleep(delay)
        second.kill()
        second.start()
        await asyncio.sleep(max(0.0, begun + DARK_SECONDS - time.monotonic()))
        leader.start()
    await asyncio.sleep(max(0.0, begun + TRY_SECONDS - time.monotonic()))
    await asyncio.gather(*asked)
    cut = [
        end
        for at, each, end, on in ends
        if at > begun and each is first and end == "cut" and on > 1
    ]
    record(first.name, "exit code", first.exit_code, "requests cut", len(cut))
    for line in first.log_lines("worker_failed"):
        record(first.name, "logs", line[:600])
    return len(cut)


def _in_write_order(site, fronts):
    """Return the machines in the order in which they write the ledgers."""

    def key(front):
        return Writer(name=f"{front.ip}:{site.base + 10}").sort_key

    return sorted(fronts, key=key)


def _relays(site, front):
    """Return the relays in the order in which a front machine uses them."""
    by_address = {f"{side.ip}:{site.base + 10}": side for side in site.sides}
    order = rendezvous_order(f"{front.ip}:{site.base + 10}", by_address)
    return [by_address[address] for address in order]


if __name__ == "__main__":
    main(play)
