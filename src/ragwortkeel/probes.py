"""Probes on a daemon's metrics port: health, metrics, traces, configuration.

``/healthz`` returns 200 as long as the process serves requests.  ``/readyz`` returns
200 while the balancer should send callers to this process, and 503 as soon as a
planned stop begins.
"""

from collections.abc import Callable

import msgspec

from ragwortkeel.httpio import HttpServer, Request, Responder
from ragwortkeel.metrics import CONTENT_TYPE, Metrics
from ragwortkeel.received_bytes import ReceivedBytes
from ragwortkeel.traces import Tracing

JSON_TYPE = "application/json"
TRACES_PREFIX = "/traces/"
MAX_BODY_BYTES = 1024
"""Limit of a request body.  No probe needs one."""

MAX_RECEIVED_BYTES = 4 * 1024 * 1024
"""Bound of what is held of all requests for probes."""


class Readiness(msgspec.Struct, frozen=True, kw_only=True):
    """Whether this daemon accepts requests, and the state of its lifecycle."""

    ready: bool
    state: str


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """Error that a probe answers with."""

    status: int
    title: str


class Probes:
    """HTTP handler for the probes of one daemon.

    Parameters
    ----------
    readiness
        Called for each request of `ready_path`.
    in_force
        Called for each ``/in-force`` with the requested ``kind`` and ``name``, each
        possibly empty; returns the configuration in force here as a value that can
        be encoded as JSON.
    ready_path
        Path of the readiness probe that the balancer requests.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        *,
        metrics: Metrics,
        tracing: Tracing,
        readiness: Callable[[], Readiness],
        in_force: Callable[[str, str], object],
        ready_path: str = "/readyz",
    ) -> None:
        self._metrics = metrics
        self._tracing = tracing
        self._readiness = readiness
        self._in_force = in_force
        self._ready_path = ready_path

    def server(self, *, host: str, port: int) -> HttpServer:
        """Return an HTTP server for these probes, not yet open."""
        return HttpServer(
            host=host,
            port=port,
            handler=self.handle,
            max_body_bytes=MAX_BODY_BYTES,
            received=ReceivedBytes(max_bytes=MAX_RECEIVED_BYTES),
        )

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one HTTP request."""
        if request.method not in ("GET", "HEAD"):
            await _reply(
                responder, 405, Problem(status=405, title="only GET is served")
            )
            return
        match request.path:
            case "/metrics":
                headers = {"content-type": CONTENT_TYPE}
                await responder.respond(200, self._metrics.render(), headers)
            case "/healthz":
                await _reply(responder, 200, {"alive": True})
            case self._ready_path:
                readiness = self._readiness()
                await _reply(responder, 200 if readiness.ready else 503, readiness)
            case "/in-force":
                asked = request.query.get("kind", ""), request.query.get("name", "")
                await _reply(responder, 200, self._in_force(*asked))
            case path if path.startswith(TRACES_PREFIX):
                report = self._tracing.ring.report(path.removeprefix(TRACES_PREFIX))
                await _reply(responder, 200 if report.spans else 404, report)
            case _:
                await _reply(responder, 404, Problem(status=404, title="no such page"))


async def _reply(responder: Responder, status: int, value: object) -> None:
    body = msgspec.json.encode(value)
    await responder.respond(status, body, {"content-type": JSON_TYPE})
