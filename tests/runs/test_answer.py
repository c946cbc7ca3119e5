"""The answer store: replay, bounds, and the answers that may be removed."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortkeel.runs import answer as module
from ragwortkeel.runs.answer import AnswerStore, AnswerTooLarge
from ragwortkeel.runs.assembly import Assembly


def store_with(nonce="n", data=b"", **limits):
    rv = AnswerStore(**limits)
    rv.open(nonce, status=200, content_type="t")
    rv.append(nonce, data)
    return rv


class TestReplay:
    @given(data=st.binary(min_size=1, max_size=200), cut=st.integers(0, 200))
    def test_replay_from_any_offset_completes_the_answer(self, data, cut):
        cut = min(cut, len(data))
        assembly = Assembly()
        assembly.add(0, data[:cut])
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(module, "REPLAY_CHUNK_BYTES", 16)
            for offset, piece in store_with(data=data).get("n").chunks(cut):
                assembly.add(offset, piece)
        assert assembly.length == len(data)


class TestBounds:
    def test_oldest_finished_answers_are_removed_first(self):
        store = AnswerStore(max_bytes=10)
        for nonce in ("running", "pinned", "old", "new"):
            store.open(nonce, status=200, content_type="t")
            store.append(nonce, b"xx")
        store.finish("pinned", pinned=True)
        store.finish("old")
        store.finish("new")
        store.append("running", b"yyyy")
        assert store.get("old") is None
        assert [bool(store.get(n)) for n in ("running", "pinned", "new")] == [True] * 3
        assert store.size <= 10

    @pytest.mark.parametrize(
        "limits", [{"max_answer_bytes": 3}, {"max_bytes": 3}], ids=["one", "all"]
    )
    def test_too_large_answer_is_refused_not_truncated(self, limits):
        store = store_with(data=b"ab", **limits)
        with pytest.raises(AnswerTooLarge):
            store.append("n", b"cd")
        assert bytes(store.get("n").data) == b"ab"

    def test_unpinned_answers_can_be_removed(self):
        store = store_with(data=b"abcdefgh", max_bytes=10)
        store.finish("n", pinned=True)
        assert store.is_nearly_full
        store.unpin("n")
        assert not store.is_nearly_full
        store.remove("n")
        assert store.size == 0
