"""Tests of the sinks: complete events and explicit ends of answers."""

import msgspec
from curio import run

from ragwortkeel.router.refusals import Outcome, Reason, Refusal
from ragwortkeel.router.sinks import (
    EVENT_STREAM,
    BufferedSink,
    EventSplitter,
    StreamSink,
)

TOKEN = b'data: {"choices":[{"delta":{"content":"a"}}]}\n\n'
FAILED = Refusal(outcome=Outcome.FAILED, reason=Reason.UPSTREAM_FAILED)


class FakeResponder:
    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.ended = False

    async def respond(self, status, body, headers):
        await self.start(status, headers)
        await self.send(body)
        await self.finish()

    async def start(self, status, headers):
        self.status, self.headers = status, headers

    async def send(self, data):
        self.body += data

    async def finish(self):
        self.ended = True


def stream_sink():
    responder = FakeResponder()
    return responder, StreamSink(responder=responder, request_id="r")


class TestEventSplitter:
    def test_only_complete_events_are_returned(self):
        splitter = EventSplitter()
        assert splitter.add(TOKEN[:10]) == b""
        assert splitter.add(TOKEN[10:] + TOKEN[:5]) == TOKEN
        assert splitter.tokens == 1

    def test_a_partial_event_is_discarded_before_another_run_continues(self):
        """Guards against an answer with invalid JSON in the middle.

        An upstream fails within an event and another upstream continues the
        answer; the partial event would be joined with the next one.
        """
        splitter = EventSplitter()
        splitter.add(TOKEN + TOKEN[:9])
        splitter.discard_partial_event()
        assert splitter.add(TOKEN) == TOKEN

    def test_an_empty_first_event_is_not_counted_as_a_token(self):
        splitter = EventSplitter()
        splitter.add(TOKEN.replace(b'"a"', b'""') + TOKEN)
        assert splitter.tokens == 1


class TestStreamSink:
    def test_a_refusal_before_the_first_token_is_a_problem(self):
        responder, sink = stream_sink()
        run(sink.refuse, FAILED)
        assert responder.status == 502
        assert responder.headers["content-type"] == "application/problem+json"

    def test_a_stream_that_cannot_be_continued_ends_with_an_error_event(self):
        """Guards against a truncated answer that a caller takes for complete.

        Without an error event the caller can't detect that data is missing.
        """
        responder, sink = stream_sink()

        async def main():
            await sink.write(TOKEN, EVENT_STREAM)
            await sink.refuse(FAILED)

        run(main)
        event = responder.body.removeprefix(TOKEN)
        assert event.startswith(b"event: error\ndata: ")
        problem = msgspec.json.decode(event.removeprefix(b"event: error\ndata: "))
        assert problem["outcome"] == "failed"
        assert b"[DONE]" not in responder.body

    def test_the_last_event_is_sent_without_an_empty_line_at_its_end(self):
        """Guards against a complete answer that lacks its last event.

        Some engines end their last event with a single line feed.
        """
        responder, sink = stream_sink()

        async def main():
            await sink.write(TOKEN + b"data: [DONE]\n", EVENT_STREAM)
            await sink.finish(200, EVENT_STREAM)

        run(main)
        assert responder.body == TOKEN + b"data: [DONE]\n"

    def test_a_plain_answer_to_a_stream_request_is_sent_completely(self):
        responder, sink = stream_sink()

        async def main():
            await sink.write(b'{"error":', "application/json")
            await sink.write(b'"no"}', "application/json")
            await sink.finish(400, "application/json")

        run(main)
        assert (responder.status, responder.body) == (400, b'{"error":"no"}')


class TestBufferedSink:
    def test_chunks_of_an_interrupted_run_are_discarded(self):
        responder = FakeResponder()
        sink = BufferedSink(responder=responder, request_id="r")

        async def main():
            await sink.write(b"half", "text/plain")
            sink.restart()
            await sink.write(b"whole", "text/plain")
            await sink.finish(200, "text/plain")

        run(main)
        assert responder.body == b"whole"

    def test_a_refusal_has_a_retry_after_header(self):
        responder = FakeResponder()
        sink = BufferedSink(responder=responder, request_id="r")
        refusal = Refusal(
            outcome=Outcome.NOT_RUN,
            reason=Reason.QUEUE_FULL,
            retry_after_seconds=2.2,
        )
        run(sink.refuse, refusal)
        assert responder.status == 429
        assert responder.headers["retry-after"] == "3"
