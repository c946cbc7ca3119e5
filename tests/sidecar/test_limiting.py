"""The adaptive limit of the upstream, which times to first chunk change."""

from ragwortkeel.policy.limits import INITIAL_LIMIT_REQUESTS
from ragwortkeel.sidecar.upstream_limit import OVERSHOOT_RUNS, UpstreamLimit


def play(upstream_limit, *, seconds, promised, runs):
    """Run one after the other, each with its first chunk after `seconds`."""
    for number in range(runs):
        now = float(number)
        upstream_limit.record_start(str(number), promised, now)
        upstream_limit.record_first_chunk(
            str(number), running=upstream_limit.limit, queued=False, now=now + seconds
        )


class TestLimiting:
    def test_slow_first_tokens_lower_the_limit(self):
        """An engine is slower than the others and its first tokens are late.

        Without a limit of its own, routers assign it as many runs as the others.
        """
        upstream_limit = UpstreamLimit()
        play(upstream_limit, seconds=2.0, promised=1.5, runs=40)
        assert upstream_limit.limit < INITIAL_LIMIT_REQUESTS

    def test_first_tokens_in_time_raise_the_limit(self):
        upstream_limit = UpstreamLimit()
        play(upstream_limit, seconds=0.1, promised=1.5, runs=40)
        assert upstream_limit.limit > INITIAL_LIMIT_REQUESTS

    def test_only_the_first_chunk_counts(self):
        upstream_limit = UpstreamLimit()
        upstream_limit.record_start("a", 1.5, 0.0)
        upstream_limit.record_first_chunk("a", running=1, queued=False, now=0.1)
        for second in range(1, 60):
            upstream_limit.record_first_chunk(
                "a", running=1, queued=False, now=float(second)
            )
        assert upstream_limit.limit == INITIAL_LIMIT_REQUESTS

    def test_dispatches_slightly_over_the_limit_are_not_refused(self):
        upstream_limit = UpstreamLimit()
        assert upstream_limit.max_runs > upstream_limit.limit + OVERSHOOT_RUNS
