"""The number of repeated requests that arrive at a service."""

import curio
from deployments.ports import free_address
from tests.ingress.in_process import plain, reset, run_ingress, stream_whole

from ragwortkeel.ingress.worker import RETRY_FRACTION, RETRY_RESERVE
from ragwortkeel.policy.retries import FLEET_RESERVE_RETRIES


async def rejects(seen, sock):
    answer = plain(seen, status="503 Full", proof=False, extra="x-not-run: 1")
    await sock.sendall(answer)
    return True


async def breaks(seen, sock):
    await reset(sock)
    return False


async def is_other_instance(seen, sock):
    await sock.sendall(plain(seen, status="421 Misdirected", proof=False))
    return True


async def is_slow_other_instance(seen, sock):
    await curio.sleep(0.2)
    return await is_other_instance(seen, sock)


def arrivals(fleet, service):
    """Return the number of requests that all upstreams of a service received."""
    upstreams = fleet.upstreams.values()
    return sum(len(one.seen) for one in upstreams if one.service == service)


def test_requests_for_engines_earn_no_retries_for_a_plain_service():
    """Guards against one retry budget for all services of a process.

    Three quarters of the requests are for engines.  The plain service rejects all of
    its requests and must not get the retries that the engines' requests earned.
    """
    filings = 40

    async def scenario(fleet):
        for i in range(filings):
            for j in range(3):
                await fleet.ask(f"/review/{i}-{j}")
            await fleet.ask(f"/filing/{i}")
        return arrivals(fleet, "app")

    scripts = {"e1": stream_whole} | dict.fromkeys(("u1", "u2", "u3"), rejects)
    repeats = run_ingress(scenario, scripts=scripts) - filings
    assert repeats <= RETRY_RESERVE + filings * RETRY_FRACTION


def test_sends_to_replaced_instances_are_repeated_within_the_budget():
    """Guards against unbounded repeats after a power loss.

    All entries are stale: each upstream that a request is sent to responds that it is
    another instance, and each of these sends loads it.
    """
    lookups = 36

    async def scenario(fleet):
        async with curio.TaskGroup() as group:
            for i in range(lookups):
                await group.spawn(fleet.ask, f"/lookup/{i}")
        return arrivals(fleet, "app")

    scripts = {f"u{i}": is_other_instance for i in range(6)}
    scripts |= {f"u{i}": is_slow_other_instance for i in range(6, 12)}
    repeats = run_ingress(scenario, scripts=scripts) - lookups
    assert repeats <= RETRY_RESERVE + lookups * RETRY_FRACTION


def test_a_series_of_starts_does_not_add_up_their_reserves():
    """Guards against a full retry reserve at each start of a process.

    A process is killed repeatedly while its upstreams fail.  The repeats of all its
    starts fall into the seconds in which they are counted together.
    """
    starts, lookups = 8, 6

    async def scenario(fleet):
        for i in range(starts):
            link = free_address()
            worker = await fleet.start_worker(f"again-{i}", link, (link,))
            while not fleet.is_ready(worker):
                await curio.sleep(0.01)
            process = len(fleet.workers) - 1
            for j in range(lookups):
                await fleet.ask(f"/lookup/{i}-{j}", process=process)
            await fleet.tasks[-1].cancel()
        return arrivals(fleet, "app")

    scripts = dict.fromkeys(("u1", "u2", "u3"), breaks)
    sent = starts * lookups
    repeats = run_ingress(scenario, scripts=scripts) - sent
    assert repeats <= FLEET_RESERVE_RETRIES + sent * RETRY_FRACTION
