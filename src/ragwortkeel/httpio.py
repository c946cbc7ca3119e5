"""HTTP/1.1 on curio through h11: a server for callers and a client for peers.

Bodies, header blocks and the time to send them are bounded, so that one slow
or oversized peer holds one connection and nothing else.
"""

from ragwortkeel.http_client import HttpClient, Response, StreamedResponse
from ragwortkeel.http_responder import Request, Responder
from ragwortkeel.http_server import MAX_BODY_BYTES, Handler, HttpServer

__all__ = [
    "MAX_BODY_BYTES",
    "Handler",
    "HttpClient",
    "HttpServer",
    "Request",
    "Responder",
    "Response",
    "StreamedResponse",
]
