"""What callers got, counted by spec and by ask."""

from dataclasses import dataclass, field

from benchmarks.load.workloads import RequestSpec
from ragwortkeel.configuration import ServiceClass


@dataclass(kw_only=True)
class Outcome:
    """What became of one spec over all its calls."""

    spec: RequestSpec
    in_time: bool = False
    calls: int = 0


@dataclass(kw_only=True)
class Measures:
    """Counts of one run; `summary` turns them into the figures of the bench.

    Refusals are answers that it did not run; what broke off after it may have
    run is counted apart.
    """

    seconds: float
    outcomes: dict[int, Outcome] = field(default_factory=dict)
    unserved_seconds: list[float] = field(default_factory=list)
    refusal_seconds: list[float] = field(default_factory=list)
    refusals_by_reason: dict[str, int] = field(default_factory=dict)
    servable_refusals: int = 0
    broken_off: int = 0
    dispatches: int = 0
    extra_attempts: int = 0
    bounced: int = 0
    cross_zone: int = 0
    hit_tokens: int = 0
    prefix_tokens: int = 0

    def summary(self) -> dict[str, float]:
        """Return the figures by name; shares are in 0..1, times in seconds."""
        outcomes = [
            o for o in self.outcomes.values() if not o.spec.disconnects_after_seconds
        ]
        interactive = [o for o in outcomes if _class(o) is ServiceClass.INTERACTIVE]
        batch = [o for o in outcomes if _class(o) is ServiceClass.BATCH]
        filings = [o for o in outcomes if _class(o) is ServiceClass.MUST_NOT_REPEAT]
        small = [o for o in outcomes if o.spec.customer.startswith("small")]
        served = [o for o in outcomes if o.in_time]
        calls = sum(o.calls for o in outcomes)
        tokens = sum(o.spec.output for o in served)
        return {
            "in_time": _share_in_time(outcomes),
            "interactive_in_time": _share_in_time(interactive),
            "batch_in_time": _share_in_time(batch),
            "must_not_repeat_in_time": _share_in_time(filings),
            "small_customers_in_time": _share_in_time(small),
            "goodput_answers": len(served) / self.seconds,
            "goodput_tokens": tokens / self.seconds,
            "refusals": len(self.refusal_seconds) / max(1, calls),
            "broken_off": self.broken_off / max(1, calls),
            "servable_refusals": self.servable_refusals / max(1, calls),
            "refusal_p95_seconds": _quantile(self.refusal_seconds, 0.95),
            "unserved_p95_seconds": _quantile(self.unserved_seconds, 0.95),
            "prefix_hits": self.hit_tokens / max(1, self.prefix_tokens),
            "extra_attempts": self.extra_attempts / max(1, calls),
            "extra_asks": calls / max(1, len(outcomes)) - 1.0,
            "bounced": self.bounced / max(1, self.dispatches),
            "cross_zone": self.cross_zone / max(1, self.dispatches),
        }


def _class(outcome: Outcome) -> ServiceClass:
    return outcome.spec.profile.service


def _share_in_time(outcomes: list[Outcome]) -> float:
    if not outcomes:
        return 1.0
    return sum(outcome.in_time for outcome in outcomes) / len(outcomes)


def _quantile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]
