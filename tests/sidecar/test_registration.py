"""Registration: order against seals, fencing numbers and lost answers."""

import curio
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from sidecar_setup import run

from ragwortkeel.configuration import NODES, SEALS, Node
from ragwortkeel.exceptions import PlatformError
from ragwortkeel.sidecar.registration import deregister, is_registered, register
from ragwortkeel.standins.local_platform import LocalPlatform


def node(incarnation="s1-a"):
    return Node(
        incarnation=incarnation,
        role="sidecar",
        zone="maule-1",
        address="127.0.0.1:1",
        http_address="127.0.0.1:2",
        upstream="u1",
    )


async def insist(call):
    """Repeat a call until the platform accepts it, as the registrar does."""
    while True:
        try:
            return await call()
        except PlatformError:
            await curio.sleep(0)


class Delayed:
    """A platform that executes the calls of one client in the order of a schedule."""

    def __init__(self, platform, schedule, client):
        self.platform, self.schedule, self.client = platform, schedule, client

    def __getattr__(self, name):
        async def call(*args):
            while self.schedule and self.schedule[0] != self.client:
                await curio.sleep(0)
            if self.schedule:
                self.schedule.pop(0)
            return await getattr(self.platform, name)(*args)

        return call


class TestOrderAgainstSeals:
    @given(st.lists(st.sampled_from(["sealer", "sidecar"]), max_size=8))
    def test_sealer_sees_the_sidecar_or_the_sidecar_the_seal(self, turns):
        """A router is sealed while a sidecar starts, with calls in any order.

        If neither saw the other, the sealed router could resume and spend tokens
        at the new sidecar that were given back to the budget.
        """

        async def seal(platform):
            await platform.create(SEALS, "router-a", b"{}")
            return (await platform.list(NODES)).by_name

        async def main():
            platform, schedule = LocalPlatform(), list(turns)
            sealer = await curio.spawn(seal, Delayed(platform, schedule, "sealer"))
            joiner = Delayed(platform, schedule, "sidecar")
            joining = await curio.spawn(register, joiner, node())
            async with curio.timeout_after(0.5):
                # Once one side has finished, the other runs unscheduled.
                while not (sealer.terminated and joining.terminated):
                    if sealer.terminated or joining.terminated:
                        schedule.clear()
                    await curio.sleep(0)
            return await sealer.join(), await joining.join()

        registered, registration = run(main)
        assert "s1-a" in registered or "router-a" in registration.sealed


class TestFencingNumbers:
    @pytest.mark.parametrize("lost", [0, 1, 2])
    def test_each_start_gets_a_higher_number_despite_lost_answers(self, lost):
        async def main():
            platform, numbers = LocalPlatform(), []
            for incarnation in ("s1-a", "s1-b", "s1-c"):
                platform.switches.lost_answers = lost
                joining = node(incarnation)
                again = [
                    await insist(lambda j=joining: register(platform, j))
                    for _ in range(2)
                ]
                assert again[0].fencing_number == again[1].fencing_number
                numbers.append(again[0].fencing_number)
            return numbers

        assert run(main) == [1, 2, 3]


class TestLeaving:
    def test_deregistration_removes_the_entry_and_may_be_repeated(self):
        async def main():
            platform = LocalPlatform()
            await register(platform, node())
            assert await is_registered(platform, node())
            await deregister(platform, node())
            await deregister(platform, node())
            return (await platform.list(NODES)).by_name

        assert run(main) == {}

    def test_entry_contains_the_registered_node(self):
        async def main():
            platform = LocalPlatform()
            await register(platform, node())
            stored = await platform.get(NODES, "s1-a")
            return msgspec.json.decode(stored.value, type=Node)

        assert run(main) == node()
