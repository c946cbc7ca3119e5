"""Answers from chunks that arrive late, twice, overlapping or out of order."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortkeel.runs.assembly import AnswerMismatch, Assembly, GapTooWide


@st.composite
def scrambled(draw):
    """Return an answer and chunks of it that cover it, in any order."""
    answer = draw(st.binary(max_size=60))
    cuts = draw(st.lists(st.integers(0, len(answer)), max_size=8))
    edges = sorted({0, len(answer), *cuts})
    chunks = [(a, answer[a:b]) for a, b in zip(edges, edges[1:], strict=False)]
    for _ in range(draw(st.integers(0, 4))):
        start = draw(st.integers(0, len(answer)))
        chunks.append((start, answer[start : start + draw(st.integers(0, 20))]))
    return answer, draw(st.permutations(chunks))


class TestAnyOrder:
    @given(scrambled(), st.booleans())
    def test_released_bytes_are_the_answer_and_whole_only_then(self, case, end_first):
        answer, chunks = case
        assembly, released = Assembly(), b""
        if end_first:
            assembly.finish(len(answer))
        for offset, data in chunks:
            released += assembly.add(offset, data)
            assert answer.startswith(released)
            assert assembly.is_complete == (end_first and released == answer)
        assembly.finish(len(answer))
        assert released == answer
        assert assembly.is_complete

    @given(scrambled(), st.data())
    def test_lost_chunks_are_a_gap_that_a_replay_fills(self, case, data):
        answer, chunks = case
        kept = [chunk for chunk in chunks if data.draw(st.booleans())]
        assembly = Assembly()
        released = b"".join(assembly.add(offset, piece) for offset, piece in kept)
        assembly.finish(len(answer))
        assert assembly.is_complete == (released == answer)
        assert assembly.has_gap == (not assembly.is_complete)
        released += assembly.add(len(released), answer[len(released) :])
        assert released == answer
        assert assembly.is_complete


class TestContradictions:
    @pytest.mark.parametrize(
        ("chunk", "ends"),
        [((0, b"abcd"), [3]), ((2, b"cd"), [3]), ((0, b"ab"), [2, 3])],
    )
    def test_end_marker_that_contradicts_is_refused(self, chunk, ends):
        assembly = Assembly()
        assembly.add(*chunk)
        with pytest.raises(AnswerMismatch):
            for end in ends:
                assembly.finish(end)

    def test_chunk_beyond_the_end_is_refused(self):
        assembly = Assembly()
        assembly.finish(2)
        with pytest.raises(AnswerMismatch):
            assembly.add(1, b"bc")

    def test_wide_gap_is_bounded(self):
        assembly = Assembly(max_buffered_bytes=4)
        assembly.add(10, b"abc")
        with pytest.raises(GapTooWide):
            assembly.add(20, b"de")
