"""Tests of the reaper with an in-process platform and scripted sidecars."""

from contextlib import suppress

import curio
import msgspec
import pytest

from ragwortkeel.budget.grant import Renewal
from ragwortkeel.budget.ledger import Ledger, decode_ledger, encode_ledger
from ragwortkeel.budget.receipt import Bill, decode_segment
from ragwortkeel.configuration import LEDGERS, NODES, RECEIPTS, SEALS, Node
from ragwortkeel.exceptions import LinkLost, OutcomeUnknown, PlatformUnavailable
from ragwortkeel.messages import RunReceipt, Sealed
from ragwortkeel.router.reaper import Reaper, SealRecord
from ragwortkeel.standins.local_platform import LocalPlatform


class ReaperHarness:
    """A failed router r1 with a grant of 60 of 100 tokens, s1 and s2 with cap 20."""

    def __init__(self):
        self.platform = LocalPlatform()
        renewal = Renewal(
            router="r1",
            nonce="n",
            settled={"s1": 0, "s2": 0},
            want=60,
            cap=20,
            first=True,
        )
        ledger = Ledger(prepaid=100).renew(renewal)
        self.platform.put(LEDGERS, "p", encode_ledger(ledger))
        for name in ("s1", "s2"):
            self.register(name)
        self.answers = {
            "s1": self.report("s1", ran={"p": 7}),
            "s2": self.report("s2", ran={"p": 4}),
        }
        self.removed = set()
        self.seal_was_written = []
        self.now = 0.0
        self.reaper = Reaper(
            platform=self.platform,
            incarnation=lambda: "r2",
            failed_routers=lambda: ["r1"],
            is_responsible=lambda router: True,
            is_removed=lambda sidecar: sidecar in self.removed,
            request_seal=self.ask,
            clock=lambda: self.now,
        )

    def register(self, name):
        node = Node(
            incarnation=name, role="sidecar", zone="z", address=name, http_address=""
        )
        self.platform.put(NODES, name, msgspec.json.encode(node))

    def report(self, sidecar, *, ran, running=None):
        receipt = RunReceipt(
            profile="p",
            request_id=f"q-{sidecar}",
            nonce=f"n-{sidecar}",
            router="r1",
            sidecar=sidecar,
            tokens=ran["p"],
        )
        return Sealed(
            router="r1",
            sidecar=sidecar,
            ran=ran,
            running=running or {},
            receipts=(receipt,),
        )

    async def ask(self, node, seal):
        is_written = self.platform.peek(SEALS, seal.router) is not None
        self.seal_was_written.append(is_written)
        answer = self.answers.get(node.incarnation)
        if answer is None:
            raise LinkLost("sidecar is unreachable")
        return answer

    def round(self):
        curio.run(self.reaper.run_round)

    @property
    def ledger(self):
        return decode_ledger(self.platform.peek(LEDGERS, "p").value)

    @property
    def closed(self):
        stored = self.platform.peek(SEALS, "r1")
        return msgspec.json.decode(stored.value, type=SealRecord).closed


@pytest.fixture
def harness():
    return ReaperHarness()


class TestAllReachable:
    def test_spend_is_exact_and_unspent_tokens_are_returned(self, harness):
        harness.round()
        assert (harness.ledger.spent, harness.ledger.held) == (11, 11)
        assert harness.closed

    def test_seal_is_in_the_platform_before_any_sidecar_receives_it(self, harness):
        """Guards against a sidecar that registers meanwhile and receives no seal.

        It must read the seal from the platform or be in the list of nodes.
        """
        harness.round()
        assert harness.seal_was_written == [True, True]

    def test_receipts_of_the_failed_router_become_durable_once(self, harness):
        async def bill():
            listing = await harness.platform.list(RECEIPTS)
            bill = Bill()
            for stored in listing.by_name.values():
                bill.add_segment(decode_segment(stored.value))
            return bill.charged("p")

        harness.round()
        harness.round()
        assert curio.run(bill) == 11

    @pytest.mark.parametrize("lost", [1, 2, 3, 4])
    def test_lost_answers_change_nothing(self, harness, lost):
        harness.platform.switches.lost_answers = lost
        for _ in range(lost + 1):
            with suppress(OutcomeUnknown):
                harness.round()
        assert (harness.ledger.spent, harness.ledger.held) == (11, 11)


class TestUnreachableSidecar:
    def test_cap_is_charged_until_the_sidecar_is_reachable(self, harness):
        """One sidecar and the router that used it are partitioned."""
        answer = harness.answers.pop("s2")
        harness.round()
        assert harness.ledger.held == 7 + 20
        assert not harness.closed
        harness.answers["s2"] = answer
        harness.round()
        assert (harness.ledger.held, harness.closed) == (11, True)

    def test_cap_is_charged_while_attempts_run(self, harness):
        harness.answers["s2"] = harness.report("s2", ran={"p": 1}, running={"p": 9})
        harness.round()
        assert harness.ledger.held == 7 + 20
        assert not harness.closed

    @pytest.mark.parametrize("cause", ["removed", "unlisted", "replaced"])
    def test_removed_sidecar_is_charged_its_cap(self, harness, cause):
        if cause == "removed":
            harness.removed.add("s2")
        elif cause == "unlisted":
            harness.platform._objects(NODES).pop("s2")
        else:
            harness.platform._objects(NODES).pop("s2")
            harness.register("s2b")
            harness.answers["s2b"] = harness.report("s2b", ran={"p": 0})
        harness.round()
        assert (harness.ledger.spent, harness.closed) == (27, True)

    def test_answer_of_another_incarnation_is_no_report(self, harness):
        harness.answers["s2"] = harness.report("s3", ran={"p": 0})
        harness.round()
        assert harness.ledger.held == 27


class TestOutage:
    def test_seal_waits_for_the_platform(self, harness):
        harness.platform.switches.down = True
        with pytest.raises(PlatformUnavailable):
            harness.round()
        assert harness.seal_was_written == []
        harness.platform.switches.down = False
        harness.round()
        assert harness.closed


class TestSweep:
    def test_late_grant_of_a_sealed_router_is_found(self, harness):
        """A sealed router that doesn't know of its seal opens another grant."""
        harness.round()
        late = Renewal(router="r1", nonce="m", settled={"s1": 0}, want=9, first=True)
        value = encode_ledger(Ledger(prepaid=50).renew(late))
        harness.platform.put(LEDGERS, "q", value)
        harness.now = 120.0
        harness.round()
        assert decode_ledger(harness.platform.peek(LEDGERS, "q").value).held == 0
