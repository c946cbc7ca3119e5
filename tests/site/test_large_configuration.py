"""A configuration of thousands of routes on an instance with a slow link."""

from time import monotonic

import curio
import pytest
from tests.site.store_standin import StoreStandin
from tests.slow_link import SlowLink

from ragwortkeel.ingress.following import ConfigurationFollower
from ragwortkeel_site.objects import ObjectStore

STORE_TIMEOUT_SECONDS = 0.6
IN_FORCE_SECONDS = 2.0
"""The users' bound on a confirmed change."""
WATCH_SECONDS = 0.6
ROUTE_COUNT = 4_000


def large_configuration(version):
    """Return a configuration of some 900 KB."""
    routes = [
        {
            "name": f"r-{number:06}",
            "host": "nyse18.example",
            "pathPrefix": f"/kfwvfdxj{number:06}/",
            "kind": "idempotent",
            "timeoutMs": 4000,
            "targetLatencyMs": 518,
            "priority": 1,
            "service": "huvo11a",
            "maxAttempts": 2,
            "public": False,
            "sessionAffinity": False,
            "resumable": False,
            "gapTargetMs": 300,
        }
        for number in range(ROUTE_COUNT)
    ]
    return {"version": version, "routes": routes, "services": []}


async def call_often(store):
    while True:
        await store.get("customer-ledgers", "shard-0")
        await curio.sleep(0.1)


@pytest.mark.parametrize("watch_phase", [0.1, 0.3, 0.45, 0.55])
def test_a_large_change_is_in_force_in_time_on_a_slow_link(monkeypatch, watch_phase):
    """Guards against a 404 on a route that was confirmed seconds ago.

    The answer with the change takes longer than the time that is left to the watch, and
    every later read of it times out as well.
    """
    monkeypatch.setattr(ConfigurationFollower, "_watch_timeout_seconds", WATCH_SECONDS)
    applied_at_by_revision = {}

    async def apply(configuration, value):
        applied_at_by_revision[configuration.revision] = monotonic()

    async def main():
        async with StoreStandin() as store, SlowLink(store.address) as link:
            await store.put("config", "main", {"version": 1})
            client = ObjectStore(address=link.address, timeout=STORE_TIMEOUT_SECONDS)
            follower = ConfigurationFollower(
                platform=client,
                apply=apply,
                is_watcher=lambda: True,
                newest_revision=lambda: max(applied_at_by_revision, default=0),
            )
            tasks = [
                await curio.spawn(call_often, client, daemon=True),
                await curio.spawn(follower.run, daemon=True),
            ]
            while not follower.has_listed:
                await curio.sleep(0.01)
            await curio.sleep(watch_phase)
            await store.put("config", "main", large_configuration(2))
            written_at = monotonic()
            async with curio.ignore_after(IN_FORCE_SECONDS):
                while 2 not in applied_at_by_revision:
                    await curio.sleep(0.01)
            for task in tasks:
                await task.cancel()
            await client.close()
            return applied_at_by_revision.get(2, float("inf")) - written_at

    assert curio.run(main) <= IN_FORCE_SECONDS
