"""Tests of the stand-in platform's control calls."""

import curio
import msgspec
import pytest

from ragwortkeel.httpio import HttpClient
from ragwortkeel.standins.local_platform import Counts, LocalPlatform, Switches
from ragwortkeel.standins.platform import open_server


def _calls(platform, calls):
    async def main():
        server, task = await open_server(host="127.0.0.1", port=0, platform=platform)
        client = HttpClient(host="127.0.0.1", port=server.port)
        responses = [
            await client.request(method, target, body=body, timeout=5.0)
            for method, target, body in calls
        ]
        await client.close()
        await server.stop_accepting()
        await task.cancel()
        return responses

    return curio.run(main)


class TestControl:
    def test_switches_are_replaced(self):
        platform = LocalPlatform()
        _calls(platform, [("POST", "/switches", b'{"down": true, "lost_answers": 2}')])
        assert platform.switches == Switches(down=True, lost_answers=2)

    def test_counts_are_shown_while_down(self):
        platform = LocalPlatform()
        platform.switches.down = True
        responses = _calls(
            platform, [("GET", "/v1/objects/k/n", b""), ("GET", "/counts", b"")]
        )
        assert [response.status for response in responses] == [503, 200]
        assert msgspec.json.decode(responses[1].body, type=Counts).reads == 1

    @pytest.mark.parametrize(
        ("method", "target", "body", "status"),
        [
            ("POST", "/switches", b'{"dwon": true}', 400),
            ("POST", "/live", b"[]", 400),
            ("PUT", "/v1/objects/k/n", b"", 400),
            ("GET", "/v1/watch/k", b"", 400),
            ("GET", "/nothing", b"", 404),
        ],
    )
    def test_bad_calls_are_refused(self, method, target, body, status):
        assert _calls(LocalPlatform(), [(method, target, body)])[0].status == status
