"""HTTP/1.1 with curio and h11: a server and a client.

The server limits the size of bodies and headers and the time to receive them, so
that a slow peer or one that sends too much occupies only its own connection.
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
