"""The stand-ins as processes, and the forwarder that tests cut and silence."""

import http.client
import json
import signal

import pytest
from deployments.fleet import (
    IncompleteAnswer,
    Stream,
    accepts_connections,
    answer_text,
    send_request,
    wait_until,
)

from ragwortkeel.standins.engine_answers import expected_answer

CHAT = "/v1/chat/completions"


def chat(prompt, **fields):
    return {"model": "m", "messages": [{"role": "user", "content": prompt}]} | fields


class TestEngineProcess:
    def test_marked_request_crashes_it(self, fleet):
        engine = fleet.engine()
        fleet.set_switches(engine, crash_on="poison")
        with pytest.raises((OSError, http.client.HTTPException)):
            send_request(engine.ports["http"], "POST", CHAT, chat("some poison"))
        assert engine.popen.wait(20) != 0

    def test_death_in_the_middle_of_a_stream_shows_as_broken(self, fleet):
        engine = fleet.engine()
        fleet.set_switches(engine, die_after_tokens=3)
        stream = Stream(engine.ports["http"], CHAT, chat("hi", stream=True))
        with pytest.raises(IncompleteAnswer):
            list(stream.events())
        stream.close()

    def test_terminates_with_zero(self, fleet):
        for program in (fleet.engine(), fleet.service(), fleet.platform()):
            assert program.terminate() == 0


class TestForwarder:
    def test_silent_connection_carries_nothing_while_new_ones_work(self, fleet):
        engine = fleet.engine(token_seconds=0.05)
        forwarder = fleet.forwarder("forwarder", engine.ports["http"])
        port = forwarder.ports["tcp"]
        old = http.client.HTTPConnection("127.0.0.1", port, timeout=1)
        old.request("GET", "/load")
        assert old.getresponse().read()
        forwarder.send(signal.SIGUSR1)
        with pytest.raises(TimeoutError):
            old.request("GET", "/load")
            old.getresponse()
        old.close()
        answer = send_request(port, "POST", CHAT, chat("hello"))
        text = json.loads(answer.body)["choices"][0]["message"]["content"]
        assert text == expected_answer("hello")

    def test_cut_ends_connections_and_refuses_new_ones(self, fleet):
        engine = fleet.engine(token_seconds=0.05)
        forwarder = fleet.forwarder("forwarder", engine.ports["http"])
        port = forwarder.ports["tcp"]
        body = chat("answer_tokens=1000", stream=True)
        stream = Stream(port, CHAT, body)
        events = stream.events()
        first = next(events)
        forwarder.send(signal.SIGUSR2)
        with pytest.raises(IncompleteAnswer):
            list(events)
        stream.close()
        assert answer_text([first])
        forwarder.send(signal.SIGUSR2)
        wait_until(lambda: accepts_connections(port), "connects again")
