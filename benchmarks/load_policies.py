"""What callers get under load: our policies against common ones.

Prints ``key=value`` lines.  ``bench=load`` compares complete schemes on each pattern
of load; ``bench=load_without`` leaves out one of our mechanisms at a time and gives
what it gain, the figure with it less the figure without it.  The
seeds are the same for all, and so are the callers.

Run ``python -m benchmarks.load_policies``; ``--quick`` takes one seed.
"""

import argparse
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from benchmarks.load.fleet import REPORT_LAG_SECONDS, Fleet
from benchmarks.load.schemes import (
    Scheme,
    fixed_limits,
    least_connections,
    ours,
    round_robin,
)
from benchmarks.load.workloads import DEPLOYMENTS, SCENARIOS
from ragwortkeel.policy.settings import Mechanism, SchedulerSettings

SEEDS = (1, 2)
WORKERS = 8

LEFT_OUT_SCENARIOS = (
    "burst",
    "greedy",
    "hot_prefix",
    "saturation",
    "flaky",
    "failing",
)
"""Where mechanisms are left out: the patterns that differed largest_gain."""

OUR_SETTINGS = SchedulerSettings(report_lag_seconds=REPORT_LAG_SECONDS)

COMPARED_IN_LEFT_OUT = (
    "in_time",
    "interactive_in_time",
    "batch_in_time",
    "small_customers_in_time",
    "goodput_tokens",
    "servable_refusals",
    "refusal_p95_seconds",
    "prefix_hits",
    "extra_attempts",
    "cross_zone",
)


def schemes() -> list[Scheme]:
    """Return the schemes to compare; ours first."""
    return [
        ours("ours", settings=OUR_SETTINGS),
        round_robin(),
        least_connections(),
        least_connections(priorities=True),
        fixed_limits(),
    ]


def schemes_without_mechanisms() -> list[Scheme]:
    """Return ours with one mechanism left out each."""
    left_out = [
        ours(mechanism.value, settings=OUR_SETTINGS, disabled=mechanism)
        for mechanism in Mechanism
    ]
    return left_out + [
        ours("adaptive_limit_fixed_at_16", settings=OUR_SETTINGS, fixed_limit=16),
        ours("adaptive_limit_fixed_at_28", settings=OUR_SETTINGS, fixed_limit=28),
        ours("any_limit", settings=OUR_SETTINGS, fixed_limit=10**6),
        ours("prefix_affinity", settings=OUR_SETTINGS, affinity=False),
        ours("affinity_bound", settings=OUR_SETTINGS, load_bound=99.0),
        ours("few_candidates", settings=OUR_SETTINGS, candidate_count=10**6),
        ours("own_zone_first", settings=OUR_SETTINGS, zones=False),
        ours("retry_budget", settings=OUR_SETTINGS, retry_fraction=10.0),
        ours("bounded_shift", settings=OUR_SETTINGS, rise_per_second=1e9),
        ours("batch_headroom", settings=OUR_SETTINGS, batch_fraction=1.0),
        ours("engine_priorities", settings=OUR_SETTINGS, priorities=False),
        ours("cancel_of_left", settings=OUR_SETTINGS, cancels=False),
    ]


@dataclass(frozen=True, kw_only=True)
class Run:
    """One run, by index and name so that it can be sent to a worker."""

    deployment: int
    scenario: int
    scheme: str
    seed: int


@dataclass(frozen=True, kw_only=True)
class Result:
    """What one run gave."""

    run: Run
    summary: dict[str, float]


def play(run: Run) -> Result:
    """Play one run."""
    scheme_by_name = {
        scheme.name: scheme for scheme in (*schemes(), *schemes_without_mechanisms())
    }
    fleet = Fleet(
        deployment=DEPLOYMENTS[run.deployment],
        scenario=SCENARIOS[run.scenario],
        scheme=scheme_by_name[run.scheme],
        seed=run.seed,
    )
    return Result(run=run, summary=fleet.run().summary())


def main(arguments: Sequence[str] | None = None) -> None:
    """Run all and print the lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="one seed only")
    seeds = SEEDS[:1] if parser.parse_args(arguments).quick else SEEDS
    names = [scheme.name for scheme in schemes()]
    left_out = [scheme.name for scheme in schemes_without_mechanisms()]
    all_scenarios = range(len(SCENARIOS))
    runs = _runs(names, all_scenarios, seeds) + _runs(
        left_out, _left_out_scenarios(), seeds
    )
    with ProcessPoolExecutor(WORKERS) as pool:
        results = list(pool.map(play, runs, chunksize=4))
    seed_list = ",".join(str(seed) for seed in seeds)
    _print_schemes(results, names, seed_list)
    _print_without(results, left_out, seed_list)


def _left_out_scenarios() -> list[int]:
    names = [scenario.name for scenario in SCENARIOS]
    return [names.index(name) for name in LEFT_OUT_SCENARIOS]


def _runs(
    names: Sequence[str], scenarios: Iterable[int], seeds: Sequence[int]
) -> list[Run]:
    return [
        Run(deployment=d, scenario=s, scheme=name, seed=seed)
        for name in names
        for d in range(len(DEPLOYMENTS))
        for s in scenarios
        for seed in seeds
    ]


def _print_schemes(results: list[Result], names: list[str], seeds: str) -> None:
    for d, deployment in enumerate(DEPLOYMENTS):
        for s, scenario in enumerate(SCENARIOS):
            for name in names:
                figures = _mean(_select(results, name, d, s))
                print(
                    f"bench=load deployment={deployment.name} "
                    f"scenario={scenario.name} scheme={name} seeds={seeds} "
                    + _format(figures)
                )
        for name in names:
            figures = _mean(_select(results, name, d))
            print(
                f"bench=load deployment={deployment.name} scenario=all "
                f"scheme={name} seeds={seeds} " + _format(figures)
            )


def _print_without(results: list[Result], left_out: list[str], seeds: str) -> None:
    """Print what each mechanism gain: with it less without it, means of all."""
    chosen = set(_left_out_scenarios())
    results = [result for result in results if result.run.scenario in chosen]
    for d, deployment in enumerate(DEPLOYMENTS):
        complete = _mean(_select(results, "ours", d))
        for name in left_out:
            reduced = _mean(_select(results, name, d))
            gain = {k: complete[k] - reduced[k] for k in COMPARED_IN_LEFT_OUT}
            scenario, largest_gain = _largest_gain(results, name, d)
            print(
                f"bench=load_without deployment={deployment.name} mechanism={name} "
                f"seeds={seeds} "
                + _format(gain)
                + f" most_in={scenario} most_in_time={largest_gain:+.4f}"
            )


def _largest_gain(
    results: list[Result], name: str, deployment: int
) -> tuple[str, float]:
    """Return the scenario where the mechanism gain largest_gain in-time answers."""
    gain = []
    for s in _left_out_scenarios():
        complete = _mean(_select(results, "ours", deployment, s))
        reduced = _mean(_select(results, name, deployment, s))
        gain.append((complete["in_time"] - reduced["in_time"], SCENARIOS[s].name))
    largest_gain, where = max(gain)
    return where, largest_gain


def _select(
    results: Iterable[Result], scheme: str, deployment: int, scenario: int | None = None
) -> list[Result]:
    return [
        result
        for result in results
        if result.run.scheme == scheme
        and result.run.deployment == deployment
        and scenario in (None, result.run.scenario)
    ]


def _mean(results: list[Result]) -> dict[str, float]:
    keys = results[0].summary
    return {
        key: sum(result.summary[key] for result in results) / len(results)
        for key in keys
    }


def _format(figures: dict[str, float]) -> str:
    return " ".join(f"{key}={value:.4g}" for key, value in figures.items())


if __name__ == "__main__":
    main()
