"""Blocks of a prompt that crash each engine that begins to answer them."""

import curio
import msgspec
import pytest
from deployments.ports import free_address
from tests.ingress.crashing_pool import (
    RESTART_SECONDS,
    SOUND_BLOCKS,
    STABLE_SECONDS,
    CrashingPool,
    Load,
    run_loads,
)
from tests.ingress.in_process import SETTLED_SECONDS

from ragwortkeel.ingress.block_store import BLOCKS_KIND

MAX_LATE_ARRIVALS = 3
"""The users' rule on requests that reach engines after it is known what they do."""

BAD_IN_THE_MIDDLE = "common:800,bad:400,own{number}:50"
LOAD_SECONDS = 6.0


def _loads(fleet, *bad_blocks):
    sound = Load(fleet=fleet, per_second=20, blocks=SOUND_BLOCKS)
    bad = [Load(fleet=fleet, per_second=4, blocks=blocks) for blocks in bad_blocks]
    return sound, bad


async def _run(fleet, *bad_blocks, seconds=LOAD_SECONDS):
    sound, bad = _loads(fleet, *bad_blocks)
    await sound.run(1.0)
    await run_loads(sound, *bad, seconds=seconds)
    return sound


async def _ask_with_bad_block(fleet, *, process):
    return await fleet.ask(
        "/chat/1", process=process, x_prompt_parts="common:800,bad:400,new:50"
    )


async def _forget_stored(fleet):
    """Delete the stored decisions, so that only peers know of them."""
    listing = await fleet.platform.list(BLOCKS_KIND)
    assert listing.by_name
    for name, stored in listing.by_name.items():
        await fleet.platform.delete(BLOCKS_KIND, name, stored.version)


class TestRequests:
    @pytest.mark.parametrize(
        "blocks",
        [
            BAD_IN_THE_MIDDLE,
            "bad:400,common:800,own{number}:50",
            "common:800,other{number}:70,bad:400,own{number}:50",
        ],
        ids=["in the middle", "first", "behind blocks that differ"],
    )
    def test_new_requests_with_a_block_that_crashes_engines_are_refused(self, blocks):
        """Guards against engines that crash under ever new requests with one block."""

        async def scenario(fleet, pool):
            await _run(fleet, blocks)
            return pool.late_arrivals()

        pool = CrashingPool()
        assert pool.run(scenario, processes=3) <= MAX_LATE_ARRIVALS
        assert len(pool.crashed_at) >= 3

    def test_a_block_is_found_that_crashes_engines_before_their_first_event(self):
        """Guards against crashes that count only once a response has begun."""

        async def scenario(fleet, pool):
            await _run(fleet, BAD_IN_THE_MIDDLE)
            return pool.late_arrivals()

        pool = CrashingPool(written_events=0)
        assert pool.run(scenario, processes=3) <= MAX_LATE_ARRIVALS

    @pytest.mark.parametrize(
        ("engines", "loads"), [(4, 1), (9, 8)], ids=["few engines", "32 a second"]
    )
    def test_a_block_is_found_while_hardly_an_engine_is_left(self, engines, loads):
        """Guards against a search that needs answers from engines that all crash."""

        async def scenario(fleet, pool):
            await _run(fleet, *[BAD_IN_THE_MIDDLE] * loads)
            return pool.late_arrivals()

        pool = CrashingPool(size=engines)
        assert pool.run(scenario, processes=3) <= MAX_LATE_ARRIVALS

    def test_two_blocks_that_crash_engines_are_both_found(self):
        """Guards against a search that ends at the first of two such blocks."""

        async def scenario(fleet, pool):
            await _run(fleet, BAD_IN_THE_MIDDLE, BAD_IN_THE_MIDDLE.replace("bad", "b2"))
            return pool.late_arrivals()

        pool = CrashingPool(bad=("bad", "b2"))
        assert pool.run(scenario, processes=3) <= MAX_LATE_ARRIVALS

    def test_sound_requests_with_the_same_first_block_are_served(self):
        """Guards against a sound block that is blamed for what its neighbour does."""

        async def scenario(fleet, pool):
            sound = await _run(fleet, BAD_IN_THE_MIDDLE, seconds=9.0)
            before = sound.served_share(0.0, pool.crashed_at[0] - 0.5)
            return before, sound.served_share(pool.known_at + 2 * STABLE_SECONDS)

        before, after = CrashingPool().run(scenario, processes=3)
        assert after >= before / 2
        assert after > 0.9


class TestOtherProcesses:
    def test_a_process_that_starts_later_refuses_the_block(self):
        """Guards against a restarted process that begins to crash engines anew."""

        async def scenario(fleet, pool):
            await _run(fleet, BAD_IN_THE_MIDDLE, seconds=1.0)
            await curio.sleep(RESTART_SECONDS)
            crashes = len(pool.crashed_at)
            link = free_address()
            links = (*(worker._settings.address for worker in fleet.workers), link)
            await _forget_stored(fleet)
            await fleet.start_worker("late", link, links)
            await curio.sleep(SETTLED_SECONDS)
            answer = await _ask_with_bad_block(fleet, process=-1)
            return answer, len(pool.crashed_at) - crashes

        answer, crashes = CrashingPool().run(scenario, processes=3)
        assert (answer.status, msgspec.json.decode(answer.body)["reason"]) == (
            503,
            "quarantined",
        )
        assert crashes == 0

    def test_a_process_without_links_learns_of_the_block_by_its_first_crash(self):
        """Guards against crashes under a process that reaches the platform only."""

        async def scenario(fleet, pool):
            link = free_address()
            await fleet.start_worker("alone", link, (link,))
            alone = len(fleet.addresses) - 1
            others = fleet.addresses[:alone]
            whole, fleet.addresses = fleet.addresses, others
            await _run(fleet, BAD_IN_THE_MIDDLE, seconds=1.0)
            fleet.addresses = whole
            await curio.sleep(RESTART_SECONDS)
            await _ask_with_bad_block(fleet, process=alone)
            await curio.sleep(0.5)
            crashes = len(pool.crashed_at)
            answer = await _ask_with_bad_block(fleet, process=alone)
            return answer, len(pool.crashed_at) - crashes

        answer, crashes = CrashingPool(written_events=0).run(scenario, processes=3)
        assert (answer.status, msgspec.json.decode(answer.body)["reason"]) == (
            503,
            "quarantined",
        )
        assert crashes == 0

    def test_the_block_is_refused_after_a_restart_of_all_processes(self):
        """Guards against a loss of power after which no process knows of the block."""

        async def scenario(fleet, pool):
            await _run(fleet, BAD_IN_THE_MIDDLE, seconds=1.0)
            await curio.sleep(RESTART_SECONDS)
            crashes = len(pool.crashed_at)
            for task in fleet.tasks:
                await task.cancel()
            link = free_address()
            await fleet.start_worker("again", link, (link,))
            await curio.sleep(SETTLED_SECONDS)
            answer = await _ask_with_bad_block(fleet, process=-1)
            return answer, len(pool.crashed_at) - crashes

        answer, crashes = CrashingPool().run(scenario, processes=3)
        assert (answer.status, msgspec.json.decode(answer.body)["reason"]) == (
            503,
            "quarantined",
        )
        assert crashes == 0


class TestSecondRuns:
    def test_a_suspect_request_is_not_sent_to_a_second_engine(self):
        """Guards against two crashes for each request, as long as nothing is proved."""

        async def scenario(fleet, pool):
            first = await _ask_with_bad_block(fleet, process=0)
            await curio.sleep(0.2)
            after_first = len(pool.bad_at)
            second = await fleet.ask(
                "/chat/1", body=b"other", x_prompt_parts="common:800,bad:400,other:9"
            )
            return (first.status, second.status), after_first, len(pool.bad_at)

        pool = CrashingPool(written_events=0)
        statuses, after_first, after_second = pool.run(scenario)
        assert statuses == (502, 502)
        assert (after_first, after_second) == (2, 3)
