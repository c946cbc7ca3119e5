"""Tests of the probes on a daemon's metrics port."""

import curio
import msgspec
import pytest
from curio.task import ContextTask

from ragwortkeel.httpio import HttpClient
from ragwortkeel.metrics import Metrics
from ragwortkeel.probes import Probes, Readiness
from ragwortkeel.traces import Tracing

TRACE = "ab" * 16


def request_probe(target, method="GET", ready=True):
    """Return the response of a daemon's probes to one request."""
    metrics = Metrics()
    metrics.record_request(service="interactive", outcome="not_run", reason="deadline")
    metrics.record_tokens(service="batch", tokens=17)
    metrics.record_first_token(service="interactive", seconds=1.2)
    tracing = Tracing(node="router-1")
    with tracing.span("request", parent=f"00-{TRACE}-{'cd' * 8}-01"):
        pass
    probes = Probes(
        metrics=metrics,
        tracing=tracing,
        readiness=lambda: Readiness(
            ready=ready, state="ready" if ready else "draining"
        ),
        in_force=lambda kind, name: {f"{kind}/{name}": 7},
    )

    async def main():
        server = probes.server(host="127.0.0.1", port=0)
        server.open()
        client = HttpClient(host="127.0.0.1", port=server.port)
        async with curio.TaskGroup(wait=None) as group:
            await group.spawn(server.serve)
            return await client.request(method, target, timeout=5)

    with curio.Kernel(taskcls=ContextTask) as kernel:
        return kernel.run(main)


class TestProbes:
    @pytest.mark.parametrize(
        ("target", "method", "ready", "status"),
        [
            ("/healthz", "GET", False, 200),
            ("/readyz", "GET", True, 200),
            ("/readyz", "GET", False, 503),
            ("/metrics", "GET", True, 200),
            ("/in-force", "GET", True, 200),
            (f"/traces/{TRACE}", "GET", True, 200),
            ("/traces/unknown", "GET", True, 404),
            ("/nowhere", "GET", True, 404),
            ("/metrics", "POST", True, 405),
        ],
    )
    def test_status(self, target, method, ready, status):
        assert request_probe(target, method, ready).status == status

    def test_trace_lists_its_spans(self):
        report = msgspec.json.decode(request_probe(f"/traces/{TRACE}").body)
        assert [span["name"] for span in report["spans"]] == ["request"]

    def test_configuration_in_force_is_returned(self):
        body = request_probe("/in-force?kind=profiles&name=chat").body
        assert msgspec.json.decode(body) == {"profiles/chat": 7}
