import pytest

from ragwortkeel.exceptions import ExchangeBroken
from ragwortkeel.ingress.events import EventSplitter


def event(number):
    return b"id: %d\ndata: x\n\n" % number


class TestEventSplitter:
    def test_only_complete_events_are_returned(self):
        splitter = EventSplitter()
        data = event(1) + event(2)
        assert splitter.feed(data[:5]) == b""
        assert splitter.feed(data[5:20]) == event(1)
        assert splitter.feed(data[20:]) == event(2)
        assert splitter.events == 2
        assert not splitter.has_partial_event

    def test_an_incomplete_event_of_a_broken_run_is_dropped(self):
        """Guards against an incomplete event joined to the first one of the next run.

        The upstream crashed in the middle of an event; the next run starts with a
        complete one.
        """
        splitter = EventSplitter()
        splitter.feed(event(1) + b"id: 2\nda")
        assert splitter.has_partial_event
        splitter.discard_partial_event()
        assert splitter.feed(event(2)) == event(2)
        assert splitter.last_id == 2

    @pytest.mark.parametrize("size", [1, 2, 3, 5, 64])
    def test_blocks_of_any_size_give_the_same_events(self, size):
        """Guards against an event end that is missed where two blocks meet."""
        data = event(1) + event(2).replace(b"\n", b"\r\n") + b": a\r\n\n" + event(3)
        splitter = EventSplitter()
        blocks = [data[i : i + size] for i in range(0, len(data), size)]
        found = b"".join(splitter.feed(block) for block in blocks)
        assert found == data.replace(b"\r\n", b"\n")
        assert (splitter.events, splitter.buffered_bytes) == (3, 0)

    @pytest.mark.parametrize("number", [1, 3, 4])
    def test_a_repeated_or_missing_event_breaks_the_run(self, number):
        splitter = EventSplitter(last_id=1)
        with pytest.raises(ExchangeBroken):
            splitter.feed(event(number))

    def test_a_resuming_caller_gets_the_next_event(self):
        splitter = EventSplitter(last_id=7)
        assert splitter.feed(event(8)) == event(8)

    def test_comments_and_lines_before_the_id_are_accepted(self):
        splitter = EventSplitter()
        splitter.feed(b"weight-versions: 2\nid: 1\ndata: x\n\n: ping\n\n" + event(2))
        assert splitter.events == 2
