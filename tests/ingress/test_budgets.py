"""Prepaid budgets as callers see them, in outages and over planned stops."""

import curio
import msgspec
import pytest
from tests.ingress.in_process import ledger, run_ingress

from ragwortkeel.budget.shards import USABLE_FRACTION
from ragwortkeel.ingress import budget_keeper

PREPAID = 1_000
SMALL = {"x_token_bound": "40,60", "x_prompt_parts": "p:40"}


async def spend(fleet, count, process=0, **headers):
    statuses = []
    for _ in range(count):
        answer = await fleet.ask("/chat/1", process=process, **(SMALL | headers))
        statuses.append(answer.status)
    return statuses


@pytest.fixture
def long_waits(monkeypatch):
    """Let requests wait for tokens long enough for a busy machine."""
    monkeypatch.setattr(budget_keeper, "RENEWAL_WAIT_SECONDS", 5.0)
    monkeypatch.setattr(budget_keeper, "RECALL_WAIT_SECONDS", 5.0)


class TestSpending:
    def test_an_answer_costs_its_prompt_and_its_events(self):
        async def scenario(fleet):
            await spend(fleet, 1)
            await fleet.workers[0].stop()
            return await ledger(fleet)

        found = run_ingress(scenario, prepaid=PREPAID)
        assert found.total_spent == 40 + 5 * 6

    def test_an_exhausted_budget_is_the_reason_of_a_refusal(self):
        async def scenario(fleet):
            statuses = await spend(fleet, 20)
            answer = await fleet.ask("/chat/1", **SMALL)
            return statuses, msgspec.json.decode(answer.body)

        statuses, problem = run_ingress(scenario, prepaid=PREPAID)
        served = statuses.count(200)
        # Each request costs 70 tokens and reserves 100 before it starts.
        assert served == (int(PREPAID * USABLE_FRACTION) - 100) // 70 + 1
        assert set(statuses[served:]) == {402}
        assert problem["reason"] == "budget_exhausted"

    def test_a_top_up_serves_the_next_requests(self):
        async def scenario(fleet):
            await spend(fleet, 15)
            customers = (msgspec.structs.replace(fleet.customers[0], prepaid=2000),)
            await fleet.configure(customers=customers)
            while fleet.workers[0].revision() < fleet.revision:
                await curio.sleep(0.01)
            return await spend(fleet, 3)

        assert run_ingress(scenario, prepaid=PREPAID) == [200] * 3

    def test_two_processes_share_one_budget_until_it_is_exhausted(self):
        async def scenario(fleet):
            return await spend(fleet, 9) + await spend(fleet, 9, process=1)

        statuses = run_ingress(scenario, prepaid=PREPAID, processes=2)
        assert statuses.count(200) == 13

    def test_a_request_that_did_not_run_costs_nothing(self):
        async def scenario(fleet):
            await fleet.upstreams["e1"].stop()
            for _ in range(3):
                await fleet.ask("/chat/1", **SMALL)
            await fleet.workers[0].stop()
            return await ledger(fleet)

        assert run_ingress(scenario, prepaid=PREPAID).total_spent == 0

    def test_concurrent_requests_beyond_the_headroom_are_all_served(self):
        async def scenario(fleet):
            tasks = [await curio.spawn(spend, fleet, 1) for _ in range(12)]
            return [await task.join() for task in tasks]

        statuses = run_ingress(scenario, prepaid=100 * PREPAID)
        assert statuses == [[200]] * 12


class TestFailures:
    @pytest.mark.parametrize(("deadline_ms", "status"), [(5000, 200), (1500, 503)])
    def test_a_late_deadline_allows_a_slow_renewal(self, deadline_ms, status):
        """Guards against refusals while the write with the callers' tokens runs."""

        async def scenario(fleet):
            update = fleet.platform.update

            async def slow(*call):
                await curio.sleep(0.85)
                return await update(*call)

            await spend(fleet, 1)
            fleet.platform.update = slow
            answer = await fleet.ask(
                "/chat/1",
                x_token_bound="20000,60",
                x_prompt_parts="p:20000",
                x_deadline_ms=str(deadline_ms),
            )
            return answer.status

        assert run_ingress(scenario, prepaid=100_000) == status

    def test_loans_of_a_peer_serve_callers_in_an_outage(self):
        """Guards against refusals by a process with a small slice in an outage.

        The tokens that its callers need are held by another process.
        """

        async def scenario(fleet):
            await spend(fleet, 2)
            fleet.platform.switches.down = True
            return await spend(fleet, 3, process=1)

        statuses = run_ingress(scenario, prepaid=100_000, processes=2)
        assert statuses == [200] * 3

    def test_tokens_held_by_another_process_are_recalled(self, long_waits):
        """Guards against refusals while most of the budget is unspent.

        The demand of a process rises suddenly while another process holds the tokens.
        That process can lend only the headroom of its small cap.
        """

        async def scenario(fleet):
            await spend(fleet, 20)
            await curio.sleep(1.2)
            return await spend(fleet, 3, process=1, x_token_bound="10000,60")

        statuses = run_ingress(scenario, prepaid=40 * PREPAID, processes=2)
        assert statuses == [200] * 3

    def test_a_planned_stop_returns_all_tokens(self):
        async def scenario(fleet):
            await spend(fleet, 2)
            await fleet.workers[0].stop()
            return await ledger(fleet)

        found = run_ingress(scenario, prepaid=PREPAID)
        assert found.grants == {}
        assert found.spent == 140

    def test_a_write_whose_answer_is_lost_counts_once(self):
        async def scenario(fleet):
            fleet.platform.switches.lost_answers = 2
            await spend(fleet, 4)
            await fleet.workers[0].stop()
            return await ledger(fleet)

        assert run_ingress(scenario, prepaid=PREPAID).total_spent == 4 * 70
