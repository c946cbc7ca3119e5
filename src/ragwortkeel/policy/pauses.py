"""Pauses that upstreams ask for when they reject a request.

Load pattern: an upstream sheds its load.  It rejects each request within milliseconds,
so it looks idle and attracts most of the requests, which are all rejected.  It also
states for how long it wants none.

A pause is a hard bound: a shortage of other upstreams does not end it, nor does the
answer to a request that was sent before.  It is asked of one process, so processes
don't share it.  After its end one request probes whether the upstream accepts again;
otherwise all queued requests would be rejected in the same moment.
"""

from dataclasses import dataclass

MAX_PAUSE_SECONDS = 3600.0
"""Longest pause that is obeyed; a wrong value must not exclude an upstream for good."""

PROBE_TIMEOUT_SECONDS = 1.0
"""Time to wait for the answer to a probe, the first request after a pause."""

Instance = tuple[str, int]
"""Name of an upstream and the Unix millisecond of its start."""


@dataclass(frozen=True, kw_only=True)
class _Paused:
    """The upstream gets no request before `until`, and then one."""

    until: float


@dataclass(frozen=True, kw_only=True)
class _Probing:
    """The probe, the first request after a pause, was sent at `since`."""

    since: float


class Pauses:
    """Pauses that one process has to obey, by instance of an upstream.

    Examples
    --------
    >>> pauses = Pauses()
    >>> pauses.record_pause(("u1", 0), 3.0, now=10.0)
    True
    >>> pauses.may_send(("u1", 0), now=12.9), pauses.may_send(("u1", 0), now=13.0)
    (False, True)
    >>> pauses.may_send(("u1", 5), now=12.9)
    True
    """

    def __init__(self) -> None:
        self._state_by_instance: dict[Instance, _Paused | _Probing] = {}

    def record_pause(self, instance: Instance, seconds: float, *, now: float) -> bool:
        """Record a pause from now; return whether there was none.

        Of overlapping pauses the one that ends last counts.
        """
        until = now + min(seconds, MAX_PAUSE_SECONDS)
        match self._state_by_instance.get(instance):
            case _Paused(until=known) if now < known:
                self._state_by_instance[instance] = _Paused(until=max(known, until))
                return False
        if until <= now:
            return False
        self._state_by_instance[instance] = _Paused(until=until)
        return True

    def record_accepted(self, instance: Instance, *, sent_at: float) -> bool:
        """Record an answer without a pause; return whether it ended the probing."""
        match self._state_by_instance.get(instance):
            case _Probing(since=since) if sent_at >= since:
                del self._state_by_instance[instance]
                return True
        return False

    def record_sent(self, instance: Instance, *, now: float) -> None:
        """Record that a request was assigned to the upstream."""
        if instance in self._state_by_instance:
            self._state_by_instance[instance] = _Probing(since=now)

    def may_send(self, instance: Instance, *, now: float) -> bool:
        """Return whether a request may be sent now."""
        return self.seconds_left(instance, now=now) <= 0.0

    def seconds_left(self, instance: Instance, *, now: float) -> float:
        """Return the seconds until a request may be sent; 0 for no pause."""
        match self._state_by_instance.get(instance):
            case _Paused(until=until):
                return max(0.0, until - now)
            case _Probing(since=since):
                return max(0.0, since + PROBE_TIMEOUT_SECONDS - now)
        return 0.0

    def is_paused(self, instance: Instance, *, now: float) -> bool:
        """Return whether a pause is in force, so that nothing may be sent."""
        match self._state_by_instance.get(instance):
            case _Paused(until=until):
                return now < until
        return False

    def retain(self, upstreams: set[str]) -> None:
        """Retain only the pauses of these upstreams."""
        self._state_by_instance = {
            instance: state
            for instance, state in self._state_by_instance.items()
            if instance[0] in upstreams
        }
