"""The clocks of this instance, read together.

No single one tells how long ago something was: the monotonic clock stands still
while a machine is suspended, the boot clock starts anew with it, and the time of
day jumps by seconds.
"""

import time
from dataclasses import dataclass

import msgspec

JUMP_SECONDS = 3.0
"""How far the time of day may jump between two looks; synchronised clocks are
stepped by less."""

FLEET_SLACK_SECONDS = 0.1
"""For the drift of clocks between two looks at those of the peers."""

REBOOT_SECONDS = 60.0
"""Where the boot clock says so much more than the time of day, it began anew."""


class Stamp(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """When a process wrote something, in seconds of two clocks of its instance.

    `earliest` is a lower bound of the time of day by the clocks of the fleet, where
    that was known.
    """

    boot: float
    wall: float
    earliest: float | None = None

    def rebooted(self, now: "Reading") -> bool:
        """Whether the instance has started anew since."""
        by_boot = now.boot - self.boot
        by_wall = now.wall - self.wall
        return by_boot < 0 or by_boot > by_wall + REBOOT_SECONDS

    def age(self, now: "Reading") -> float:
        """Return an upper bound of the seconds since, on the same instance.

        Without a reboot the larger of both is too small only if both are wrong.
        After one only the time of day is left: the fleet's, between bounds, or else
        that of the instance, whose jumps are allowed for.
        """
        by_wall = now.wall - self.wall
        if not self.rebooted(now):
            return max(now.boot - self.boot, by_wall)
        if self.earliest is not None and now.latest is not None:
            return now.latest - self.earliest + FLEET_SLACK_SECONDS
        return by_wall + JUMP_SECONDS


@dataclass(frozen=True, kw_only=True)
class Reading:
    """One look at all clocks, in seconds.

    `earliest` and `latest` bound the time of day by the clocks of the fleet; None
    where too few are known.
    """

    monotonic: float
    boot: float
    wall: float
    earliest: float | None = None
    latest: float | None = None

    @property
    def stamp(self) -> Stamp:
        """The part that another start of this process can compare with."""
        return Stamp(boot=self.boot, wall=self.wall, earliest=self.earliest)

    def min_seconds_since(self, earlier: "Reading") -> float:
        """Return a lower bound of the seconds since a reading of this process."""
        return min(self.monotonic - earlier.monotonic, self.boot - earlier.boot)


def read_clocks() -> Reading:
    """Return what the clocks show now."""
    return Reading(
        monotonic=time.monotonic(),
        boot=time.clock_gettime(time.CLOCK_BOOTTIME),
        wall=time.time(),
    )
