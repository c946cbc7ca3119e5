"""Budget schemes side by side under the same faults and seeds.

Run with ``python -m benchmarks.budget_schemes``; ``--seeds N`` takes more.
"""

import argparse
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from benchmarks._budget_baselines import (
    CentralCounter,
    ExpiringLease,
    Oracle,
    Scheme,
    StaticSplit,
)
from benchmarks._budget_ours import MECHANISMS, Ours
from benchmarks._budget_simulation import FAULTS, RACK_LOST, Fault, Simulation
from ragwortkeel.configuration import Spread

SEEDS = 4

LEFT_OUT_UNDER = {
    "seal": ("router_killed", "router_paused"),
    "cap": (RACK_LOST.name,),
    "transfer": ("hot_router", "nearly_spent", "router_cut_off"),
    "adaptive_slice": ("platform_down", "router_cut_off", "nearly_spent"),
}
"""Where each mechanism is meant to help; without it, the other rows are alike."""

NARROW_UNDER = ("platform_down", "router_killed", "nearly_spent", RACK_LOST.name)


@dataclass(kw_only=True)
class Row:
    """Counts of one scheme under one fault, summed over the seeds."""

    scheme: str
    fault: str
    seeds: int = 0
    admitted: int = 0
    overspent_tokens: int = 0
    false_refusals: int = 0
    double_charged: int = 0
    uncharged: int = 0
    ran_twice: int = 0

    def add(self, simulation: Simulation) -> None:
        """Count one run."""
        charges = simulation.scheme.charges_by_request
        answered = [r.request_id for r in simulation.requests if r.answered]
        self.seeds += 1
        self.admitted += simulation.admitted
        self.overspent_tokens += max(0, simulation.spent - simulation.prepaid)
        self.false_refusals += simulation.false_refusals
        self.double_charged += sum(count > 1 for count in charges.values())
        self.uncharged += sum(request not in charges for request in answered)
        self.ran_twice += simulation.ran_twice

    def __str__(self) -> str:
        return " ".join(f"{key}={value}" for key, value in vars(self).items())


def measure(scheme: Callable[[], Scheme], fault: Fault, seeds: int) -> Row:
    """Return the row of one scheme under one fault."""
    row = Row(scheme=scheme().name, fault=fault.name)
    for seed in range(seeds):
        row.add(Simulation(fault=fault, seed=seed, scheme=scheme()).play())
    return row


def main() -> None:
    """Print all rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--scheme", default="")
    seeds, only = (a := parser.parse_args()).seeds, a.scheme
    schemes = [Oracle, CentralCounter, StaticSplit, ExpiringLease, Ours]
    for fault in (*FAULTS, RACK_LOST):
        left_out = [k for k, faults in LEFT_OUT_UNDER.items() if fault.name in faults]
        without = [partial(Ours, mechanisms=MECHANISMS - {k}) for k in left_out]
        if fault.name in NARROW_UNDER:
            without.append(partial(Ours, spread=Spread.NARROW))
        for scheme in schemes + without:
            if only in scheme().name:
                print(measure(scheme, fault, seeds), flush=True)


if __name__ == "__main__":
    main()
