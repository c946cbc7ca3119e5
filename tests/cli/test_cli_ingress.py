"""Tests of ``ragwortkeel ingress`` against an in-memory platform."""

from pathlib import Path

import msgspec
import pytest

from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.budget.shards import SHARDS_KIND, Shard, encode_shard
from ragwortkeel.ingress.block_store import BLOCKS_KIND, StoredDecision, object_name
from ragwortkeel.ingress.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    EVACUATIONS_KIND,
    IngressConfiguration,
)
from ragwortkeel.ingress.ledger_store import SHARD_NAME

EXAMPLE = Path(__file__).parents[2] / "examples" / "ingress" / "surco.json"


def in_force(terminal):
    value = terminal.platform.peek(CONFIGURATION_KIND, CONFIGURATION_NAME).value
    return msgspec.json.decode(value, type=IngressConfiguration)


class TestApply:
    def test_each_apply_raises_the_revision(self, terminal):
        assert terminal(f"ingress apply {EXAMPLE}")[0] == 0
        code, out, _ = terminal(f"ingress apply {EXAMPLE}")
        assert code == 0
        assert out.startswith("revision 2: 2 routes")
        assert in_force(terminal).revision == 2
        assert "advisor-chat" in terminal("ingress show")[1]

    @pytest.mark.parametrize(
        ("text", "code", "message"),
        [
            ("[]", 1, "holds no configuration"),
            ("{", 1, "cannot read"),
            ('{"routes": [{"name": "x"}]}', 2, "$.routes[0]"),
            ('{"customers": [{"name":"c","keys":[],"prepaid":-1}]}', 2, "prepaid"),
        ],
    )
    def test_invalid_file_changes_nothing(
        self, terminal, tmp_path, text, code, message
    ):
        file = tmp_path / "c.json"
        file.write_text(text)
        found, _, errors = terminal(f"ingress apply {file}")
        assert found == code
        assert message in errors[0]
        assert terminal.platform.peek(CONFIGURATION_KIND, CONFIGURATION_NAME) is None

    def test_show_without_configuration_is_an_error(self, terminal):
        code, _, errors = terminal("ingress show")
        assert code == 1
        assert "no ingress configuration" in errors[0]


class TestBudgets:
    def test_remaining_tokens_are_shown(self, terminal):
        shard = Shard(ledger_by_customer={"coop": Ledger(prepaid=100, spent=30)})
        terminal.platform.put(SHARDS_KIND, SHARD_NAME, encode_shard(shard))
        rows = msgspec.json.decode(terminal("ingress budgets --json")[1])
        assert rows == [
            {"customer": "coop", "prepaid": 100, "spent": 30, "held": 0, "free": 70}
        ]
        assert terminal("ingress budgets")[0] == 0


class TestEvacuations:
    def test_zone_is_evacuated_and_restored(self, terminal):
        assert terminal("ingress evacuations")[1].startswith("no zone")
        assert terminal("ingress evacuate zone-b")[0] == 0
        [row] = msgspec.json.decode(terminal("ingress evacuations --json")[1])
        assert row["zone"] == "zone-b"
        assert row["since"] > 0
        assert terminal("ingress take_back zone-b")[0] == 0
        assert terminal.platform.peek(EVACUATIONS_KIND, "zone-b") is None

    def test_zone_without_evacuation_cannot_be_restored(self, terminal):
        code, _, errors = terminal("ingress take_back zone-b")
        assert code == 1
        assert "no evacuation zone-b" in errors[0]

    def test_second_evacuation_is_a_conflict(self, terminal):
        terminal("ingress evacuate zone-b")
        assert terminal("ingress evacuate zone-b")[0] != 0

    def test_unreadable_entry_is_shown_and_removed(self, terminal):
        terminal.platform.put(EVACUATIONS_KIND, "zone-b", b"[1,")
        assert "unknown" in terminal("ingress evacuations")[1]
        assert terminal("ingress take_back zone-b")[0] == 0


class TestBlocks:
    def test_a_refused_block_is_shown_and_released(self, terminal):
        """Guards against blocks that stay refused after their engine is mended."""
        assert terminal("ingress blocks")[1].startswith("no block")
        refused = StoredDecision(
            block="5c1e07a2", stamp=2**42, crashes=("u1/5/0",), requests=("f1", "f2")
        )
        name = object_name("5c1e07a2")
        terminal.platform.put(BLOCKS_KIND, name, msgspec.json.encode(refused))
        [row] = msgspec.json.decode(terminal("ingress blocks --json")[1])
        assert (row["block"], row["refused"]) == ("5c1e07a2", True)
        assert (row["crashes"], row["requests"]) == (["u1/5/0"], 2)
        assert terminal("ingress release_block 5c1e07a2")[0] == 0
        stored = terminal.platform.peek(BLOCKS_KIND, name).value
        released = msgspec.json.decode(stored, type=StoredDecision)
        assert not released.refused
        assert released.stamp > refused.stamp

    def test_a_block_that_is_not_refused_cannot_be_released(self, terminal):
        code, _, errors = terminal("ingress release_block 5c1e07a2")
        assert code == 1
        assert "not refused" in errors[0]
