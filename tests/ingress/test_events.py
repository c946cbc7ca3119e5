import pytest

from ragwortkeel.exceptions import ExchangeBroken
from ragwortkeel.ingress.events import EventSplitter


def event(number):
    return b"id: %d\ndata: x\n\n" % number


class TestEventSplitter:
    def test_only_whole_events_pass(self):
        splitter = EventSplitter()
        data = event(1) + event(2)
        assert splitter.feed(data[:5]) == b""
        assert splitter.feed(data[5:20]) == event(1)
        assert splitter.feed(data[20:]) == event(2)
        assert splitter.events == 2
        assert not splitter.has_partial_event

    def test_half_an_event_of_a_broken_run_is_dropped(self):
        """A caller gets half an event, and the resumed run's first one glued to it.

        The upstream died in the middle of an event; the next one begins whole.
        """
        splitter = EventSplitter()
        splitter.feed(event(1) + b"id: 2\nda")
        assert splitter.has_partial_event
        splitter.discard_partial_event()
        assert splitter.feed(event(2)) == event(2)
        assert splitter.last_id == 2

    @pytest.mark.parametrize("number", [1, 3, 4])
    def test_a_repeated_or_missing_event_breaks_the_run(self, number):
        splitter = EventSplitter(last_id=1)
        with pytest.raises(ExchangeBroken):
            splitter.feed(event(number))

    def test_a_caller_that_resumes_gets_what_follows(self):
        splitter = EventSplitter(last_id=7)
        assert splitter.feed(event(8)) == event(8)

    def test_comments_and_lines_before_the_id_are_no_fault(self):
        splitter = EventSplitter()
        splitter.feed(b"weight-versions: 2\nid: 1\ndata: x\n\n: ping\n\n" + event(2))
        assert splitter.events == 2
