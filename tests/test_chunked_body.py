"""Tests of chunked bodies: no damaged body may look like a complete one."""

import pytest

from ragwortkeel.chunked_body import MAX_LINE_BYTES, ChunkedBody

DATA = b"id: 1\ndata: a\n\n"
BODY = b"10\r\nid: 1\ndata: a\n\nx\r\n3;ext=1\r\nabc\r\n0\r\n\r\n"
WHOLE = DATA + b"xabc"


def feed_all(blocks):
    body = ChunkedBody()
    return body, b"".join([body.feed(block) for block in blocks])


class TestChunkedBody:
    @pytest.mark.parametrize("size", [1, 2, 3, 7, 20, 1000])
    def test_data_is_the_same_however_it_is_cut(self, size):
        blocks = [BODY[i : i + size] for i in range(0, len(BODY), size)]
        body, data = feed_all(blocks)
        assert (data, body.complete, body.rest, body.error) == (WHOLE, True, b"", None)

    @pytest.mark.parametrize("length", range(len(BODY)))
    def test_a_body_that_is_cut_off_is_not_complete(self, length):
        body, data = feed_all([BODY[:length]])
        assert not body.complete
        assert WHOLE.startswith(data)

    @pytest.mark.parametrize(
        "body",
        [
            b"2\r\nabc\r\n0\r\n\r\n",
            b"4\r\nabc\r\n0\r\n\r\n",
            b"-3\r\nabc\r\n0\r\n\r\n",
            b"0x3\r\nabc\r\n0\r\n\r\n",
            b"\r\nabc\r\n0\r\n\r\n",
            b"g\r\nabc\r\n0\r\n\r\n",
            b"3\nabc\n0\n\n",
            b"3\r\nabc\r\n0\r\nno trailer\r\n\r\n",
            b"3\r\nabc\r\n0\r\n" + b"a: b\r\n" * MAX_LINE_BYTES,
            b"3\r\nabc\r\n" + b"0" * (MAX_LINE_BYTES + 1),
        ],
    )
    def test_a_damaged_body_is_never_complete(self, body):
        """Guards against a wrong size or trailer that ends a body early."""
        for size in (1, 5, len(body)):
            parsed, _ = feed_all([body[i : i + size] for i in range(0, 20_000, size)])
            assert not parsed.complete

    @pytest.mark.parametrize("size", [1, 2, 16])
    def test_equal_small_chunks_are_parsed_together(self, size, monkeypatch):
        """Guards against a cost for each of a million chunks."""
        lines = []
        receive_line = ChunkedBody._receive_line

        def count(body, line):
            lines.append(line)
            receive_line(body, line)

        monkeypatch.setattr(ChunkedBody, "_receive_line", count)
        data = bytes(range(256)) * size * 8
        chunks = [data[i : i + size] for i in range(0, len(data), size)]
        block = b"".join(b"%x\r\n%b\r\n" % (size, chunk) for chunk in chunks)
        body, parsed = feed_all([block + b"0\r\n\r\n"])
        assert (parsed, body.complete) == (data, True)
        assert len(lines) < len(chunks) / 20

    def test_data_before_an_error_is_returned(self):
        body, data = feed_all([b"3\r\nabc\r\nzz\r\n"])
        assert (data, body.complete, str(body.error)) == (
            b"abc",
            False,
            "a chunk has no valid size",
        )

    def test_trailers_are_dropped_and_bytes_after_the_end_are_kept_apart(self):
        body, data = feed_all([b"1\r\na\r\n0\r\nx-sum: 1\r\n\r\nHTTP/1.1 200 OK"])
        assert (data, body.complete) == (b"a", True)
        assert body.rest == b"HTTP/1.1 200 OK"
