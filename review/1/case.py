"""A tenant gets more tokens than it has prepaid, after an outage and a kill."""

import asyncio
import json
import os
import sys
import time
from itertools import count
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    Connection,
    Fleet,
    Record,
    Server,
    Store,
    configuration,
    run,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PREPAID = 1_000_000
FRONTS = 3
FIRST_TOKENS = 4_000
REQUEST_TOKENS = 2_450
BURST_REQUESTS = 4
ANSWER_TOKENS = 6
OUTAGE_SECONDS = 7.0
KILL_AFTER_SECONDS = 0.1
SPENDERS = 4

ids = count(1)


async def ask(record, address, tenant, tokens, connection=None):
    """Send one request of a tenant with a prompt of this size."""
    connection = connection or Connection(record, address)
    headers = {
        "Authorization": f"Bearer key-{tenant}",
        "Model": "m",
        "Token-Usage": f"{tokens - ANSWER_TOKENS},{ANSWER_TOKENS}",
        "Prefix-Hash": f"{next(ids):08x}:{tokens - ANSWER_TOKENS}",
    }
    request_id = f"{tenant}-{next(ids)}"
    return await connection.request(
        request_id, "/chat/1", method="POST", headers=headers, limit=12.0
    )


async def spend(record, address, tenant, ends_at):
    """Send requests of a tenant one after the other until its budget is used up."""
    connection = Connection(record, address)
    while time.monotonic() < ends_at:
        status = await ask(record, address, tenant, REQUEST_TOKENS, connection)
        if status == 402:
            return
        if status != 200:
            await asyncio.sleep(0.3)


async def next_write(store):
    """Wait for the next write of the ledgers, which the fronts repeat regularly."""
    writes = len(store.writes_at)
    while len(store.writes_at) == writes:
        await asyncio.sleep(0.002)


async def ask_all(record, fleet, tenant, tokens, *, each=1):
    """Send requests of a tenant to all fronts at once; return how they ended."""
    addresses = [front.front for front in fleet.fronts for _ in range(each)]
    asked = [ask(record, address, tenant, tokens) for address in addresses]
    return await asyncio.gather(*asked)


async def outage(record, store, fleet):
    """Let the store reset all connections for a while, as another tenant asks."""
    await next_write(store)
    await asyncio.sleep(0.35)
    if TROUBLE:
        store.go_down()
        record.line("the store is down")
    await asyncio.sleep(OUTAGE_SECONDS - 0.15)
    asked = asyncio.ensure_future(
        ask_all(record, fleet, "coop", REQUEST_TOKENS, each=3)
    )
    await asyncio.sleep(0.15)
    if TROUBLE:
        await store.open()
    record.line("the store is back")
    await asked


async def burst_and_kill(record, store, fleet):
    """Send a burst of the tenant, and kill all fronts right after its answers."""
    await next_write(store)
    burst = asyncio.ensure_future(
        ask_all(record, fleet, "farm", REQUEST_TOKENS, each=BURST_REQUESTS)
    )
    await asyncio.wait([burst], timeout=KILL_AFTER_SECONDS)
    if TROUBLE:
        for front in fleet.fronts:
            front.kill()
        record.line("the processes of all fronts are killed")
    record.line(f"the burst ends with {await burst}")
    if TROUBLE:
        await asyncio.sleep(0.5)
        for front in fleet.fronts:
            front.start()


async def play(record, store, fleet, servers):
    """Run the case; return its exit code."""
    fleet.start()
    if not await fleet.wait_ready():
        record.say("the fronts did not get ready")
        return 2
    await asyncio.sleep(4.0)
    first = await ask_all(record, fleet, "farm", FIRST_TOKENS)
    if first != [200] * FRONTS:
        record.say(f"the first requests were not served: {first}")
        return 2
    await asyncio.sleep(0.6)
    await outage(record, store, fleet)
    await asyncio.sleep(5.0)
    await burst_and_kill(record, store, fleet)
    if not await fleet.wait_ready():
        record.say("the fronts did not get ready again")
        return 2
    ends_at = time.monotonic() + 50.0
    addresses = [front.front for front in fleet.fronts] * SPENDERS
    spenders = [spend(record, each, "farm", ends_at) for each in addresses]
    await asyncio.gather(*spenders)
    used = sum(server.tokens_by_tenant.get("farm", 0) for server in servers)
    record.say(f"tenant farm has prepaid {PREPAID} tokens and got {used}")
    return int(used > PREPAID)


async def main():
    """Start the stand-ins and the processes, and run the case."""
    record = Record(FOLDER)
    store = Store(record)
    await store.open()
    prepaid = {"farm": PREPAID, "coop": PREPAID}
    text = json.dumps(configuration(prepaid_by_tenant=prepaid))
    await store.put("config", "main", text)
    servers = [
        Server(record, store, f"i-{n}", "pool", f"127.0.3.{n}", event_tokens=6)
        for n in (1, 2)
    ]
    for server in servers:
        await server.open()
    with Fleet(record, store, fronts=FRONTS, relays=2) as fleet:
        return await play(record, store, fleet, servers)


if __name__ == "__main__":
    # Without waiting for the stand-ins' open connections.
    os._exit(run(main))
