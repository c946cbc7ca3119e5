"""The reaper over an in-process platform and scripted sidecars."""

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


class Scene:
    """A dead router r1 that held 60 of 100 tokens through s1 and s2, cap 20."""

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
        self.gone = set()
        self.seal_was_there = []
        self.now = 0.0
        self.reaper = Reaper(
            platform=self.platform,
            incarnation=lambda: "r2",
            failed_routers=lambda: ["r1"],
            is_responsible=lambda router: True,
            is_removed=lambda sidecar: sidecar in self.gone,
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
        there = self.platform.peek(SEALS, seal.router) is not None
        self.seal_was_there.append(there)
        answer = self.answers.get(node.incarnation)
        if answer is None:
            raise LinkLost("cut off")
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
def scene():
    return Scene()


class TestAllReachable:
    def test_spend_is_exact_and_the_rest_comes_back(self, scene):
        scene.round()
        assert (scene.ledger.spent, scene.ledger.held) == (11, 11)
        assert scene.closed

    def test_seal_is_in_the_platform_before_any_sidecar_hears_of_it(self, scene):
        """A sidecar that joins in between must find the seal or be in the list."""
        scene.round()
        assert scene.seal_was_there == [True, True]

    def test_receipts_of_the_dead_become_durable_once(self, scene):
        async def bill():
            listing = await scene.platform.list(RECEIPTS)
            bill = Bill()
            for stored in listing.by_name.values():
                bill.add_segment(decode_segment(stored.value))
            return bill.charged("p")

        scene.round()
        scene.round()
        assert curio.run(bill) == 11

    @pytest.mark.parametrize("lost", [1, 2, 3, 4])
    def test_lost_answers_change_nothing(self, scene, lost):
        scene.platform.switches.lost_answers = lost
        for _ in range(lost + 1):
            with suppress(OutcomeUnknown):
                scene.round()
        assert (scene.ledger.spent, scene.ledger.held) == (11, 11)


class TestUnreachableSidecar:
    def test_cap_is_held_until_it_is_back(self, scene):
        """A rack is cut off with one sidecar and the router that used it."""
        answer = scene.answers.pop("s2")
        scene.round()
        assert scene.ledger.held == 7 + 20
        assert not scene.closed
        scene.answers["s2"] = answer
        scene.round()
        assert (scene.ledger.held, scene.closed) == (11, True)

    def test_running_attempts_keep_the_bound(self, scene):
        scene.answers["s2"] = scene.report("s2", ran={"p": 1}, running={"p": 9})
        scene.round()
        assert scene.ledger.held == 7 + 20
        assert not scene.closed

    @pytest.mark.parametrize("how", ["gone", "unlisted", "replaced"])
    def test_gone_for_good_is_charged_its_bound(self, scene, how):
        if how == "gone":
            scene.gone.add("s2")
        elif how == "unlisted":
            scene.platform._objects(NODES).pop("s2")
        else:
            scene.platform._objects(NODES).pop("s2")
            scene.register("s2b")
            scene.answers["s2b"] = scene.report("s2b", ran={"p": 0})
        scene.round()
        assert (scene.ledger.spent, scene.closed) == (27, True)

    def test_answer_of_another_incarnation_is_no_report(self, scene):
        scene.answers["s2"] = scene.report("s3", ran={"p": 0})
        scene.round()
        assert scene.ledger.held == 27


class TestOutage:
    def test_seal_waits_for_the_platform(self, scene):
        scene.platform.switches.down = True
        with pytest.raises(PlatformUnavailable):
            scene.round()
        assert scene.seal_was_there == []
        scene.platform.switches.down = False
        scene.round()
        assert scene.closed


class TestSweep:
    def test_late_grant_of_a_sealed_router_is_found(self, scene):
        """A sealed router that does not know it yet opens another slice."""
        scene.round()
        late = Renewal(router="r1", nonce="m", settled={"s1": 0}, want=9, first=True)
        value = encode_ledger(Ledger(prepaid=50).renew(late))
        scene.platform.put(LEDGERS, "q", value)
        scene.now = 120.0
        scene.round()
        assert decode_ledger(scene.platform.peek(LEDGERS, "q").value).held == 0
