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
        """Guards against overspending after a loss of power.

        The boot clock starts anew and the time of day is set back, so that the last
        write of the crashed process seems more recent than it is.
        """
        stamp = reading().stamp
        assert stamp.age(reading(boot=boot, wall=1001.0)) == 1.0 + JUMP_SECONDS

    def test_after_a_reboot_fleet_time_bounds_the_age(self):
        """Guards against refusals after a loss of power in an outage.

        An allowance of 3 s for a jump of the time of day that did not happen would
        charge that much demand that was never spent.
        """
        stamp = reading(earliest=999.9).stamp
        found = stamp.age(reading(boot=3.0, wall=1004.0, latest=1004.1))
        assert found == pytest.approx(4.2 + FLEET_SLACK_SECONDS)

    def test_without_fleet_time_a_jump_is_allowed_for(self):
        for stamp in (reading().stamp, reading(earliest=999.9).stamp):
            found = stamp.age(reading(boot=3.0, wall=1004.0))
            assert found == 4.0 + JUMP_SECONDS


class TestReading:
    def test_a_suspension_does_not_count_as_elapsed_time(self):
        """Guards against overspending after the suspension of an instance.

        If the resumed process counted the 5 s as an outage, it would let its cap grow,
        while a successor would still charge the cap of the ledger only.
        """
        later = reading(monotonic=101.0, boot=106.0, wall=1006.0)
        assert later.min_seconds_since(reading()) == 1.0
