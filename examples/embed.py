"""Uses a budget, its slices and a scheduler as a library, without daemons.

Run it with ``python -m examples.embed``.
"""

from random import Random

from ragwortkeel import Bill, Ledger, Scheduler, ServiceClass, Slice
from ragwortkeel.budget.refresh import SliceRefresh
from ragwortkeel.messages import RunReceipt
from ragwortkeel.policy.facts import RequestFacts, UpstreamFacts


def spend_from_a_slice() -> Ledger:
    """Renew a slice of a budget, spend from it and return the ledger."""
    ledger = Ledger()
    ledger = ledger.top_up(tokens=1_000, operation_id=ledger.operation_id("first"))

    slice_ = Slice(profile="advisor-chat", router="router-1")
    refresh = SliceRefresh(slice_=slice_)
    refresh.read(ledger, version=1)
    renewal = slice_.propose(nonce="n1", sidecars=("sidecar-1",), want=400, cap=300)
    ledger = ledger.renew(renewal)
    refresh.record_written(ledger)

    reservation = slice_.reserve(sidecar="sidecar-1", tokens=250)
    slice_.settle(reservation, spent=180)

    refresh.read(ledger, version=2)
    ledger = ledger.renew(slice_.propose(nonce="n2", give_back=slice_.free, cap=300))
    refresh.record_written(ledger)
    return ledger


def bill_twice() -> int:
    """Return the tokens charged for a request whose receipt is added twice."""
    receipt = RunReceipt(
        profile="advisor-chat",
        request_id="r1",
        nonce="n1",
        router="router-1",
        sidecar="sidecar-1",
        tokens=180,
    )
    bill = Bill()
    bill.add(receipt)
    bill.add(receipt)
    return bill.charged("advisor-chat")


def choose_an_upstream() -> str:
    """Return the upstream to which a scheduler assigns a request."""
    scheduler = Scheduler(zone="maule-a", random=Random(1))
    upstream = UpstreamFacts(name="m1", back_end="assistant", zone="maule-a")
    scheduler.set_upstreams([upstream], now=0.0)
    request = RequestFacts(
        request_id="r1",
        profile="advisor-chat",
        customer="coop",
        service_class=ServiceClass.INTERACTIVE,
        back_ends=("assistant",),
        deadline=20.0,
        first_token_deadline=1.5,
        cost=250,
    )
    return scheduler.offer(request, now=0.0).upstream


def main() -> None:
    """Print the results of the three examples."""
    ledger = spend_from_a_slice()
    print(f"spent={ledger.total_spent} rest={ledger.rest}")
    print(f"charged={bill_twice()}")
    print(f"upstream={choose_an_upstream()}")


if __name__ == "__main__":
    main()
