import pytest

from ragwortkeel.budget.clocks import FLEET_SLACK_SECONDS, JUMP_SECONDS, Reading


def reading(monotonic=100.0, boot=100.0, wall=1000.0, **bounds):
    return Reading(monotonic=monotonic, boot=boot, wall=wall, **bounds)


class TestStamp:
    def test_age_is_the_larger_of_both_clocks(self):
        stamp = reading().stamp
        assert stamp.age(reading(boot=102.0, wall=1005.0)) == 5.0
        assert stamp.age(reading(boot=105.0, wall=999.0)) == 5.0

    @pytest.mark.parametrize("boot", [3.0, 20_000.0])
    def test_after_a_reboot_a_jump_of_the_time_of_day_is_allowed_for(self, boot):
        """A customer gets more than it paid for after a machine lost power.

        Its boot clock began anew and its time of day was set back; the last write
        of the dead process looked younger than it was.
        """
        stamp = reading().stamp
        assert stamp.age(reading(boot=boot, wall=1001.0)) == 1.0 + JUMP_SECONDS

    def test_after_a_reboot_the_time_of_the_fleet_tells_the_age(self):
        """Callers are refused after a loss of power in an outage of the platform.

        Three seconds were added to the age of the last write for a jump of the time
        of day that had not been, and that much demand was charged for nothing.
        """
        stamp = reading(earliest=999.9).stamp
        found = stamp.age(reading(boot=3.0, wall=1004.0, latest=1004.1))
        assert found == pytest.approx(4.2 + FLEET_SLACK_SECONDS)

    def test_without_the_time_of_the_fleet_a_jump_is_allowed_for(self):
        for stamp in (reading().stamp, reading(earliest=999.9).stamp):
            found = stamp.age(reading(boot=3.0, wall=1004.0))
            assert found == 4.0 + JUMP_SECONDS


class TestReading:
    def test_a_suspension_does_not_count_as_surely_passed(self):
        """A customer gets more than it paid for after a machine stood still.

        Its process woke up and took the five seconds for an outage in which its
        successor would charge the whole slice; to the ledger it was still capped.
        """
        later = reading(monotonic=101.0, boot=106.0, wall=1006.0)
        assert later.min_seconds_since(reading()) == 1.0
