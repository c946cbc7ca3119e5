"""Answers of the store with objects that can't be read, among objects that can."""

from random import Random

import curio
import msgspec
import pytest
from tests.site.test_site_objects import CONFIG, SERVER

from ragwortkeel.exceptions import OutcomeUnknown, PlatformUnavailable
from ragwortkeel.httpio import HttpServer
from ragwortkeel.ingress.configuration import (
    CONFIGURATION_KIND,
    EVACUATIONS_KIND,
    UPSTREAMS_KIND,
    Upstream,
    decode_value,
)
from ragwortkeel_site.objects import ObjectStore

LEDGERS_KIND = "customer-ledgers"
DEEP = b"[" * 20_000 + b"]" * 20_000
BAD_VALUES = {
    "lone surrogate": b'"\\udcff"',
    "byte": b'"\xff"',
    "control": b'"\x01"',
    "escape": b'"\\q"',
    "deep": DEEP,
    "deep object": b'{"a":' * 20_000 + b"1" + b"}" * 20_000,
    "huge number": b"1" + b"0" * 5000,
    "huge exponent": b"1e99999",
    "not a number": b"NaN",
    "no value": b"",
    "word": b"yes",
}
KINDS = (CONFIGURATION_KIND, UPSTREAMS_KIND, EVACUATIONS_KIND, LEDGERS_KIND)


class _Store:
    answer = b""

    async def handle(self, request, responder):
        await responder.respond(200, self.answer)


def ask_often(call):
    """Run `call(client, store)`; the store answers the bytes in its `answer`."""

    async def main():
        store = _Store()
        server = HttpServer(host="127.0.0.1", port=0, handler=store.handle)
        server.open()
        task = await curio.spawn(server.serve, daemon=True)
        client = ObjectStore(address=f"127.0.0.1:{server.port}", timeout=2.0)
        try:
            return await call(client, store)
        finally:
            await client.close()
            await server.stop_accepting()
            await task.cancel()

    return curio.run(main)


def ask(answer, call):
    """Return what `call(client)` returns while the store answers these bytes."""

    async def call_with(client, store):
        store.answer = answer
        return await call(client)

    return ask_often(call_with)


def document(name, spec, revision=7):
    """Return the bytes of an object whose `spec` is any bytes."""
    metadata = msgspec.json.encode({"name": name, "revision": revision})
    return b'{"metadata":' + metadata + b',"spec":' + spec + b"}"


def bad_server(value):
    """Return the bytes of an entry whose zone is any bytes."""
    fields = msgspec.json.encode(SERVER | {"zone": "Z"})
    return fields.replace(b'"Z"', value)


@pytest.mark.parametrize("value", BAD_VALUES.values(), ids=BAD_VALUES)
class TestUnreadableValues:
    def sound(self, kind):
        return msgspec.json.encode(CONFIG if kind == CONFIGURATION_KIND else SERVER)

    @pytest.mark.parametrize("kind", KINDS)
    def test_a_listing_has_the_others(self, value, kind):
        """Guards against a process without upstreams because of one entry."""
        items = [
            document("a", self.sound(kind), 5),
            document("b", bad_server(value)),
            document("c", self.sound(kind), 6),
        ]
        answer = b'{"items":[' + b",".join(items) + b'],"hasMore":false,"at":9}'
        listing = ask(answer, lambda client: client.list(kind))
        assert listing.revision == 9
        assert {"a", "c"} <= listing.by_name.keys()
        assert listing.by_name["a"].value != b"null"

    @pytest.mark.parametrize("kind", KINDS)
    def test_a_watch_has_the_other_changes(self, value, kind):
        """Guards against a process that learns of no change because of one entry."""
        events = [
            b'{"object":' + document("a", self.sound(kind), 8) + b"}",
            b'{"object":' + document("b", bad_server(value), 9) + b',"deleted":false}',
            b'{"object":' + document("c", b"null", 9) + b',"deleted":true}',
        ]
        answer = b'{"events":[' + b",".join(events) + b'],"at":9}'
        changes = ask(answer, lambda client: client.watch(kind, 1, 0.1))
        assert (changes.revision, changes.gap) == (9, False)
        assert [change.name for change in changes.changes] == ["a", "b", "c"]
        assert changes.changes[2].stored is None

    def test_an_entry_names_no_upstream(self, value):
        answer = b'{"items":[' + document("b", bad_server(value)) + b'],"at":9}'
        listing = ask(answer, lambda client: client.list(UPSTREAMS_KIND))
        assert listing.by_name["b"].value == b"null"

    @pytest.mark.parametrize("kind", KINDS)
    def test_a_single_object_is_read_or_unavailable(self, value, kind):
        async def get(client):
            try:
                return await client.get(kind, "b")
            except PlatformUnavailable:
                return None

        found = ask(document("b", bad_server(value)), get)
        assert found is None or found.name == "b"


@pytest.mark.parametrize(
    "answer",
    [b"", b"{", b'{"items":[', b'{"items":{},"events":{}}', b"[]", DEEP, b'{"items":"'],
)
@pytest.mark.parametrize("operation", ["list", "watch", "get"])
def test_an_answer_that_is_no_answer_is_an_outage(answer, operation):
    """Guards against the end of a process by an answer that is nested deep."""

    async def call(client):
        with pytest.raises(PlatformUnavailable):
            match operation:
                case "list":
                    await client.list(UPSTREAMS_KIND)
                case "watch":
                    await client.watch(UPSTREAMS_KIND, 1, 0.1)
                case "get":
                    await client.get(UPSTREAMS_KIND, "a")

    ask(answer, call)


def test_an_unreadable_name_leaves_the_others():
    unnamed = b'{"metadata":{"name":"\\udcff","revision":4},"spec":{}}'
    items = unnamed + b"," + document("c", msgspec.json.encode(SERVER))
    answer = b'{"items":[' + items + b'],"at":9}'
    listing = ask(answer, lambda client: client.list(UPSTREAMS_KIND))
    assert list(listing.by_name) == ["c"]
    assert decode_value(listing.by_name["c"].value, Upstream).zone == SERVER["zone"]


class TestFuzz:
    """Answers in which one object has random bytes, on each call and for each kind."""

    COUNT = 300

    def mutated(self, draw, kind):
        """Return the bytes of a sound object with random changes within its value."""
        spec = CONFIG if kind == CONFIGURATION_KIND else SERVER
        spec = bytearray(msgspec.json.encode(spec))
        for _ in range(draw.randint(1, 4)):
            place = draw.randrange(1, len(spec) - 1)
            match draw.randrange(4):
                case 0:
                    spec[place] = draw.choice(b'\x00\xff0-9"e.:,xt')
                case 1:
                    del spec[place]
                case 2:
                    spec[place:place] = draw.choice(list(BAD_VALUES.values()))
                case _:
                    del spec[place : place + draw.randint(1, 40)]
        return document("b", bytes(spec))

    @pytest.mark.parametrize("kind", KINDS)
    @pytest.mark.parametrize("operation", ["list", "watch", "get", "write"])
    def test_the_sound_rest_holds_or_the_answer_is_an_outage(self, kind, operation):
        """Guards against an error of one object that no caller expects."""
        draw = Random(f"{kind} {operation}")
        sound = document("a", msgspec.json.encode(SERVER), 5)
        kept = []

        async def call(client, store):
            for _ in range(self.COUNT):
                bad = self.mutated(draw, kind)
                store.answer = {
                    "list": b'{"items":[' + sound + b"," + bad + b'],"at":9}',
                    "watch": b'{"events":[{"object":'
                    + sound
                    + b'},{"object":'
                    + bad
                    + b'}],"at":9}',
                }.get(operation, bad)
                try:
                    kept.append(await self.operate(client, operation, kind))
                except (PlatformUnavailable, OutcomeUnknown):
                    kept.append(None)

        ask_often(call)
        if operation in ("list", "watch"):
            assert kept.count("a") > self.COUNT / 2

    async def operate(self, client, operation, kind):
        match operation:
            case "list":
                return "a" if "a" in (await client.list(kind)).by_name else "none"
            case "watch":
                changes = await client.watch(kind, 1, 0.1)
                return "a" if changes.gap or changes.changes[0].name == "a" else "none"
            case "get":
                found = await client.get(kind, "b")
                return found and found.name
            case _:
                return await client.update(kind, "b", b"{}", 1)
