"""Running a suspected request alone: nothing else is at the upstream meanwhile."""

from ragwortkeel.messages import Dispatch


class Isolation:
    """The one request that runs alone, or waits until it can.

    Failure: a request that crashes upstreams takes its neighbours' answers with
    it.  While one is to run alone nothing new is let in, so what runs drains
    within its deadlines, and then it runs by itself.
    """

    def __init__(self) -> None:
        self._dispatch: Dispatch | None = None
        self._started = False

    @property
    def is_occupied(self) -> bool:
        """Whether a request runs alone or waits to; nothing else may start."""
        return self._dispatch is not None

    def set_pending(self, dispatch: Dispatch) -> None:
        """Take the request that is to run alone."""
        self._dispatch = dispatch
        self._started = False

    def is_waiting(self, nonce: str) -> bool:
        """Whether this nonce is held and has not started."""
        return self.is_occupied and not self._started and self._dispatch.nonce == nonce

    def start_if_alone(self, running: int) -> Dispatch | None:
        """Return the held request once nothing but it is in the journal."""
        if self._dispatch is None or self._started or running > 1:
            return None
        self._started = True
        return self._dispatch

    def record_end(self, nonce: str) -> None:
        """Let others in again once the request that was alone is over."""
        if self.is_occupied and self._dispatch.nonce == nonce:
            self._dispatch = None
