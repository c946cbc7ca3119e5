"""The clocks of this machine, read together.

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

REBOOT_SECONDS = 60.0
"""Where the boot clock says so much more than the time of day, it began anew."""


class Stamp(msgspec.Struct, frozen=True, kw_only=True):
    """When a process wrote something, in seconds of two clocks of its machine."""

    boot: float
    wall: float

    def age(self, now: "Stamp") -> float:
        """Return an upper bound of the seconds since, on the same machine.

        Without a reboot the larger of both is too small only if both are wrong.
        After one only the time of day is left, and its jumps are allowed for.
        """
        by_boot = now.boot - self.boot
        by_wall = now.wall - self.wall
        if by_boot < 0 or by_boot > by_wall + REBOOT_SECONDS:
            return by_wall + JUMP_SECONDS
        return max(by_boot, by_wall)


@dataclass(frozen=True, kw_only=True)
class Reading:
    """One look at all clocks, in seconds."""

    monotonic: float
    boot: float
    wall: float

    @property
    def stamp(self) -> Stamp:
        """The part that another start of this process can compare with."""
        return Stamp(boot=self.boot, wall=self.wall)

    def surely_since(self, earlier: "Reading") -> float:
        """Return a lower bound of the seconds since a reading of this process."""
        return min(self.monotonic - earlier.monotonic, self.boot - earlier.boot)


def read_clocks() -> Reading:
    """Return what the clocks show now."""
    return Reading(
        monotonic=time.monotonic(),
        boot=time.clock_gettime(time.CLOCK_BOOTTIME),
        wall=time.time(),
    )
