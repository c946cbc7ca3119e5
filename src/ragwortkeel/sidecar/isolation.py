"""Isolated execution of a request that is suspected of crashing upstreams."""

from ragwortkeel.messages import Dispatch


class Isolation:
    """The single request that runs in isolation or is pending for it.

    Failure prevented: a request that crashes upstreams breaks the runs beside it.
    While a request is pending nothing new is admitted, so the runs in flight end
    within their deadlines, and the request then runs alone.
    """

    def __init__(self) -> None:
        self._dispatch: Dispatch | None = None
        self._started = False

    @property
    def is_occupied(self) -> bool:
        """Whether a request runs alone or is pending; no other may start."""
        return self._dispatch is not None

    def set_pending(self, dispatch: Dispatch) -> None:
        """Store the request that is to run alone."""
        self._dispatch = dispatch
        self._started = False

    def is_waiting(self, nonce: str) -> bool:
        """Return whether the request with this nonce is pending."""
        return self.is_occupied and not self._started and self._dispatch.nonce == nonce

    def start_if_alone(self, running: int) -> Dispatch | None:
        """Return the pending request once no other run is in flight, else None."""
        if self._dispatch is None or self._started or running > 1:
            return None
        self._started = True
        return self._dispatch

    def record_end(self, nonce: str) -> None:
        """Release the isolation if the ended run held it."""
        if self.is_occupied and self._dispatch.nonce == nonce:
            self._dispatch = None
