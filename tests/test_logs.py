"""Tests of log lines: one line for each event, written without blocking."""

import os
import time

import curio
import pytest

from ragwortkeel import logs
from ragwortkeel.logs import (
    MAX_LINE_BYTES,
    CountedLine,
    Level,
    LineDestination,
    render,
)


class TestRendering:
    @pytest.mark.parametrize(
        ("value", "text"),
        [
            ("plain", "plain"),
            ("two words", '"two words"'),
            ("a=b", '"a=b"'),
            ('say "x"', '"say \\"x\\""'),
            ("line\nbreak", '"line\\nbreak"'),
            ("", '""'),
            ("สวัสดี", "สวัสดี"),
            (b"\xff", '"\\\\xff"'),
            (None, "-"),
            (True, "true"),
            (0.25, "0.25"),
            (7, "7"),
            ({"a": 1}, '"{\\"a\\":1}"'),
        ],
    )
    def test_value(self, value, text):
        line = render({"message_type": "event", "timestamp": 1.5, "key": value})
        head = "timestamp=1.500000 level=info event=event key="
        assert line.decode() == f"{head}{text}\n"

    @pytest.mark.parametrize("value", ["x" * 100_000, "ก" * 100_000, "\ud800\n"])
    def test_event_is_one_line_of_bounded_length(self, value):
        line = render({"message_type": "event", "key": value})
        assert len(line) <= MAX_LINE_BYTES
        assert line.count(b"\n") == 1
        assert line.endswith(b"\n")


class TestDestination:
    def test_a_reader_that_stops_does_not_block_the_process(self):
        """Guard against a daemon that blocks on a stuck log collector.

        The pipe fills up.  Further lines are dropped instead of blocking the process,
        and the first line after the reader resumes holds their count.
        """
        reading, writing = os.pipe()
        destination = LineDestination(fd=writing)
        for _ in range(200):
            destination({"message_type": "event", "key": "x" * 1000})
        dropped = destination.dropped
        assert dropped > 0
        os.read(reading, 1_000_000)
        destination({"message_type": "back"})
        text = os.read(reading, 1_000_000).decode()
        assert f"event=log_lines_dropped count={dropped}\n" in text
        assert "event=back" in text
        os.close(reading)
        destination({"message_type": "nobody listens"})
        assert destination.dropped == 1
        os.close(writing)

    def test_lower_levels_are_not_written(self):
        reading, writing = os.pipe()
        destination = LineDestination(fd=writing, level=Level.WARNING)
        destination({"message_type": "quiet", "level": Level.INFO})
        destination({"message_type": "loud", "level": Level.ERROR})
        assert os.read(reading, 10_000).count(b"event=") == 1
        os.close(reading)
        os.close(writing)


@pytest.fixture
def logged(monkeypatch):
    """Return the warnings and errors that are logged during a test."""
    lines = []
    for name in ("log_warning", "log_error"):
        monkeypatch.setattr(
            logs, name, lambda event, **fields: lines.append((event, fields))
        )
    return lines


class TestCountedLine:
    def test_many_events_are_one_line_an_interval(self, logged):
        now = [100.0]
        line = CountedLine("often", interval_seconds=1.0, clock=lambda: now[0])
        for _ in range(1000):
            line.record(size=7)
        now[0] += 1.0
        line.record(size=8)
        assert logged == [
            ("often", {"count": 1, "size": 7}),
            ("often", {"count": 1000, "size": 8}),
        ]


class TestCurioLogs:
    def test_late_time_limits_are_counted(self, logged, capfd):
        """Guards against thousands of unstructured lines of a process that is late."""
        logs.route_curio_logs()

        async def end_late():
            for _ in range(3):
                async with curio.timeout_after(0.001):
                    time.sleep(0.002)

        with curio.Kernel() as kernel:
            kernel.run(end_late)
        assert capfd.readouterr().err == ""
        ((event, fields),) = logged
        assert (event, fields["count"]) == ("late_timeouts", 1)
        assert 0 < fields["seconds"] < 1

    def test_a_crash_of_a_task_is_logged_with_its_traceback(self, logged, capfd):
        logs.route_curio_logs()

        async def fail():
            raise KeyError("gone")

        async def main():
            task = await curio.spawn(fail)
            await task.wait()

        with curio.Kernel() as kernel:
            kernel.run(main)
        assert capfd.readouterr().err == ""
        ((event, fields),) = logged
        assert event == "curio_message"
        assert "Task Crash" in fields["message"]
        assert "KeyError: 'gone'" in fields["message"]
