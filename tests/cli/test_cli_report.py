"""Tests of ``ragwortkeel report`` on the log lines of two processes."""

import json

import pytest

from ragwortkeel.cli.report import (
    MAX_NAMES,
    OTHERS,
    Collector,
    report,
    shortage_cause,
)
from ragwortkeel.decision_lines import DecisionLine, parse_line

LINES = """\
timestamp=100.1 level=info event=dispatched request=a waited=0.02
timestamp=100.4 level=info event=served request=a first=0.3 took=0.3
timestamp=103.0 level=info event=tokens_lacking request=b customer=surco needed=50 \
free=10 cap_room=90 unspent=900 ledger_age=0.1 reachable=true
timestamp=103.1 level=info event=refused request=b reason=budget_unreachable
timestamp=103.2 level=info event=refused request=c reason=unknown_key
timestamp=104.0 level=info event=platform_calls calls="watch/ingress/done:3,x"
timestamp=104.1 level=info event=link_traffic most_sent="Heartbeat:60,IngressState:9"
Traceback (most recent call last):
"""


@pytest.fixture
def logs(tmp_path):
    first, second = tmp_path / "one.log", tmp_path / "other.log"
    first.write_text(LINES)
    second.write_text(
        "timestamp=100.2 level=info event=run_failed request=a reason=x\n"
    )
    return first, second


def lack(**fields):
    pairs = " ".join(f"{key}={value}" for key, value in fields.items())
    return parse_line(f"timestamp=1 event=tokens_lacking {pairs}", process="p")


def test_counts_cover_all_processes(terminal, logs):
    code, out, _ = terminal(f"report {logs[0]} {logs[1]} --json")
    found = json.loads(out)
    assert code == 0
    assert found["processes"] == 2
    assert found["served"] == 1
    assert found["refused_by_reason"] == {"budget_unreachable": 1, "unknown_key": 1}
    assert found["lacks_by_cause"] == {"tokens with other processes": 1}
    assert found["platform_calls"] == {"watch/ingress/done": 3}
    assert found["bytes_sent_by_message"] == {"Heartbeat": 60, "IngressState": 9}
    assert found["unreadable_by_file"] == {str(logs[0]): 1}
    # Refusals that the caller caused are not counted.
    assert [(span["served"], span["refused"]) for span in found["spans"]] == [
        (1, 0),
        (0, 1),
    ]


def test_text_output(terminal, logs):
    code, out, _ = terminal(f"report {logs[0]}")
    assert code == 0
    assert "1 not readable" in out
    assert "budget_unreachable" in out


def test_lines_of_a_request_are_in_order_of_time(terminal, logs):
    code, out, _ = terminal(f"report {logs[0]} {logs[1]} --request a")
    events = [row.split()[2] for row in out.splitlines()[1:]]
    assert code == 0
    assert events == ["dispatched", "run_failed", "served"]


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("report", "which files"),
        ("report /nowhere.log", "cannot read"),
        ("report {log} --request nobody", "no line names request nobody"),
    ],
)
def test_error_is_printed_on_one_line(terminal, logs, line, message):
    code, out, errors = terminal(line.format(log=logs[0]))
    assert code == 1
    assert out == ""
    assert len(errors) == 1
    assert message in errors[0]


@pytest.mark.parametrize(
    ("fields", "cause"),
    [
        ({"needed": 50, "unspent": 10, "free": 5}, "budget spent"),
        ({"needed": 50, "unspent": 99, "free": 5}, "tokens with other processes"),
        ({"needed": 50, "unspent": 99, "free": 60}, "cap reached"),
    ],
)
def test_shortage_cause_follows_from_the_figures(fields, cause):
    connected = lack(**fields, ledger_age=0.1, reachable="true")
    disconnected = lack(**fields, ledger_age=3.1, reachable="false")
    assert shortage_cause(connected) == cause
    assert shortage_cause(disconnected) == f"{cause}, platform away"
    assert shortage_cause(lack(**fields, ledger_age="-")).startswith("not yet joined")


def test_memory_is_bounded_with_many_customers():
    collector = Collector()
    for number in range(MAX_NAMES + 5):
        fields = {"customer": f"c{number}", "needed": "1"}
        line = DecisionLine(at=1.0, process="p", event="tokens_lacking", fields=fields)
        collector.add("file", line)
    assert collector.report().lacks_by_customer[OTHERS] == 5


def test_invalid_gzip_file_is_an_error(tmp_path, terminal):
    file = tmp_path / "broken.gz"
    file.write_bytes(b"no gzip")
    code, _, errors = terminal(f"report {file}")
    assert code == 1
    assert "cannot read" in errors[0]


def test_report_is_callable_without_a_command_line(logs):
    assert report((str(logs[0]),), "").data.served == 1


def retry(at, service="app", *, allowed=True, charged=True):
    fields = {
        "service": service,
        "allowed": str(allowed).lower(),
        "charged": str(charged).lower(),
    }
    return DecisionLine(at=at, process="p", event="retry_decided", fields=fields)


def test_retries_are_counted_by_service():
    """Guards against a report that hides retries accumulating at one service."""
    collector = Collector()
    for at in (100.0, 101.0, 109.0, 130.0):
        collector.add("file", retry(at))
    collector.add("file", retry(100.5, "pool"))
    collector.add("file", retry(101.5, allowed=False, charged=False))
    collector.add("file", retry(102.0, charged=False))
    found = collector.report().retries_by_service
    assert (found["app"].allowed, found["app"].refused, found["app"].most) == (4, 1, 3)
    assert (found["pool"].allowed, found["pool"].most) == (1, 1)


def test_text_output_contains_retries(terminal, logs):
    line = "timestamp=101 event=retry_decided service=app allowed=true charged=true\n"
    logs[1].write_text(line)
    code, out, _ = terminal(f"report {logs[1]}")
    assert code == 0
    assert "most in ten seconds" in out


def test_streams_are_counted_by_who_knew_their_origin(terminal, logs):
    """Guards against a report that hides streams which could not go on."""
    sources = ("own", "10.1.0.9:7780", "10.2.0.9:7780", "sole_version", "unknown")
    lines = [f"timestamp=1 event=stream_taken_up source={each}" for each in sources]
    lines.append("timestamp=2 event=stream_not_continued version=v1")
    logs[1].write_text("\n".join(lines))
    code, out, _ = terminal(f"report {logs[1]} --json")
    assert code == 0
    assert json.loads(out)["taken_up_by_origin"] == {
        "own": 1,
        "peer": 2,
        "sole_version": 1,
        "unknown": 1,
        "broken off, not continued": 1,
    }
