"""Which prompt blocks peers send to a process whose links have come up.

Guards against callers that wait for seconds after a partition between two availability
zones: each process sends each peer whose link comes up all prompt blocks that it knows,
50 KB per peer, and fills the links of small instances.  The configuration has the same
pattern, see test_configuration_spread.py.
"""

import curio
from deployments.ports import free_address
from tests.ingress.in_process import SETTLED_SECONDS, run_ingress

from ragwortkeel.links import LinkUp

PROMPT_BLOCKS = dict.fromkeys(range(1, 50), 100)


def record_upstreams(worker):
    """Return a list that grows by the upstream of each set of blocks it receives."""
    upstreams = []
    taken = worker.merge_prompt_blocks

    def heard(upstream, tokens_by_prefix_hash):
        upstreams.append(upstream)
        taken(upstream, tokens_by_prefix_hash)

    worker.merge_prompt_blocks = heard
    return upstreams


class TestAProcessThatStarts:
    def test_one_peer_sends_it_the_prompt_blocks(self):
        async def scenario(fleet):
            await curio.sleep(SETTLED_SECONDS)
            for worker in fleet.workers:
                worker.merge_prompt_blocks("e1", PROMPT_BLOCKS)
            links = tuple(worker._settings.address for worker in fleet.workers)
            late = await fleet.start_worker("ingress-late", free_address(), links)
            upstreams = record_upstreams(late)
            await curio.sleep(SETTLED_SECONDS)
            return upstreams, late.all_prompt_blocks()

        upstreams, blocks_by_upstream = run_ingress(scenario, processes=4)
        assert blocks_by_upstream["e1"] == PROMPT_BLOCKS
        assert upstreams == ["e1"]


class TestAProcessWhoseLinksComeUpAgain:
    def test_no_peer_sends_it_the_prompt_blocks_that_it_has(self):
        async def scenario(fleet):
            await curio.sleep(SETTLED_SECONDS)
            for worker in fleet.workers:
                worker.merge_prompt_blocks("e1", PROMPT_BLOCKS)
            received = [record_upstreams(worker) for worker in fleet.workers]
            for worker in fleet.workers:
                for link in list(worker._peers._mesh.link_by_address.values()):
                    await worker._peers._handle_link_event(_up(link))
            await curio.sleep(SETTLED_SECONDS)
            return [upstreams for upstreams in received if upstreams]

        assert run_ingress(scenario, processes=3) == []


def _up(link):
    return LinkUp(peer=link.name)
