"""Blocks of a prompt that crash each engine that begins to answer them."""

import pytest
from tests.ingress.crashing_pool import (
    SOUND_BLOCKS,
    STABLE_SECONDS,
    CrashingPool,
    Load,
    run_loads,
)

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
            return before, sound.served_share(pool.crashed_at[4] + 2 * STABLE_SECONDS)

        before, after = CrashingPool().run(scenario, processes=3)
        assert after >= before / 2
        assert after > 0.9
