"""The links to sidecars: which are kept, and until when."""

import curio
from curio.task import ContextTask
from deployments.ports import free_address

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


class TestFollow:
    def test_a_link_with_runs_in_flight_outlives_its_upstreams_removal(self):
        """A stream stops in the middle when an operator retires its upstream.

        The router closed the link at once, with the run on it.
        """

        async def main():
            pool = SidecarPool(
                incarnation=lambda: "r1", revision=lambda: 1, on_crash=ignore
            )
            await pool.set_upstreams({"m1": UPSTREAM})
            reader = pool.subscribe("n", "m1")
            await pool.set_upstreams({})
            kept = "m1" in pool.views_by_upstream, set(pool.draining)
            pool.unsubscribe(reader)
            await pool.set_upstreams({})
            return kept, dict(pool.views_by_upstream)

        kept, left = run(main)
        assert kept == (True, {"m1"})
        assert left == {}
