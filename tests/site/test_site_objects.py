"""Tests of the adapter to the users' object store, over HTTP with a stand-in."""

import curio
import msgspec
import pytest
from tests.site.store_standin import StoreStandin

from ragwortkeel.exceptions import (
    AlreadyExists,
    ObjectNotFound,
    OutcomeUnknown,
    PlatformUnavailable,
    VersionConflict,
)
from ragwortkeel.ingress.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    EVACUATIONS_KIND,
    UPSTREAMS_KIND,
    IngressConfiguration,
    Upstream,
    UpstreamState,
    decode_value,
)
from ragwortkeel_site.objects import ObjectStore

KIND = "customer-ledgers"
SERVER = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "maule-a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "born": 1773839388573,
    "newField": {"a": 1},
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "pathPrefix": "/x/",
            "kind": "stream",
            "timeoutMs": 15000,
            "targetLatencyMs": 1000,
            "priority": 1,
            "trafficSplit": [
                {"service": "new", "weight": 90},
                {"service": "old", "weight": 10},
            ],
            "maxAttempts": 1,
            "public": False,
            "sessionAffinity": True,
            "resumable": False,
            "gapTargetMs": 600,
            "allowedRegions": ["maule"],
        },
        {
            "name": "r-2",
            "host": "a.example",
            "pathPrefix": "/y/",
            "kind": "non_idempotent",
            "timeoutMs": 800,
            "targetLatencyMs": 200,
            "service": "old",
        },
    ],
    "services": [
        {
            "name": "new",
            "maxConnections": 360,
            "coldS": 3.0,
            "coldPerS": 10.0,
            "engine": {"slots": 64, "kvCapacityTokens": 508599, "stride": 6},
        },
        {"name": "old", "maxConnections": 96},
    ],
    "limits": {
        "maxBodyBytes": 1000,
        "idleTimeoutMs": 15000,
        "maxHeaderBytes": 2000,
        "headerTimeoutMs": 3000,
    },
    "tenants": [
        {
            "name": "hule930",
            "apiKeys": ["k1", "k2"],
            "priority": 1,
            "prepaid": 1365267,
            "allowedRegions": None,
        }
    ],
}


def run_with_store(scenario):
    async def main():
        async with StoreStandin() as store:
            client = ObjectStore(address=store.address, timeout=0.5)
            try:
                return await scenario(client, store)
            finally:
                await client.close()

    return curio.run(main)


class TestObjects:
    def test_writes_are_conditional_and_versions_increase(self):
        async def scenario(client, store):
            first = await client.create(KIND, "a b/c", b'{"n":1}')
            second = await client.update(KIND, "a b/c", b'{"n":2}', first)
            assert second > first
            with pytest.raises(VersionConflict):
                await client.update(KIND, "a b/c", b'{"n":3}', first)
            with pytest.raises(AlreadyExists):
                await client.create(KIND, "a b/c", b"{}")
            found = await client.get(KIND, "a b/c")
            assert (found.value, found.version) == (b'{"n":2}', second)
            await client.delete(KIND, "a b/c", second)
            assert await client.get(KIND, "a b/c") is None
            with pytest.raises(ObjectNotFound):
                await client.update(KIND, "a b/c", b"{}", second)

        run_with_store(scenario)

    def test_list_reads_all_pages(self):
        async def scenario(client, store):
            for i in range(5):
                await client.create(KIND, f"n{i}", b"{}")
            listing = await client.list(KIND)
            assert sorted(listing.by_name) == [f"n{i}" for i in range(5)]
            assert listing.revision == store.local.revision

        run_with_store(scenario)

    def test_watch_reports_changes_and_deletions(self):
        async def scenario(client, store):
            start = (await client.list(KIND)).revision
            version = await client.create(KIND, "n", b"{}")
            await client.delete(KIND, "n", version)
            changes = await client.watch(KIND, start, 0.2)
            assert [change.stored is None for change in changes.changes] == [
                False,
                True,
            ]
            assert changes.revision == store.local.revision

        run_with_store(scenario)

    def test_an_event_that_cannot_be_read_is_a_gap(self):
        """Guards against a change that a process passes over for good."""

        async def scenario(client, store):
            start = await client.create(KIND, "a", b"{}")
            await client.update(KIND, "a", b"[]", start)
            store.garbled = True
            assert (await client.watch(KIND, start, 0.2)).gap

        run_with_store(scenario)

    def test_watch_of_discarded_history_reports_a_gap(self):
        async def scenario(client, store):
            store.lost_history = True
            assert (await client.watch(KIND, 1, 0.1)).gap

        run_with_store(scenario)


class TestFailures:
    @pytest.mark.parametrize("status", [429, 503, 500])
    def test_refused_read_raises_platform_unavailable(self, status):
        async def scenario(client, store):
            store.refuse_with = status
            with pytest.raises(PlatformUnavailable):
                await client.get(KIND, "n")

        run_with_store(scenario)

    @pytest.mark.parametrize("status", [429, 503])
    def test_refused_write_raises_platform_unavailable(self, status):
        async def scenario(client, store):
            store.refuse_with = status
            with pytest.raises(PlatformUnavailable):
                await client.create(KIND, "n", b"{}")

        run_with_store(scenario)

    def test_write_without_answer_raises_outcome_unknown(self):
        """Guards against drawing a budget twice after the first answer was lost."""

        async def scenario(client, store):
            store.local.switches.lost_answers = 1
            with pytest.raises(OutcomeUnknown):
                await client.create(KIND, "n", b"{}")
            assert await client.get(KIND, "n") is not None

        run_with_store(scenario)


class TestTranslation:
    def test_server_becomes_an_upstream(self):
        async def scenario(client, store):
            await store.put("servers", "i-1", SERVER)
            listing = await client.list(UPSTREAMS_KIND)
            return decode_value(listing.by_name["i-1"].value, Upstream)

        assert run_with_store(scenario) == Upstream(
            name="i-1",
            service="huvo11a",
            host="10.128.0.9",
            port=8080,
            zone="maule-a",
            slots=64,
            state=UpstreamState.READY,
            started_ms=1773839388573,
            version="v1",
        )

    @pytest.mark.parametrize(
        ("milliseconds", "seconds"), [(2500, 2.5), (-3, 0.0), (1e15, 1e12)]
    )
    def test_cold_time_is_converted_to_seconds(self, milliseconds, seconds):
        """Guards against dropping a server for a negative or huge cold time."""

        async def scenario(client, store):
            entry = SERVER | {"coldRemainingMs": milliseconds}
            await store.put("servers", "i-1", entry)
            listing = await client.list(UPSTREAMS_KIND)
            return decode_value(listing.by_name["i-1"].value, Upstream)

        assert run_with_store(scenario).cold_seconds == seconds

    def test_evacuation_is_named_after_its_zone(self):
        async def scenario(client, store):
            await store.put("evacuations", "maule-b", None)
            return (await client.list(EVACUATIONS_KIND)).by_name

        assert set(run_with_store(scenario)) == {"maule-b"}

    @pytest.mark.parametrize(
        "spec",
        [
            None,
            [],
            "text",
            SERVER | {"state": "warm"},
            SERVER | {"address": 5},
            SERVER | {"address": "10.0.0.1"},
            SERVER | {"slots": "many"},
            SERVER | {"coldRemainingMs": "long"},
            {"service": "huvo11a"},
            *(
                {key: value for key, value in SERVER.items() if key != name}
                for name in SERVER
                if name not in ("born", "newField")
            ),
            *({**SERVER, name: {}} for name in SERVER if name != "newField"),
            *(
                SERVER | {"address": address}
                for address in (
                    "10.0.0.1:0",
                    "10.0.0.1:65536",
                    "10.0.0.1:-1",
                    "10.0.0.1:99999999999999999999",
                    "10.0.0.1:\u0663",
                    "10.0.0.1: 80",
                    ":8080",
                    "10.0.0:8080",
                    "no host:8080",
                )
            ),
            *(SERVER | {"slots": slots} for slots in (0, -1, 2**40, 1.5, True)),
            *(SERVER | {"born": born} for born in (-1, 2**62, "now", None)),
            SERVER | {"newField": "x" * 70_000},
        ],
    )
    def test_invalid_server_becomes_null_and_the_others_are_decoded(self, spec):
        async def scenario(client, store):
            await store.put("servers", "i-0", spec)
            await store.put("servers", "i-1", SERVER)
            listing = await client.list(UPSTREAMS_KIND)
            return {name: stored.value for name, stored in listing.by_name.items()}

        values = run_with_store(scenario)
        assert values["i-0"] == b"null"
        assert decode_value(values["i-1"], Upstream).name == "i-1"

    def test_configuration_is_converted_completely(self):
        async def scenario(client, store):
            await store.put("config", CONFIGURATION_NAME, CONFIG)
            stored = await client.get(CONFIGURATION_KIND, CONFIGURATION_NAME)
            return decode_value(stored.value, IngressConfiguration)

        found = run_with_store(scenario)
        assert found.revision == 7
        first, second = found.routes
        assert [split.weight for split in first.splits] == [90, 10]
        assert (first.timeout_seconds, first.gap_seconds) == (15.0, 0.6)
        assert [split.service for split in second.splits] == ["old"]
        assert found.services[0].engine.event_tokens == 6
        assert found.customers[0].keys == ("k1", "k2")
        assert found.customers[0].prepaid == 1365267
        assert found.limits.idle_seconds == 15.0
        assert found.limits.max_head_bytes == 2000
        assert found.limits.head_seconds == 3.0
        assert (first.homes, second.homes) == (("maule",), ())
        assert found.customers[0].homes == ()
        assert found.services[0].cold_seconds == 3.0
        assert found.services[0].cold_per_second == 10.0
        assert found.services[1].cold_per_second == 0.0

    def test_invalid_configuration_becomes_null(self):
        async def scenario(client, store):
            spec = msgspec.json.decode(msgspec.json.encode(CONFIG))
            spec["routes"][1].pop("service")
            await store.put("config", CONFIGURATION_NAME, spec)
            return await client.get(CONFIGURATION_KIND, CONFIGURATION_NAME)

        assert run_with_store(scenario).value == b"null"
