"""Objects of other writers in the platform, beside those of a sound deployment."""

import curio
import msgspec
import pytest
from deployments.ports import free_address
from tests.ingress.builders import upstream
from tests.ingress.in_process import SETTLED_SECONDS, run_ingress

from ragwortkeel.exceptions import ConfigurationUnreadable
from ragwortkeel.ingress.block_store import BLOCKS_KIND
from ragwortkeel.ingress.configuration import (
    EVACUATIONS_KIND,
    UPSTREAMS_KIND,
    Upstream,
    decode_value,
)

DEEP = b'{"a":' * 20_000 + b"1" + b"}" * 20_000
ENTRY = msgspec.json.encode(upstream("foreign", service="app", port=9))
VALUES = (
    b"",
    b"null",
    b"[]",
    b"\xff\xfe",
    b'"\\udcff"',
    DEEP,
    ENTRY[:-1],
    ENTRY.replace(b'"zone":"a"', b'"zone":"\xff"'),
    ENTRY.replace(b'"zone":"a"', b'"zone":"\\udcff"'),
    ENTRY.replace(b'"zone":"a"', b'"zone":"a","more":' + DEEP),
    ENTRY.replace(b'"port":9', b'"port":1' + b"0" * 400),
    ENTRY.replace(b'"slots":6', b'"slots":-1'),
    ENTRY.replace(b'"slots":6', b'"slots":6' + b"0" * 400),
    ENTRY.replace(b'"born":0', b'"born":9' + b"0" * 400),
)
BLOCK = b'{"block":"b","stamp":1' + b"0" * 400 + b"}"


@pytest.mark.parametrize("value", VALUES, ids=range(len(VALUES)))
def test_an_unreadable_value_has_one_error(value):
    """Guards against a process that ends by the bytes of one object."""
    with pytest.raises(ConfigurationUnreadable):
        decode_value(value, Upstream)


async def write_all(fleet):
    """Write objects of another writer, one of each kind and value."""
    for kind in (UPSTREAMS_KIND, BLOCKS_KIND):
        for number, value in enumerate(VALUES):
            await fleet.write(kind, f"foreign-{number}", value)
    await fleet.write(BLOCKS_KIND, "b", BLOCK)
    await fleet.write(EVACUATIONS_KIND, "no zone", b"\xff")


class TestFleet:
    async def answers(self, fleet, process=0):
        return [
            (await fleet.ask("/lookup/1", process=process)).status for _ in range(3)
        ]

    def test_it_serves_in_steady_state_and_after_a_start(self):
        """Guards against a fleet that one foreign object stops."""

        async def scenario(fleet):
            await write_all(fleet)
            await curio.sleep(SETTLED_SECONDS)
            found = await self.answers(fleet)
            link = free_address()
            late = await fleet.start_worker("ingress-1", link, (*fleet.links, link))
            while not late.ready:
                await curio.sleep(0.01)
            found += await self.answers(fleet, process=1)
            return found, [task.terminated for task in fleet.tasks]

        statuses, ended = run_ingress(scenario)
        assert statuses == [200] * 6
        assert not any(ended)
