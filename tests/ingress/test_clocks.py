import pytest

from ragwortkeel.ingress.clocks import JUMP_SECONDS, Reading, Stamp


def reading(monotonic=100.0, boot=100.0, wall=1000.0):
    return Reading(monotonic=monotonic, boot=boot, wall=wall)


class TestStamp:
    def test_age_is_the_larger_of_both_clocks(self):
        stamp = reading().stamp
        assert stamp.age(reading(boot=102.0, wall=1005.0).stamp) == 5.0
        assert stamp.age(reading(boot=105.0, wall=999.0).stamp) == 5.0

    @pytest.mark.parametrize("boot", [3.0, 20_000.0])
    def test_after_a_reboot_a_jump_of_the_time_of_day_is_allowed_for(self, boot):
        """A customer gets more than it paid for after a machine lost power.

        Its boot clock began anew and its time of day was set back; the last write
        of the dead process looked younger than it was.
        """
        stamp = reading().stamp
        assert stamp.age(Stamp(boot=boot, wall=1001.0)) == 1.0 + JUMP_SECONDS


class TestReading:
    def test_a_suspension_does_not_count_as_surely_passed(self):
        """A customer gets more than it paid for after a machine stood still.

        Its process woke up and took the five seconds for an outage in which its
        successor would charge the whole slice; to the ledger it was still capped.
        """
        later = reading(monotonic=101.0, boot=106.0, wall=1006.0)
        assert later.surely_since(reading()) == 1.0
