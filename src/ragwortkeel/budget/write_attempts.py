"""Attempts to write renewals whose outcome may still be open.

The caps of a process grow with the time since its stamp in the ledgers, and a successor
charges them by that stamp.  That time counts from the latest attempt that is not known
to have failed:

- From the latest known success would be too early.  If only the answer to a write was
  lost, the stamp is newer than the process assumes, and it spends more than its
  successor charges.
- From any attempt would be too late.  In an outage each failed attempt would postpone
  the growth, and all callers would be refused until the outage ends.
"""

from dataclasses import dataclass

from ragwortkeel.budget.clocks import Reading


@dataclass(frozen=True, kw_only=True)
class _Attempt:
    reading: Reading
    delegated: bool


class WriteAttempts:
    """The write attempts of one process, by the boot clock at each attempt.

    Examples
    --------
    >>> attempts = WriteAttempts()
    >>> reading = Reading(monotonic=1.0, boot=1.0, wall=1.0)
    >>> attempts.record_attempt(reading, delegated=True)
    >>> attempts.any_delegated
    True
    >>> attempts.record_failure(1.0)
    >>> attempts.latest is None
    True
    """

    def __init__(self) -> None:
        self._last_success: Reading | None = None
        self._open_by_boot: dict[float, _Attempt] = {}

    @property
    def latest(self) -> Reading | None:
        """Clocks at the latest attempt that may have taken effect; None without any."""
        readings = [attempt.reading for attempt in self._open_by_boot.values()]
        if self._last_success is not None:
            readings.append(self._last_success)
        return max(readings, key=lambda reading: reading.boot, default=None)

    @property
    def last_success(self) -> Reading | None:
        """Clocks at the latest attempt known to have taken effect; None without any."""
        return self._last_success

    @property
    def any_open(self) -> bool:
        """Whether the outcome of any attempt is open."""
        return bool(self._open_by_boot)

    @property
    def any_delegated(self) -> bool:
        """Whether a peer may still write renewals of this process."""
        return any(attempt.delegated for attempt in self._open_by_boot.values())

    def get_delegated(self, boot: float) -> Reading | None:
        """Return the clocks at a delegation whose outcome is open, or None."""
        attempt = self._open_by_boot.get(boot)
        return attempt.reading if attempt is not None and attempt.delegated else None

    def record_attempt(self, reading: Reading, *, delegated: bool) -> None:
        """Record an attempt: a write of this process, or a delegation to a peer."""
        self._open_by_boot[reading.boot] = _Attempt(
            reading=reading, delegated=delegated
        )

    def record_failure(self, boot: float) -> None:
        """Record that an attempt changed nothing and never will."""
        self._open_by_boot.pop(boot, None)

    def record_own_failures(self) -> None:
        """Record that no write of this process itself can take effect any more."""
        self._open_by_boot = {
            boot: attempt
            for boot, attempt in self._open_by_boot.items()
            if attempt.delegated
        }

    def record_success(self, boot: float) -> None:
        """Record that an attempt took effect, so that no earlier one can any more."""
        attempt = self._open_by_boot.get(boot)
        if attempt is not None and (
            self._last_success is None or self._last_success.boot < boot
        ):
            self._last_success = attempt.reading
        self._open_by_boot = {
            open_boot: open_attempt
            for open_boot, open_attempt in self._open_by_boot.items()
            if open_boot > boot
        }
