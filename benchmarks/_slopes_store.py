"""Measures memory and time to store profiles in a process, and to merge a change.

Each size is measured in a separate process, so that memory freed after one size
doesn't hide the memory of the next.
"""

import json
import subprocess
import sys

import msgspec

from benchmarks._slopes_fit import own_cpu_seconds, report_slope, usage_of
from ragwortkeel.configuration import PROFILES, Profile, ServiceClass
from ragwortkeel.configuration_store import ConfigurationStore
from ragwortkeel.messages import VersionedObject

SIZES = (10_000, 50_000, 250_000)
CHANGES = 2_000


def measure_store() -> None:
    """Report the costs by the number of profiles."""
    used = {size: _in_child(size) for size in SIZES}
    for what, unit in (
        ("profile_memory", "bytes"),
        ("profile_make_and_fill_cpu", "us"),
        ("profile_change_cpu", "us"),
    ):
        points = [(size, used[size][what]) for size in SIZES]
        report_slope(what, unit, "profile", points)


def _in_child(size: int) -> dict[str, float]:
    command = [sys.executable, "-m", "benchmarks._slopes_store", str(size)]
    done = subprocess.run(command, capture_output=True, check=True)
    return json.loads(done.stdout)


def fill(size: int) -> dict[str, float]:
    """Fill a store, merge changes and return the costs."""
    changes = [_profile(number, version=2) for number in range(CHANGES)]
    store = ConfigurationStore()
    before = usage_of()
    started = own_cpu_seconds()
    for number in range(size):
        store.merge([_profile(number, version=1)])
    filled = own_cpu_seconds()
    memory = usage_of().memory_bytes - before.memory_bytes
    for change in changes:
        store.merge([change])
    changed = own_cpu_seconds()
    return {
        "profile_memory": memory,
        "profile_make_and_fill_cpu": (filled - started) * 1e6,
        "profile_change_cpu": (changed - filled) / CHANGES * 1e6,
    }


def _profile(number: int, version: int) -> VersionedObject:
    profile = Profile(
        name=f"customer-{number % 340}.profile-{number}",
        customer=f"customer-{number % 340}",
        service=ServiceClass.INTERACTIVE,
        deadline_seconds=30.0,
        first_token_seconds=1.5,
        back_ends=("assistant",),
    )
    value = msgspec.json.encode(profile)
    return VersionedObject(
        kind=PROFILES, name=profile.name, version=version, value=value
    )


def main() -> None:
    """Measure the size in the command line arguments and print the costs as JSON."""
    print(json.dumps(fill(int(sys.argv[1]))), flush=True)


if __name__ == "__main__":
    main()
