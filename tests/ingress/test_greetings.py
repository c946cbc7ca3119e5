"""What a process that starts, or comes back after a cut, is told by its peers.

After a cut between two availability zones callers wait for seconds more: each process
greets each peer that it hears again with all that it knows of the engines' memory,
50 KB from each, and the links of small instances are full.  It is what the
configuration was told by as well (test_configuration_spread.py); this was not seen in
an incident but found by looking for what else is told to all.
"""

import curio
from deployments.ports import free_address
from tests.ingress.in_process import SETTLED_SECONDS, run_ingress

from ragwortkeel.links import LinkUp

PARTS = dict.fromkeys(range(1, 50), 100)


def count_tellings(worker):
    """Return a list that grows with each telling of parts that the process hears."""
    tellings = []
    taken = worker.merge_prompt_blocks

    def heard(upstream, tokens_by_prefix_hash):
        tellings.append(upstream)
        taken(upstream, tokens_by_prefix_hash)

    worker.merge_prompt_blocks = heard
    return tellings


class TestAProcessThatStarts:
    def test_one_peer_tells_it_what_engines_hold(self):
        async def scenario(fleet):
            await curio.sleep(SETTLED_SECONDS)
            for worker in fleet.workers:
                worker.merge_prompt_blocks("e1", PARTS)
            links = tuple(worker._settings.address for worker in fleet.workers)
            late = await fleet.start_worker("ingress-late", free_address(), links)
            tellings = count_tellings(late)
            await curio.sleep(SETTLED_SECONDS)
            return tellings, late.all_prompt_blocks()

        tellings, known = run_ingress(scenario, processes=4)
        assert known["e1"] == PARTS
        assert tellings == ["e1"]


class TestAProcessThatComesBack:
    def test_nobody_tells_it_what_it_has_known_all_along(self):
        async def scenario(fleet):
            await curio.sleep(SETTLED_SECONDS)
            for worker in fleet.workers:
                worker.merge_prompt_blocks("e1", PARTS)
            tellings = [count_tellings(worker) for worker in fleet.workers]
            for worker in fleet.workers:
                for link in list(worker._peers._mesh.link_by_address.values()):
                    await worker._peers._handle_link_event(_up(link))
            await curio.sleep(SETTLED_SECONDS)
            return [heard for heard in tellings if heard]

        assert run_ingress(scenario, processes=3) == []


def _up(link):
    return LinkUp(peer=link.name)
