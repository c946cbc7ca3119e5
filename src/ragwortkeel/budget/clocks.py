"""Readings of all clocks of this instance at the same moment.

No single clock is enough to compute an age: the monotonic clock stops while the
instance is suspended, the boot clock restarts with the instance, and the time of day
jumps by seconds.
"""

import time
from dataclasses import dataclass

import msgspec

JUMP_SECONDS = 3.0
"""Largest jump of the time of day between two readings.

Synchronised clocks are stepped by less.
"""

FLEET_SLACK_SECONDS = 0.1
"""Allowance for the drift of clocks between two readings of the peers' clocks."""

REBOOT_SECONDS = 60.0
"""Excess of boot time over wall time that shows a reboot.

The boot clock restarts at a reboot, so a longer elapsed boot time belongs to another
boot.
"""


class Stamp(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The moment of a write, in seconds of two clocks of the writer's instance.

    `earliest` is a lower bound of the fleet time, None if that was unknown.
    """

    boot: float
    wall: float
    earliest: float | None = None

    def rebooted(self, now: "Reading") -> bool:
        """Return whether the instance has rebooted since this stamp."""
        by_boot = now.boot - self.boot
        by_wall = now.wall - self.wall
        return by_boot < 0 or by_boot > by_wall + REBOOT_SECONDS

    def age(self, now: "Reading") -> float:
        """Return an upper bound of the seconds since this stamp, on the same instance.

        Without a reboot it is the larger of boot and wall time, which is too small only
        if both clocks are wrong.  After a reboot only the time of day remains: fleet
        time between its bounds, or else the wall clock with an allowance for its jumps.
        """
        by_wall = now.wall - self.wall
        if not self.rebooted(now):
            return max(now.boot - self.boot, by_wall)
        if self.earliest is not None and now.latest is not None:
            return now.latest - self.earliest + FLEET_SLACK_SECONDS
        return by_wall + JUMP_SECONDS


@dataclass(frozen=True, kw_only=True)
class Reading:
    """All clocks of this instance at one moment, in seconds.

    `earliest` and `latest` bound the fleet time; None if too few clocks of the fleet
    are known.
    """

    monotonic: float
    boot: float
    wall: float
    earliest: float | None = None
    latest: float | None = None

    @property
    def stamp(self) -> Stamp:
        """The clocks that another start of this process can compare with its own."""
        return Stamp(boot=self.boot, wall=self.wall, earliest=self.earliest)

    def min_seconds_since(self, earlier: "Reading") -> float:
        """Return a lower bound of the seconds since an earlier reading here."""
        return min(self.monotonic - earlier.monotonic, self.boot - earlier.boot)


def read_clocks() -> Reading:
    """Return a reading of this instance's own clocks, without fleet time."""
    return Reading(
        monotonic=time.monotonic(),
        boot=time.clock_gettime(time.CLOCK_BOOTTIME),
        wall=time.time(),
    )
