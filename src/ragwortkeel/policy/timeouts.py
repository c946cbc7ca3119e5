"""How long to wait for an answer, by how long answers took lately.

Pattern of load: a service that answers in milliseconds is cut off.  The first call
hangs until its timeout, and with it every caller who waits for what it brings; a
fixed timeout has to bear the slowest hours and so is a hundred times too long in
ordinary ones.
"""

MIN_TIMEOUT_SECONDS = 0.25
"""A lost packet is sent again after 0.2 s; a call that takes longer is late anyway."""

MEAN_FACTOR = 6.0
"""Times the mean: answers of a slow hour spread less than that around it."""

NEWEST_WEIGHT = 0.2
"""Of the newest answer in the mean; of some ten answers the mean is made."""


class AnswerTimeout:
    """A timeout that follows the service.

    It doubles with each call that gets no answer, so that a service which has
    become slow is found out after a call or two and not taken for gone.

    Parameters
    ----------
    longest : float
        Seconds that it never exceeds.

    Examples
    --------
    >>> timeout = AnswerTimeout(longest=0.6)
    >>> timeout.answered(0.004)
    >>> timeout.seconds
    0.25
    >>> timeout.timed_out()
    >>> timeout.seconds
    0.5
    """

    def __init__(self, *, max_seconds: float) -> None:
        self._max_seconds = max_seconds
        self._mean_seconds: float | None = None
        self._backoff_factor = 1.0

    @property
    def seconds(self) -> float:
        """How long to wait for the next answer."""
        if self._mean_seconds is None:
            return self._max_seconds
        least = max(MIN_TIMEOUT_SECONDS, MEAN_FACTOR * self._mean_seconds)
        return min(self._max_seconds, least * self._backoff_factor)

    def record_answer(self, seconds: float) -> None:
        """Take in how long an answer took."""
        known = seconds if self._mean_seconds is None else self._mean_seconds
        self._mean_seconds = known + (seconds - known) * NEWEST_WEIGHT
        self._backoff_factor = 1.0

    def record_timeout(self) -> None:
        """Note a call without an answer."""
        self._backoff_factor = min(
            2 * self._backoff_factor, self._max_seconds / MIN_TIMEOUT_SECONDS
        )
