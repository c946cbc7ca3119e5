"""Tests of the reader of log lines: plain, with a collector's prefix, invalid."""

import gzip

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortkeel.decision_lines import parse_line, read_lines
from ragwortkeel.logs import render

PLAIN = 'timestamp=12.500000 level=info event=served request=r1 detail="a \\"b\\" c"'


def test_a_line_holds_an_event_and_its_fields():
    line = parse_line(PLAIN, process="ingress-1")
    assert (line.at, line.process, line.event) == (12.5, "ingress-1", "served")
    assert line.fields == {"level": "info", "request": "r1", "detail": 'a "b" c'}


def test_a_collectors_prefix_names_the_process():
    assert parse_line(f"   8.69 front-2 {PLAIN}", process="file").process == "front-2"


@pytest.mark.parametrize(
    "text",
    [
        "",
        "Traceback (most recent call last):",
        "level=info",
        "timestamp=x event=served",
    ],
)
def test_other_text_is_no_event(text):
    assert parse_line(text, process="file") is None


@given(st.text(max_size=40), st.integers(), st.booleans())
def test_rendered_lines_are_parsed(text, number, flag):
    message = {"message_type": "event", "text": text, "number": number, "flag": flag}
    line = parse_line(render(message).decode(), process="file")
    assert line.event == "event"
    assert line.fields["number"] == str(number)
    assert line.fields["flag"] == str(flag).lower()
    assert line.fields["text"] == text.encode("utf-8", "backslashreplace").decode()


@given(st.text(max_size=200))
def test_no_text_raises(text):
    parse_line(f"timestamp={text} event={text}", process="file")


def test_gzip_files_are_read(tmp_path):
    file = tmp_path / "ingress-3.log.gz"
    file.write_bytes(gzip.compress(f"{PLAIN}\n\nrubbish\n".encode()))
    line, invalid = read_lines(str(file))
    assert line.process == "ingress-3"
    assert invalid is None
