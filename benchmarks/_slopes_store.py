"""What profiles cost a node: memory and time to hold them, and to take a change.

Each size is filled in a process of its own, so that memory freed by change does
not hide what the next takes.
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
    """Report the slopes by the number of profiles."""
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
    """Fill a store and change some of it; return what that cost."""
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
    """Fill the size that the command line names and print the cost as JSON."""
    print(json.dumps(fill(int(sys.argv[1]))), flush=True)


if __name__ == "__main__":
    main()
