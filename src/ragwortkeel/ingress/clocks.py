"""The clocks of this machine, read together.

No single one tells how long ago something was: the monotonic clock stands still
while a machine is suspended, the boot clock starts anew with it, and the time of
day jumps by seconds.
"""

import time
from dataclasses import dataclass

import msgspec


class Stamp(msgspec.Struct, frozen=True, kw_only=True):
    """When a process wrote something, in seconds of two clocks of its machine."""

    boot: float
    wall: float

    def age(self, now: "Stamp") -> float:
        """Return an upper bound of the seconds since, on the same machine.

        The boot clock is wrong after a restart of the machine, the time of day
        after a jump; the larger of both is too small only if both are.  After a
        restart the boot clock runs behind what it was, which no age can show.
        """
        if now.boot < self.boot:
            return float("inf")
        return max(now.boot - self.boot, now.wall - self.wall)


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
