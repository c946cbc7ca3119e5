import pytest

from ragwortkeel.ingress.prefixes import PromptBlock
from ragwortkeel.ingress.usage import Usage, parse_prompt_blocks, parse_usage


class TestParsing:
    def test_usage_is_prompt_and_answer_tokens(self):
        assert parse_usage("1460,80") == Usage(prompt_tokens=1460, answer_tokens=80)

    @pytest.mark.parametrize("text", ["", "12", "a,b", "1,-5", "1,2,3"])
    def test_an_invalid_usage_is_none(self, text):
        assert parse_usage(text) is None

    def test_blocks_end_at_the_first_invalid_one(self):
        blocks = parse_prompt_blocks("5c1e:800, 91bd:410,zz,77:5")
        assert blocks == (
            PromptBlock(block_id="5c1e", tokens=800),
            PromptBlock(block_id="91bd", tokens=410),
        )


class TestCost:
    usage = Usage(prompt_tokens=100, answer_tokens=60)

    def test_a_complete_answer_costs_what_was_received(self):
        assert self.usage.cost(events=4, event_tokens=6, complete=True) == 124

    def test_a_broken_answer_costs_events_that_may_be_lost(self):
        assert self.usage.cost(events=4, event_tokens=6, complete=False) == 142

    def test_an_answer_costs_at_most_its_bound(self):
        assert self.usage.cost(events=40, event_tokens=6, complete=False) == 160
