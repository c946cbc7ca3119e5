"""How long callers may leave their connections idle while the limit changes."""

CONFIGURATION_SECONDS = 2.0
"""Time from the confirmation of a change until it is in force at all processes."""


class IdleLimits:
    """The limits that may be in force, from the oldest on.

    Parameters
    ----------
    seconds : float
        The first limit.
    """

    def __init__(self, *, seconds: float) -> None:
        self._sent = [seconds]
        self._confirmed_at: list[float] = [float("-inf")]

    def send(self, seconds: float) -> None:
        """Note a change that is about to be sent; `confirm` has to follow."""
        self._sent.append(seconds)

    def confirm(self, at: float) -> None:
        """Note that the last change was confirmed."""
        self._confirmed_at.append(at)

    def least_seconds(self, at: float) -> float:
        """Return the smallest limit that may be in force at some process."""
        in_force = max(
            index
            for index, confirmed_at in enumerate(self._confirmed_at)
            if confirmed_at <= at - CONFIGURATION_SECONDS
        )
        return min(self._sent[in_force:])
