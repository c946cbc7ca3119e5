"""Bills, and segments of receipts."""

import hypothesis.strategies as st
from hypothesis import given

from ragwortkeel.budget.receipt import (
    MAX_SEGMENT_RECEIPTS,
    Bill,
    decode_segment,
    encode_segment,
    segments,
)
from ragwortkeel.messages import RunReceipt
from ragwortkeel.platform import MAX_VALUE_BYTES


def receipt(nonce, *, request="q1", tokens=5, billable=True):
    return RunReceipt(
        profile="p",
        request_id=request,
        nonce=nonce,
        router="r1",
        sidecar="s1",
        tokens=tokens,
        billable=billable,
    )


receipts = st.lists(
    st.builds(
        receipt,
        st.sampled_from("abcdef"),
        request=st.sampled_from(["q1", "q2"]),
        tokens=st.integers(0, 9),
        billable=st.booleans(),
    ),
    unique_by=lambda row: row.nonce,
)


def billed(rows):
    bill = Bill()
    for row in rows:
        bill.add(row)
    return bill.by_request


class TestBill:
    def test_rerun_after_a_crash_is_charged_once(self):
        """Guards against a double charge after a crash of a router.

        The retry runs again at another router, and both receipts reach the platform,
        one of them by the reaper.
        """
        bill = Bill()
        for row in (receipt("a", tokens=9), receipt("b", tokens=7)):
            bill.add(row)
        assert (bill.charged("p"), bill.absorbed("p")) == (7, 9)

    @given(receipts, st.randoms(use_true_random=False))
    def test_order_and_repeats_do_not_matter(self, rows, random):
        repeated_rows = rows + rows[:3]
        random.shuffle(repeated_rows)
        assert billed(repeated_rows) == billed(rows)

    @given(receipts)
    def test_each_request_with_a_billable_run_is_billed_once(self, rows):
        requests = {(row.profile, row.request_id) for row in rows if row.billable}
        assert set(billed(rows)) == requests


class TestSegments:
    @given(receipts)
    def test_equal_receipts_give_equal_segments(self, rows):
        names = [segment.name for segment in segments(writer="r1", receipts=rows)]
        names_again = [
            segment.name
            for segment in segments(writer="r1", receipts=rows[::-1] + rows)
        ]
        assert names == names_again

    def test_largest_segment_fits_the_platform(self):
        rows = [
            RunReceipt(
                profile="p" * 63,
                request_id="q" * 128,
                nonce=f"{i:064d}",
                router="r" * 63,
                sidecar="s" * 63,
                tokens=10**9,
            )
            for i in range(MAX_SEGMENT_RECEIPTS + 1)
        ]
        first, second = segments(writer="r1", receipts=rows)
        assert len(encode_segment(first)) < MAX_VALUE_BYTES
        assert decode_segment(encode_segment(second)) == second
