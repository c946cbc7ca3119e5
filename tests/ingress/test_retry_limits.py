"""How many arrivals beyond the first of their request a service gets."""

import curio
from deployments.ports import free_address
from tests.ingress.in_process import plain, reset, run_ingress, stream_whole

from ragwortkeel.ingress.worker import RETRY_FRACTION, RETRY_RESERVE
from ragwortkeel.policy.retries import FLEET_RESERVE_RETRIES


async def sheds(seen, sock):
    answer = plain(seen, status="503 Full", proof=False, extra="x-not-run: 1")
    await sock.sendall(answer)
    return True


async def breaks(seen, sock):
    await reset(sock)
    return False


async def is_another(seen, sock):
    await sock.sendall(plain(seen, status="421 Misdirected", proof=False))
    return True


async def is_another_and_slow(seen, sock):
    await curio.sleep(0.2)
    return await is_another(seen, sock)


def arrivals(fleet, service):
    """Return how many requests all upstreams of a service got."""
    upstreams = fleet.upstreams.values()
    return sum(len(one.seen) for one in upstreams if one.service == service)


def test_requests_for_engines_pay_no_retries_of_the_plain_service():
    """Guards against a retry budget over all services of a process.

    Three quarters of the requests are for engines; the plain service alone turns all
    away, and gets the repeats that the engines' requests have earned.
    """
    filings = 40

    async def scenario(fleet):
        for i in range(filings):
            for j in range(3):
                await fleet.ask(f"/review/{i}-{j}")
            await fleet.ask(f"/filing/{i}")
        return arrivals(fleet, "app")

    scripts = {"e1": stream_whole} | dict.fromkeys(("u1", "u2", "u3"), sheds)
    repeats = run_ingress(scenario, scripts=scripts) - filings
    assert repeats <= RETRY_RESERVE + filings * RETRY_FRACTION


def test_requests_at_addresses_of_other_instances_are_repeated_within_the_budget():
    """Guards against repeats that nothing bounds after a loss of power.

    All entries are stale: each upstream that a request is sent to says that it is
    another instance, and each of these is an arrival there.
    """
    lookups = 36

    async def scenario(fleet):
        async with curio.TaskGroup() as group:
            for i in range(lookups):
                await group.spawn(fleet.ask, f"/lookup/{i}")
        return arrivals(fleet, "app")

    scripts = {f"u{i}": is_another for i in range(6)}
    scripts |= {f"u{i}": is_another_and_slow for i in range(6, 12)}
    repeats = run_ingress(scenario, scripts=scripts) - lookups
    assert repeats <= RETRY_RESERVE + lookups * RETRY_FRACTION


def test_a_series_of_starts_does_not_free_a_reserve_each():
    """Guards against retries that each start of a process has saved up anew.

    A process is killed again and again while its upstreams fail; the repeats of all
    its starts meet within the seconds in which the rule counts them.
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
