"""How much of an engine's memory a process uses while others assign beside it."""

import pytest
from tests.ingress.builders import ENGINE, engine_service, job, upstream

from ragwortkeel.ingress.loads import NO_LOAD
from ragwortkeel.ingress.placement import Load, Placement
from ragwortkeel.policy.head_reservation import Reservation

POOL = engine_service("pool")
ENGINES = {"e0": upstream("e0", service="pool", slots=900)}


def processes(count, *, tokens, shares=True):
    """Return processes that each run one request of so many tokens at one engine."""
    rv = [Placement(zone="a", shares_memory=shares) for _ in range(count)]
    for index, placement in enumerate(rv):
        assert assign(placement, f"first{index}", tokens)
    exchange(rv)
    return rv


def exchange(placements):
    for node, sender in enumerate(placements):
        for peer in placements:
            if peer is not sender:
                peer.merge_loads(str(node), sender.own_loads(), 99.0)


def assign(placement, name, tokens, now=0.0):
    request = job(name, "pool", prompt=tokens)
    return placement.assign(request, service=POOL, upstream_by_name=ENGINES, now=now)


def assign_all(placements, tokens, now=2.0):
    """Assign as much as fits at each process, before any of them hears of it."""
    for placement in placements:
        for index in range(500):
            if assign(placement, f"r{index}", tokens, now) is None:
                break
    loads = [placement.own_loads()["e0"] for placement in placements]
    return sum(load.memory_tokens for load in loads)


@pytest.mark.parametrize("tokens", [100, 700, 4_000])
def test_processes_that_assign_beside_each_other_keep_within_the_memory(tokens):
    """Guards against engines that crash: each process took what was free for all."""
    running = processes(20, tokens=3_800)
    total = 0
    for now in (2.0, 4.0, 6.0):
        total = assign_all(running, tokens, now)
        exchange(running)
    assert total <= ENGINE.memory_tokens


def test_processes_without_a_request_there_keep_within_the_memory():
    """Guards against many processes that each assign one request at the same moment."""
    running = processes(1, tokens=80_000)
    running += [Placement(zone="a", shares_memory=True) for _ in range(20)]
    exchange(running)
    for now in (0.0, 2.0, 4.0):
        for node, placement in enumerate(running[1:]):
            assign(placement, f"r{node}", 4_000, now)
        loads = [placement.own_loads().get("e0", NO_LOAD) for placement in running]
        assert 80_000 < sum(load.memory_tokens for load in loads) <= 100_000
        exchange(running)


def test_a_process_that_assigns_alone_uses_all_that_is_free():
    """Guards against a small fleet that leaves memory unused."""
    assert assign_all(processes(1, tokens=4_000), 500) == 92_000


def test_below_the_shared_fill_nothing_is_divided():
    running = processes(20, tokens=1_000)
    assert assign_all(running[:1], 500) == 1_000 + 5_000


def test_a_process_may_always_replace_a_request_that_ended():
    """Guards against a full service that loses its throughput to the sharing."""
    running = processes(20, tokens=4_000)
    ended = assign(running[0], "r", 500)
    exchange(running)
    for index in range(20):
        running[0].release(ended)
        ended = assign(running[0], f"r{index}", 500)
        assert ended


def test_shares_are_used_again_once_peers_have_heard():
    """Guards against memory that stays unused after the first share of it."""
    running = processes(4, tokens=19_000)
    used = []
    for now in range(2, 40, 2):
        used.append(assign_all(running[:1], 500, float(now)))
        exchange(running)
    assert used[0] == 19_000 + 4_000
    assert used[-1] > 19_000 + 14_000


def test_a_process_without_a_request_there_may_assign_one():
    """Guards against a process whose share is below the size of any request."""
    placement = Placement(zone="a", shares_memory=True)
    for node in range(20):
        peer_load = Load(running=1, memory_tokens=4_000)
        placement.merge_loads(str(node), {"e0": peer_load}, 9.0)
    assert [bool(assign(placement, f"r{i}", 4_000)) for i in range(2)] == [True, False]


def test_without_the_setting_nothing_is_divided():
    running = processes(20, tokens=3_800, shares=False)
    assert assign_all(running[:1], 500) == 3_800 + 16_000


@pytest.mark.parametrize(("tokens", "claimed"), [(10_000, True), (3_900, False)])
def test_a_giant_request_gets_what_peers_leave_to_it(tokens, claimed):
    """Guards against a giant request that never starts among many processes.

    The requests of the others take what becomes free, and its share is too small.
    """
    placement = processes(20, tokens=3_800)[0]
    held = Reservation(
        service="pool",
        request_id="giant",
        priority=1,
        upstream="e0",
        memory_tokens=tokens,
        missing_tokens=1,
        queued_at=0.0,
        since_at=0.0,
    )
    for now in (0.05, 2.0):
        placement.claims.update(held, memory_tokens=ENGINE.memory_tokens, now=now)
    reported = placement.own_loads()["e0"].memory_tokens
    assert reported == 3_800 + tokens * claimed
    assert assign(placement, "giant", tokens, now=2.5) is None
    assert bool(assign(placement, "giant", tokens, now=3.1)) is claimed
