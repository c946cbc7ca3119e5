"""Adaptive timeout from recent response times.

Load pattern: a service that answers in milliseconds becomes unreachable.  The first
call waits for its full timeout, and with it every caller that needs the result.  A
fixed timeout has to allow for the slowest answers, and is a hundred times too long for
usual ones.
"""

MIN_TIMEOUT_SECONDS = 0.25
"""Lower bound: TCP retransmits a lost packet after 0.2 s, and a call that takes longer
is late in any case."""

MEAN_FACTOR = 6.0
"""Timeout as a multiple of the mean response time; response times of a slow service
vary less than that."""

NEWEST_WEIGHT = 0.2
"""Weight of the newest response time in the mean, which covers about ten answers."""


class AnswerTimeout:
    """A timeout that follows the response times of a service.

    The timeout doubles with each call without an answer, so that a service that has
    become slow is recognised after one or two calls and not taken for failed.

    Parameters
    ----------
    max_seconds : float
        Upper bound of the timeout, which also holds before the first answer.

    Attributes
    ----------
    max_seconds : float
        As given.

    Examples
    --------
    >>> timeout = AnswerTimeout(max_seconds=0.6)
    >>> timeout.record_answer(0.004)
    >>> timeout.seconds
    0.25
    >>> timeout.record_timeout()
    >>> timeout.seconds
    0.5
    """

    def __init__(self, *, max_seconds: float) -> None:
        self.max_seconds = max_seconds
        self._mean_seconds: float | None = None
        self._backoff_factor = 1.0

    @property
    def seconds(self) -> float:
        """Timeout of the next call, in seconds."""
        if self._mean_seconds is None:
            return self.max_seconds
        timeout = max(MIN_TIMEOUT_SECONDS, MEAN_FACTOR * self._mean_seconds)
        return min(self.max_seconds, timeout * self._backoff_factor)

    def record_answer(self, seconds: float) -> None:
        """Record the response time of a call."""
        mean = seconds if self._mean_seconds is None else self._mean_seconds
        self._mean_seconds = mean + (seconds - mean) * NEWEST_WEIGHT
        self._backoff_factor = 1.0

    def record_timeout(self) -> None:
        """Record a call without an answer."""
        self._backoff_factor = min(
            2 * self._backoff_factor, self.max_seconds / MIN_TIMEOUT_SECONDS
        )
