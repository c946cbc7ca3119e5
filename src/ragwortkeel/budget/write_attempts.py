"""WriteAttempts to renew that may have taken effect, or may still.

The caps of a process grow with the time since its stamp in the ledgers, and a successor
charges them by that stamp.  Failures it guards against: the answer to a write is lost
and the stamp is newer than the process believes, so it spends what its successor does
not charge; and, counted from any try, in an outage each vain one would put the growth
off for ever, and all callers are refused until it ends.  So the time counts from the
latest try that is not known to have failed.
"""

from dataclasses import dataclass

from ragwortkeel.budget.clocks import Reading


@dataclass(frozen=True, kw_only=True)
class _Attempt:
    reading: Reading
    delegated: bool


class WriteAttempts:
    """The tries of one process, by the boot clock at which each was made.

    Examples
    --------
    >>> tries = WriteAttempts()
    >>> tries.record_attempt(Reading(monotonic=1.0, boot=1.0, wall=1.0), delegated=True)
    >>> tries.any_delegated
    True
    >>> tries.record_failure(1.0)
    >>> tries.latest is None
    True
    """

    def __init__(self) -> None:
        self._last_success: Reading | None = None
        self._open_by_boot: dict[float, _Attempt] = {}

    @property
    def latest(self) -> Reading | None:
        """The clocks at the latest try that may stand in the ledgers."""
        readings = [attempt.reading for attempt in self._open_by_boot.values()]
        if self._last_success is not None:
            readings.append(self._last_success)
        return max(readings, key=lambda reading: reading.boot, default=None)

    @property
    def any_open(self) -> bool:
        """Whether any try may still take effect."""
        return bool(self._open_by_boot)

    @property
    def any_delegated(self) -> bool:
        """Whether a peer may still write what it was handed."""
        return any(attempt.delegated for attempt in self._open_by_boot.values())

    def get_delegated(self, boot: float) -> Reading | None:
        """Return the clocks at a hand-over whose outcome is open, or None."""
        attempt = self._open_by_boot.get(boot)
        return attempt.reading if attempt is not None and attempt.delegated else None

    def record_attempt(self, reading: Reading, *, delegated: bool) -> None:
        """Note a try: a write of this process, or renewals handed to a peer."""
        self._open_by_boot[reading.boot] = _Attempt(
            reading=reading, delegated=delegated
        )

    def record_failure(self, boot: float) -> None:
        """Note that a try certainly changed nothing and never will."""
        self._open_by_boot.pop(boot, None)

    def record_own_failures(self) -> None:
        """Note that no write of this process can be done any more."""
        self._open_by_boot = {
            boot: attempt
            for boot, attempt in self._open_by_boot.items()
            if attempt.delegated
        }

    def record_success(self, boot: float) -> None:
        """Note that a try took effect: none made before it can any more."""
        attempt = self._open_by_boot.get(boot)
        if attempt is not None and (
            self._last_success is None or self._last_success.boot < boot
        ):
            self._last_success = attempt.reading
        self._open_by_boot = {
            started_at: open_attempt
            for started_at, open_attempt in self._open_by_boot.items()
            if started_at > boot
        }
