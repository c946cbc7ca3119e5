"""Token counts of a stream, wherever its chunks are split."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from sidecar_setup import DONE, USAGE, event

from ragwortkeel.sidecar.usage import StreamUsage, prompt_token_bound

ROLE = b'data: {"choices": [{"delta": {"role": "assistant"}}]}\r\n\r\n'
COMMENT = b": keep-alive\n\n"
ANSWER = ROLE + event("a") + COMMENT + event("สวัสดี") + USAGE + DONE


class TestStreams:
    @given(st.lists(st.integers(0, len(ANSWER)), max_size=12))
    def test_counts_do_not_depend_on_the_cuts(self, cuts):
        usage = StreamUsage()
        edges = sorted({0, len(ANSWER), *cuts})
        for start, end in zip(edges, edges[1:], strict=False):
            usage.feed(ANSWER[start:end])
        assert (usage.content_events, usage.token_count, usage.done) == (2, 14, True)

    @given(st.binary(max_size=80))
    def test_garbage_is_neither_an_end_nor_an_error(self, data):
        usage = StreamUsage()
        usage.feed(data.replace(b"[DONE]", b""))
        assert not usage.done


class TestPromptBound:
    @pytest.mark.parametrize(
        ("body", "bound"),
        [
            (b'{"max_tokens": 30}', 10),
            (b'{"max_tokens": 99}', 0),
            (b'{"max_tokens": -5}', 40),
            (b"{}", 40),
            (b"no json", 40),
        ],
    )
    def test_bound_is_the_reservation_minus_the_output_limit(self, body, bound):
        assert prompt_token_bound(body, 40) == bound
