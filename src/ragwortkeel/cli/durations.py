"""Quantiles of durations in log lines."""

from collections import Counter

import msgspec

_FIRST_BUCKET_SECONDS = 0.001
_BUCKET_FACTOR = 1.25


class Quantiles(msgspec.Struct, frozen=True, kw_only=True):
    """Quantiles as upper bounds in seconds, at most 25% too high."""

    count: int
    half: float
    nine_tenths: float
    all_but_one_in_100: float


class Durations:
    """Counts durations in buckets, in memory independent of their number.

    Examples
    --------
    >>> durations = Durations()
    >>> durations.add(0.2)
    >>> durations.quantiles().count
    1
    """

    def __init__(self) -> None:
        self._count_by_bucket: Counter[int] = Counter()

    def add(self, seconds: float) -> None:
        """Add one duration."""
        bucket, bound = 0, _FIRST_BUCKET_SECONDS
        while seconds > bound and bucket < 80:
            bucket, bound = bucket + 1, bound * _BUCKET_FACTOR
        self._count_by_bucket[bucket] += 1

    def quantiles(self) -> Quantiles:
        """Return the quantiles of all durations added."""
        return Quantiles(
            count=self._count_by_bucket.total(),
            half=self._at(0.5),
            nine_tenths=self._at(0.9),
            all_but_one_in_100=self._at(0.99),
        )

    def _at(self, fraction: float) -> float:
        wanted_count, seen_count = fraction * self._count_by_bucket.total(), 0
        for bucket in sorted(self._count_by_bucket):
            seen_count += self._count_by_bucket[bucket]
            if seen_count >= wanted_count:
                return round(_FIRST_BUCKET_SECONDS * _BUCKET_FACTOR**bucket, 4)
        return 0.0
