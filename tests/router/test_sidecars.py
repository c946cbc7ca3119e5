"""Tests of how long links to sidecars stay open."""

import curio
from curio.task import ContextTask
from deployments.ports import free_address
from msgspec.structs import replace

from ragwortkeel.configuration import Upstream, UpstreamKind
from ragwortkeel.router.sidecars import SidecarPool

UPSTREAM = Upstream(
    name="m1",
    back_end="assistant",
    kind=UpstreamKind.MODEL,
    sidecar_address=free_address(),
    zone="a",
)


async def ignore(_crash):
    return None


def run(main):
    with curio.Kernel(taskcls=ContextTask) as kernel:
        return kernel.run(main)


class TestSetUpstreams:
    def test_a_link_with_runs_in_flight_stays_open_after_its_upstream_is_removed(self):
        """Guards against a stream that stops when an operator retires its upstream.

        The router must not close the link while a run is in flight.
        """

        async def main():
            pool = SidecarPool(
                incarnation=lambda: "r1", revision=lambda: 1, on_crash=ignore
            )
            await pool.set_upstreams({"m1": UPSTREAM})
            reader = pool.subscribe("n", "m1")
            await pool.set_upstreams({})
            while_running = "m1" in pool.views_by_upstream, set(pool.removed_with_runs)
            pool.unsubscribe(reader)
            await pool.set_upstreams({})
            return while_running, dict(pool.views_by_upstream)

        while_running, after_run = run(main)
        assert while_running == (True, {"m1"})
        assert after_run == {}

    def test_the_link_to_a_former_address_is_closed_after_its_runs(self):
        """Guards against links that pile up as upstreams get new sidecars."""

        async def main():
            pool = SidecarPool(
                incarnation=lambda: "r1", revision=lambda: 1, on_crash=ignore
            )
            await pool.set_upstreams({"m1": UPSTREAM})
            reader = pool.subscribe("n", "m1")
            former = pool.views_by_upstream["m1"]
            moved = replace(UPSTREAM, sidecar_address=free_address())
            await pool.set_upstreams({"m1": moved})
            views = pool.view_of_run("n", "m1"), pool.view_of_run("other", "m1")
            while_running = (
                views[0] is former,
                views[1].link.address == moved.sidecar_address,
                set(pool.removed_with_runs),
                former.task.terminated,
            )
            pool.unsubscribe(reader)
            await pool.set_upstreams({"m1": moved})
            return while_running, set(pool.removed_with_runs), former.task.terminated

        while_running, removed, is_closed = run(main)
        assert while_running == (True, True, {"m1"}, False)
        assert (removed, is_closed) == (set(), True)
