"""How slow each upstream is, relative to the other upstreams of its service.

Patterns of load: a third of the engines is slower for good; one upstream becomes
several times as slow for some seconds; each healthy one is slow for fractions of a
second now and then.  Work that is spread by load alone queues at the slow upstreams.

- A sample is the logarithm of the time to the first event, relative to the time that
  the service usually takes for a load of that size (`usual_times`).  Each sample is
  corrected by the known slowness of its upstream before it counts as usual.
- The mean of logarithms, with bounds on each sample, is less sensitive to one slow
  sample than the mean of times.  A median would be as robust, but a process has about
  one recent sample of an upstream, and medians of single samples can't be combined.
- Samples lose half of their weight each `HALF_LIFE_SECONDS`.  One process of a large
  fleet sees too few answers of an upstream to notice a change in time, so processes
  report to their peers.  The mean over processes weighs by samples.
- The factor is the long-term slowness and what of a recent change exceeds the noise.
  A single slow sample or a spell of noise moves no work; if it did, all processes
  would move it together and too late.  Without samples the factor returns to 1, so
  that an upstream that recovered is tried again.
- Only differences within a service count: the median of its upstreams is 1.  A slow
  link of this process, or a service that is slow as a whole, changes nothing.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import copysign, exp, inf, log
from statistics import median

from ragwortkeel.policy.pauses import Instance
from ragwortkeel.policy.usual_times import (
    MAX_FACTOR,
    MIN_FACTOR,
    UsualTimes,
    bounded,
)

NOTABLE_FACTOR = 1.2
"""Factor above which, or below whose inverse, an upstream differs from the others."""

NOISE_FACTOR = 1.6
"""Recent change of a factor that counts as noise.  Spells of noise, and load that is
not known here yet, are over before the work moves."""

NOISE_SLOPE = 2.0
"""How much a change counts with each step beyond the noise, until all of it counts."""

NEGLIGIBLE_FACTOR = 1.1
"""Factors up to this count as 1; they are within the noise of the measurement."""

HALF_LIFE_SECONDS = 1.5
"""Time in which a sample loses half of its weight.  A change has to show within two
seconds, and a spell of noise lasts 0.6 s."""

PRIOR_SAMPLES = 3.0
"""Number of recent samples that count as much as the long-term slowness."""

LONG_TERM_SECONDS = 20.0
"""Time constant at which the long-term slowness follows the recent samples."""

FORGETTING_SECONDS = 40.0
"""Time constant at which the long-term slowness returns to 1 without samples."""

CHANGE_INTERVAL_SECONDS = 10.0
"""Shortest time between two reported changes of an upstream."""

MIN_REPORTED_SAMPLES = 0.25
"""Weight from which an estimate is reported: one sample of the last three seconds."""

MAX_PEER_SAMPLES = 8.0
"""Largest weight of one peer's report, so that no peer outvotes all others."""

NEW_INSTANCE_SECONDS = 2.0
"""Time after a new instance of an upstream in which peers' reports may still be about
the previous one."""

_NOISE_LOG = log(NOISE_FACTOR)
_NOTABLE_LOG, _NEGLIGIBLE_LOG = log(NOTABLE_FACTOR), log(NEGLIGIBLE_FACTOR)


@dataclass(frozen=True, kw_only=True)
class SpeedReport:
    """What one process measured of some upstreams.

    Attributes
    ----------
    slowness_by_upstream : mapping of str to float
        Factor relative to the other upstreams of the service.
    samples_by_upstream : mapping of str to float
        Weight of each factor, in recent samples; 1 where it is missing.
    received_at : float
        Monotonic second.
    """

    slowness_by_upstream: Mapping[str, float]
    samples_by_upstream: Mapping[str, float] = field(default_factory=dict)
    received_at: float = 0.0


@dataclass(frozen=True, kw_only=True)
class SpeedChange:
    """The factor of an upstream began or ceased to be notable.

    Attributes
    ----------
    samples : float
        Weight of the recent samples of this process and of its peers together.
    age_seconds : float or None
        Age of the newest sample of this process or report of a peer; None for none.
    source : str
        What most of the recent samples are from: ``answers`` to this process or
        ``peers``.  ``age`` without recent ones, ``restart`` for a new instance.
    """

    upstream: str
    factor: float
    was: float
    samples: float
    age_seconds: float | None
    source: str


@dataclass(kw_only=True)
class _Evidence:
    """Weighted samples, each a logarithm of a slowness."""

    total: float = 0.0
    weight: float = 0.0
    newest_at: float | None = None

    def add(self, value: float, weight: float, at: float) -> None:
        self.total += value * weight
        self.weight += weight
        self.newest_at = at if self.newest_at is None else max(at, self.newest_at)

    def decay(self, seconds: float) -> None:
        kept = _kept(seconds)
        self.total *= kept
        self.weight *= kept

    @property
    def mean(self) -> float:
        return self.total / self.weight if self.weight else 0.0


@dataclass(kw_only=True)
class _UpstreamSpeed:
    """What is known of one instance of an upstream, as logarithms of slowness."""

    service: str
    started_ms: int
    reports_count_from: float = -inf
    samples: _Evidence = field(default_factory=_Evidence)
    own: float = 0.0
    long_term: float = 0.0
    combined: float = 0.0
    told: float = 0.0
    told_at: float = -inf


class UpstreamSpeeds:
    """Slowness factor of each upstream, from answers to this process and its peers.

    Examples
    --------
    >>> speeds = UpstreamSpeeds()
    >>> speeds.set_upstreams({("u1", 0): "app", ("u2", 0): "app"}, now=0.0)
    >>> speeds.factor(("u1", 0))
    1.0
    """

    def __init__(self) -> None:
        self._speed_by_upstream: dict[str, _UpstreamSpeed] = {}
        self._usual_times = UsualTimes()
        self._evidence_by_upstream: dict[str, _Evidence] = {}
        self._updated_at: float | None = None

    def set_upstreams(
        self, service_by_instance: Mapping[Instance, str], *, now: float
    ) -> None:
        """Replace the known upstreams; a new instance of one starts without samples."""
        previous, self._speed_by_upstream = self._speed_by_upstream, {}
        for (name, started_ms), service in service_by_instance.items():
            known = previous.get(name)
            if known is None:
                known = _UpstreamSpeed(service=service, started_ms=started_ms)
            elif (known.started_ms, known.service) != (started_ms, service):
                known = _UpstreamSpeed(
                    service=service,
                    started_ms=started_ms,
                    reports_count_from=now + NEW_INSTANCE_SECONDS,
                    told=known.told,
                )
                self._evidence_by_upstream.pop(name, None)
            self._speed_by_upstream[name] = known
        self._usual_times.retain(set(service_by_instance.values()))

    def record_answer(
        self,
        instance: Instance,
        *,
        seconds: float,
        load_tokens: float = 0.0,
        now: float,
    ) -> None:
        """Record an answer of an upstream.

        Parameters
        ----------
        seconds : float
            Time from sending the request until the first event or the plain answer.
        load_tokens : float
            Load of an engine with this request, in prompt tokens to read; 0 for a plain
            upstream.
        """
        speed = self._speed_by_upstream.get(instance[0])
        if speed is None or speed.started_ms != instance[1] or seconds <= 0.0:
            return
        deviation = self._usual_times.record(
            speed.service, load_tokens, seconds, speed.combined
        )
        if deviation is not None:
            speed.samples.add(deviation, 1.0, now)

    def update(self, reports: Iterable[SpeedReport], *, now: float) -> None:
        """Recompute the factors from the samples and the reports of the peers."""
        elapsed = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        evidence_by_upstream = self._own_evidence(elapsed)
        for report in reports:
            self._add_report(evidence_by_upstream, report, now)
        self._evidence_by_upstream = evidence_by_upstream
        raw_by_upstream = {}
        for name, speed in self._speed_by_upstream.items():
            evidence = evidence_by_upstream[name]
            trust = _trust(evidence.weight)
            speed.long_term += (evidence.mean - speed.long_term) * (
                trust * _step(elapsed, LONG_TERM_SECONDS)
            )
            speed.long_term *= 1.0 - (1.0 - trust) * _step(elapsed, FORGETTING_SECONDS)
            recent = trust * (evidence.mean - speed.long_term)
            raw_by_upstream[name] = speed.long_term + _beyond_noise(recent)
        for names in self._names_by_service().values():
            usual = median(raw_by_upstream[name] for name in names)
            for name in names:
                combined = bounded(raw_by_upstream[name] - usual)
                self._speed_by_upstream[name].combined = combined

    def factor(self, instance: Instance) -> float:
        """Return the slowness of an upstream; 1 if it is unknown or usual."""
        speed = self._speed_by_upstream.get(instance[0])
        if speed is None or speed.started_ms != instance[1]:
            return 1.0
        return _factor(speed.combined)

    def factor_by_upstream(self) -> dict[str, float]:
        """Return the slowness of each known upstream."""
        return {
            name: _factor(speed.combined)
            for name, speed in self._speed_by_upstream.items()
        }

    def own_report(self, now: float) -> SpeedReport:
        """Return this process's own measurements that peers need.

        These are the factors that differ by over a fifth here, or in the view of the
        whole fleet: samples that contradict those of a peer have to be known too.
        """
        found = {
            name: speed
            for name, speed in self._speed_by_upstream.items()
            if speed.samples.weight >= MIN_REPORTED_SAMPLES
            and max(abs(speed.own), abs(speed.combined)) > _NOTABLE_LOG
        }
        return SpeedReport(
            slowness_by_upstream={
                name: round(exp(bounded(speed.own)), 2) for name, speed in found.items()
            },
            samples_by_upstream={
                name: round(speed.samples.weight, 1) for name, speed in found.items()
            },
            received_at=now,
        )

    def drain_changes(self, now: float) -> list[SpeedChange]:
        """Return the factors that became notable or ceased to be, once each."""
        rv = []
        for name, speed in self._speed_by_upstream.items():
            if now < speed.told_at + CHANGE_INTERVAL_SECONDS:
                continue
            notable = abs(speed.combined) > _NOTABLE_LOG
            if speed.told and speed.told * speed.combined > 0.0:
                # Between the two thresholds nothing is told.
                changed = abs(speed.combined) <= _NEGLIGIBLE_LOG
            else:
                changed = notable or bool(speed.told)
            if changed:
                rv.append(self._change(name, speed, now))
                speed.told = speed.combined if notable else 0.0
                speed.told_at = now
        return rv

    def _change(self, name: str, speed: _UpstreamSpeed, now: float) -> SpeedChange:
        evidence = self._evidence_by_upstream.get(name, _Evidence())
        if evidence.newest_at is None:
            age_seconds, source = None, "restart"
        else:
            age_seconds = round(now - evidence.newest_at, 3)
            source = (
                "answers" if speed.samples.weight >= evidence.weight / 2 else "peers"
            )
            if evidence.weight < MIN_REPORTED_SAMPLES:
                source = "age"
        return SpeedChange(
            upstream=name,
            factor=round(_factor(speed.combined), 2),
            was=round(exp(speed.told), 2),
            samples=round(evidence.weight, 1),
            age_seconds=age_seconds,
            source=source,
        )

    def _own_evidence(self, elapsed: float) -> dict[str, _Evidence]:
        """Return the samples of this process, relative to those of the service."""
        for speed in self._speed_by_upstream.values():
            speed.samples.decay(elapsed)
        rv = {}
        for names in self._names_by_service().values():
            measured = [
                self._speed_by_upstream[name].samples.mean
                for name in names
                if self._speed_by_upstream[name].samples.weight >= MIN_REPORTED_SAMPLES
            ]
            # Two zeros stand for the usual times, which hold if few were measured.
            usual = median([0.0, 0.0, *measured])
            for name in names:
                speed = self._speed_by_upstream[name]
                speed.own = speed.samples.mean - usual if speed.samples.weight else 0.0
                rv[name] = _Evidence()
                if speed.samples.newest_at is not None:
                    rv[name].add(
                        speed.own, speed.samples.weight, speed.samples.newest_at
                    )
        return rv

    def _add_report(
        self,
        evidence_by_upstream: dict[str, _Evidence],
        report: SpeedReport,
        now: float,
    ) -> None:
        kept = _kept(max(0.0, now - report.received_at))
        for name, slowness in report.slowness_by_upstream.items():
            speed = self._speed_by_upstream.get(name)
            if speed is None or report.received_at < speed.reports_count_from:
                continue
            samples = report.samples_by_upstream.get(name, 1.0)
            weight = min(max(0.0, samples), MAX_PEER_SAMPLES) * kept
            value = log(min(MAX_FACTOR, max(MIN_FACTOR, slowness)))
            evidence_by_upstream[name].add(value, weight, report.received_at)

    def _names_by_service(self) -> dict[str, list[str]]:
        rv: dict[str, list[str]] = {}
        for name, speed in self._speed_by_upstream.items():
            rv.setdefault(speed.service, []).append(name)
        return rv


def _factor(value: float) -> float:
    return 1.0 if abs(value) <= _NEGLIGIBLE_LOG else exp(value)


def _beyond_noise(value: float) -> float:
    """Return what of a recent change counts: nothing up to the noise, then more."""
    size = abs(value)
    counted = max(0.0, size - _NOISE_LOG) * NOISE_SLOPE
    return copysign(min(size, counted), value)


def _trust(samples: float) -> float:
    """Return the weight of recent samples against the long-term slowness."""
    return samples**2 / (samples**2 + PRIOR_SAMPLES**2)


def _step(elapsed: float, time_constant: float) -> float:
    return 1.0 - exp(-elapsed / time_constant)


def _kept(seconds: float) -> float:
    """Return the part of its weight that a sample has after that time."""
    return 0.5 ** (seconds / HALF_LIFE_SECONDS)
