"""What a stand-in of an upstream announces about itself in its responses."""

from ragwortkeel.httpio import Responder

UNAVAILABLE = 503


class AnnouncingResponder:
    """A responder that adds headers to each response.

    Parameters
    ----------
    responder : Responder
        Sends the responses.
    leaving : bool
        Whether to announce that the upstream leaves.
    """

    def __init__(self, *, responder: Responder, leaving: bool) -> None:
        self._responder = responder
        self._headers = {"x-leaving": "1"} if leaving else {}

    def __getattr__(self, name: str):
        return getattr(self._responder, name)

    async def respond(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        """Send a complete response."""
        await self._responder.respond(status, body, headers | self._headers)

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers."""
        await self._responder.start(status, headers | self._headers)


async def reject(responder: AnnouncingResponder, pause_seconds: float) -> None:
    """Reject a request that did not run, and ask for a pause."""
    headers = {"retry-after": f"{pause_seconds:g}", "content-type": "application/json"}
    await responder.respond(UNAVAILABLE, b'{"error":"paused"}', headers)
