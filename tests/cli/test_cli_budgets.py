"""Tests of budget changes and bills on the command line."""

from pathlib import Path

import msgspec
import pytest

from ragwortkeel.budget.grant import Renewal
from ragwortkeel.budget.ledger import decode_ledger, encode_ledger
from ragwortkeel.budget.receipt import Segment, encode_segment
from ragwortkeel.configuration import LEDGERS, RECEIPTS
from ragwortkeel.exceptions import VersionConflict
from ragwortkeel.messages import RunReceipt

EXAMPLE = Path(__file__).parents[2] / "examples/profiles/surco-advisor-chat.json"
CREATE = f"profile create chat --file {EXAMPLE}"


@pytest.fixture
def terminal(terminal):
    terminal(f"{CREATE} --prepaid-tokens 1000")
    return terminal


def ledger(terminal):
    return decode_ledger(terminal.platform.peek(LEDGERS, "chat").value)


def grant(terminal, tokens):
    """Grant a slice to a router."""
    renewal = Renewal(router="r1", nonce="n", first=True, settled={}, want=tokens)
    taken = ledger(terminal).renew(renewal)
    terminal.platform.put(LEDGERS, "chat", encode_ledger(taken))


class TestTopUp:
    def test_tokens_are_added(self, terminal):
        code, out, _ = terminal("profile top-up chat 500 --json")
        assert code == 0 and ledger(terminal).prepaid == 1500
        assert msgspec.json.decode(out)["budget"]["rest"] == 1500

    def test_repeated_operation_id_adds_once(self, terminal):
        """Guards against a repeated top-up that adds its tokens twice.

        The answer to a top-up is lost and the platform goes down.  The operator
        repeats the command with the printed operation id.
        """
        update = terminal.platform.update

        async def lose_and_go_down(*arguments):
            terminal.platform.switches.lost_answers = 1
            try:
                return await update(*arguments)
            finally:
                terminal.platform.switches.down = True

        terminal.platform.update = lose_and_go_down
        code, _, err = terminal("profile top-up chat 500")
        assert code == 5
        repeated_id = err[0].split("--operation-id ")[1].split(",")[0]
        terminal.platform.update = update
        terminal.platform.switches.down = False
        for _ in range(2):
            line = f"profile top-up chat 500 --operation-id {repeated_id}"
            assert terminal(line)[0] == 0
        assert ledger(terminal).prepaid == 1500

    def test_concurrent_writes_are_preserved(self, terminal):
        """Guards against lost top-ups when the ledger changes during a write."""
        update = terminal.platform.update
        races = [1, 2, 3]

        async def lose_first(kind, name, value, version):
            if races:
                races.pop()
                other = ledger(terminal)
                operation_id = other.operation_id(f"other-{len(races)}")
                other = other.top_up(tokens=7, operation_id=operation_id)
                terminal.platform.put(LEDGERS, "chat", encode_ledger(other))
                raise VersionConflict("raced")
            return await update(kind, name, value, version)

        terminal.platform.update = lose_first
        assert terminal("profile top-up chat 500")[0] == 0
        assert ledger(terminal).prepaid == 1000 + 3 * 7 + 500

    @pytest.mark.parametrize(
        ("line", "code", "message"),
        [
            ("profile top-up chat 0", 1, "allowed: 1 to"),
            ("profile top-up chat -- -5", 2, ""),
            ("profile top-up chat 1.5", 1, "found 1.5"),
            ("profile top-up none 5", 1, "no profile none"),
            ("profile top-up chat 5 --operation-id x", 1, "no operation id"),
            ("profile lower none 5", 1, "no budget of none"),
        ],
    )
    def test_bad_input(self, terminal, line, code, message):
        found, _, err = terminal(line)
        assert found == code and any(message in error for error in err)
        assert ledger(terminal).prepaid == 1000

    def test_retired_profile_is_refused(self, terminal):
        terminal("profile retire chat")
        assert ledger(terminal).retired
        code, _, err = terminal("profile top-up chat 5")
        assert code == 1 and "retired for good" in err[0]


class TestLower:
    def test_committed_tokens_are_refused(self, terminal):
        grant(terminal, 600)
        code, _, err = terminal("profile lower chat 500")
        assert code == 1 and "at most 400" in err[0] and "--recall" in err[0]
        assert terminal("profile lower chat 400")[0] == 0
        assert ledger(terminal).prepaid == 600

    def test_recall(self, terminal):
        grant(terminal, 600)
        code, out, _ = terminal("profile lower chat 500 --recall")
        assert code == 0 and "to be lowered to 500" in out
        assert ledger(terminal).rest == 0


class TestCreation:
    def test_platform_down_before_budget_write(self, terminal):
        """The platform goes down between the writes of a profile and its budget."""
        create = terminal.platform.create

        async def profile_only(kind, *arguments):
            if kind == LEDGERS:
                terminal.platform.switches.down = True
            return await create(kind, *arguments)

        terminal.platform.create = profile_only
        line = CREATE.replace("create chat", "create late") + " --prepaid-tokens 50"
        code, _, err = terminal(line)
        assert code == 5 and "is created" in err[0]
        repeat = err[0].split("`")[1].removeprefix("ragwortkeel ")
        terminal.platform.create = create
        terminal.platform.switches.down = False
        assert terminal(repeat)[0] == 0 and terminal(repeat)[0] == 0
        assert "50" in terminal("profile show late")[1]


class TestBill:
    def receipt(self, request_id, nonce, tokens, billable=True):
        return RunReceipt(
            profile="chat",
            request_id=request_id,
            nonce=nonce,
            router="r1",
            sidecar="s1",
            tokens=tokens,
            billable=billable,
        )

    def test_each_request_is_charged_once(self, terminal):
        first, second = self.receipt("a", "n1", 10), self.receipt("b", "n2", 5)
        rerun = self.receipt("a", "n3", 12)
        for writer, receipts in (("r1", (first, second)), ("s1", (first, rerun))):
            segment = Segment(writer=writer, receipts=receipts)
            terminal.platform.put(RECEIPTS, segment.name, encode_segment(segment))
        rows = msgspec.json.decode(terminal("bill --json")[1])
        assert rows == [
            {"profile": "chat", "requests": 2, "tokens": 15, "absorbed": 12}
        ]
        rows = msgspec.json.decode(terminal("bill chat --json")[1])
        assert [row["request_id"] for row in rows] == ["a", "b"]

    def test_unreadable_receipts_are_an_error(self, terminal):
        terminal.platform.put(RECEIPTS, "odd", b"\xff")
        code, out, err = terminal("bill")
        assert (code, out) == (1, "") and "odd" in err[0]
