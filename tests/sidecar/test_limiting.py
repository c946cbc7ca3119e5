"""The sidecar's adaptive limit: fed by first pieces, told to routers."""

from ragwortkeel.policy.limits import INITIAL_LIMIT_REQUESTS
from ragwortkeel.sidecar.limiting import OVERSHOOT_RUNS, Limiting


def play(limiting, *, seconds, promised, runs):
    """Run one after the other, each with its first piece after `seconds`."""
    for number in range(runs):
        now = float(number)
        limiting.started(str(number), promised, now)
        limiting.answered(
            str(number), running=limiting.limit, queued=False, now=now + seconds
        )


class TestLimiting:
    def test_slow_first_tokens_lower_it(self):
        """Advisors wait for every first word while the engine takes yet more.

        The engine is slower than its peers; its sidecar told no limit of its
        own, so routers filled it up to the same number as the others.
        """
        limiting = Limiting()
        play(limiting, seconds=2.0, promised=1.5, runs=40)
        assert limiting.limit < INITIAL_LIMIT_REQUESTS

    def test_kept_promises_raise_it(self):
        limiting = Limiting()
        play(limiting, seconds=0.1, promised=1.5, runs=40)
        assert limiting.limit > INITIAL_LIMIT_REQUESTS

    def test_only_the_first_piece_counts(self):
        limiting = Limiting()
        limiting.started("a", 1.5, 0.0)
        limiting.answered("a", running=1, queued=False, now=0.1)
        for second in range(1, 60):
            limiting.answered("a", running=1, queued=False, now=float(second))
        assert limiting.limit == INITIAL_LIMIT_REQUESTS

    def test_dispatches_in_flight_to_it_are_not_refused_at_the_limit_itself(self):
        limiting = Limiting()
        assert limiting.most > limiting.limit + OVERSHOOT_RUNS
