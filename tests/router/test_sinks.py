"""Answers on their way to the caller: whole events, explicit ends."""

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
    def test_only_whole_events_pass(self):
        splitter = EventSplitter()
        assert splitter.add(TOKEN[:10]) == b""
        assert splitter.add(TOKEN[10:] + TOKEN[:5]) == TOKEN
        assert splitter.tokens == 1

    def test_a_torn_event_is_dropped_before_another_run_goes_on(self):
        """A caller's client fails on broken JSON in the middle of an answer.

        The upstream died within an event; the rest came from another upstream,
        and the torn half was glued to it.
        """
        splitter = EventSplitter()
        splitter.add(TOKEN + TOKEN[:9])
        splitter.discard_partial_event()
        assert splitter.add(TOKEN) == TOKEN

    def test_an_empty_first_event_is_no_token(self):
        splitter = EventSplitter()
        splitter.add(TOKEN.replace(b'"a"', b'""') + TOKEN)
        assert splitter.tokens == 1


class TestStreamSink:
    def test_a_refusal_before_the_first_token_is_a_problem(self):
        responder, sink = stream_sink()
        run(sink.refuse, FAILED)
        assert responder.status == 502
        assert responder.headers["content-type"] == "application/problem+json"

    def test_a_stream_that_cannot_go_on_ends_with_an_error_event(self):
        """A truncated answer is taken for a whole one.

        The stream just stopped; nothing told the caller's client that the rest
        is missing.
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

    def test_the_end_of_a_whole_stream_passes_without_an_empty_line(self):
        """An answer lacks its last event and its end mark, and looks whole.

        The engine ended its last event by a single line end.
        """
        responder, sink = stream_sink()

        async def main():
            await sink.write(TOKEN + b"data: [DONE]\n", EVENT_STREAM)
            await sink.finish(200, EVENT_STREAM)

        run(main)
        assert responder.body == TOKEN + b"data: [DONE]\n"

    def test_a_plain_answer_to_a_stream_request_passes_whole(self):
        responder, sink = stream_sink()

        async def main():
            await sink.write(b'{"error":', "application/json")
            await sink.write(b'"no"}', "application/json")
            await sink.finish(400, "application/json")

        run(main)
        assert (responder.status, responder.body) == (400, b'{"error":"no"}')


class TestWholeSink:
    def test_pieces_of_a_run_that_broke_off_are_forgotten(self):
        responder = FakeResponder()
        sink = BufferedSink(responder=responder, request_id="r")

        async def main():
            await sink.write(b"half", "text/plain")
            sink.restart()
            await sink.write(b"whole", "text/plain")
            await sink.finish(200, "text/plain")

        run(main)
        assert responder.body == b"whole"

    def test_when_to_come_back_is_told(self):
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
