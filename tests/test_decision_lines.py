"""Lines as processes write them, as collectors pass them on, and rubbish."""

import gzip

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortkeel.decision_lines import parse_line, read_lines
from ragwortkeel.logs import render

PLAIN = 'timestamp=12.500000 level=info event=served request=r1 detail="a \\"b\\" c"'


def test_a_line_is_its_event_and_fields():
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
def test_what_is_no_line_is_told_apart(text):
    assert parse_line(text, process="file") is None


@given(st.text(max_size=40), st.integers(), st.booleans())
def test_what_a_process_writes_is_read_back(text, number, flag):
    message = {"message_type": "event", "text": text, "number": number, "flag": flag}
    line = parse_line(render(message).decode(), process="file")
    assert line.event == "event"
    assert line.fields["number"] == str(number)
    assert line.fields["flag"] == str(flag).lower()
    assert line.fields["text"] == text.encode("utf-8", "backslashreplace").decode()


@given(st.text(max_size=200))
def test_no_text_ends_the_reader(text):
    parse_line(f"timestamp={text} event={text}", process="file")


def test_gzip_files_are_read_too(tmp_path):
    file = tmp_path / "ingress-3.log.gz"
    file.write_bytes(gzip.compress(f"{PLAIN}\n\nrubbish\n".encode()))
    line, rubbish = read_lines(str(file))
    assert line.process == "ingress-3"
    assert rubbish is None
