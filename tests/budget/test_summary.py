"""Summaries of ledgers, which are short and sufficient to size a slice."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from ragwortkeel.budget.grant import Grant
from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.budget.sizing import SliceNeed, best_givers, target_holding
from ragwortkeel.budget.summary import restore_own_grant, summarize
from ragwortkeel.configuration import Spread


@st.composite
def grants(draw):
    spent = draw(st.integers(0, 500))
    return Grant(
        granted=spent + draw(st.integers(0, 5_000)),
        settled={"direct": spent},
        demand=draw(st.integers(0, 900)),
        cap=draw(st.integers(0, 100)),
    )


ledgers = st.builds(
    lambda grants, rest, spent: Ledger(
        prepaid=sum(g.granted for g in grants) + rest + spent,
        spent=spent,
        grants={f"i-{n}/a": grant for n, grant in enumerate(grants)},
    ),
    st.lists(grants(), min_size=1, max_size=12),
    st.integers(0, 5_000),
    st.integers(0, 5_000),
)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(ledger=ledgers, data=st.data())
def test_each_holder_sizes_its_slice_as_by_the_full_ledger(ledger, data):
    router = data.draw(st.sampled_from(sorted(ledger.grants)))
    seen = restore_own_grant(
        summarize(ledger), router=router, grant=ledger.grants[router]
    )
    need = SliceNeed(
        holding=0,
        demand=ledger.grants[router].demand,
        largest_request=100,
        ride_out_seconds=12.0,
        spread=Spread.WIDE,
    )
    assert (seen.rest, seen.total_spent) == (ledger.rest, ledger.total_spent)
    assert seen.holders == ledger.holders
    assert seen.grants[router] == ledger.grants[router]
    target = target_holding(ledger, router=router, need=need)
    assert target_holding(seen, router=router, need=need) == target


def test_the_best_givers_are_the_same():
    grants = {f"i-{n}/a": Grant(granted=100 * n) for n in range(1, 9)}
    ledger = Ledger(prepaid=9_000, grants=grants)
    seen = restore_own_grant(summarize(ledger), router="i-1/a", grant=grants["i-1/a"])
    givers = best_givers(seen, router="i-1/a")
    assert givers == best_givers(ledger, router="i-1/a")


def test_size_does_not_grow_with_the_holders():
    def size(count):
        grants = {f"i-{n}/abcdef": Grant(granted=100 + n) for n in range(count)}
        return len(msgspec.msgpack.encode(summarize(Ledger(grants=grants))))

    # Each of six sums may take up to 4 bytes more.
    assert size(680) <= size(10) + 24
