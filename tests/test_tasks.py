"""Tests of endless tasks that run together: the end of one ends all."""

import curio
import pytest

from ragwortkeel.exceptions import TaskEnded
from ragwortkeel.tasks import run_together


async def forever():
    await curio.Event().wait()


async def fails():
    raise ValueError("a fault")


async def returns():
    await curio.sleep(0)


class TestRunTogether:
    def test_a_failed_task_ends_the_others_and_is_raised(self):
        """Guard against a router that serves an outdated configuration.

        Its gossip task has failed, and no other task waits for it.
        """
        with pytest.raises(ExceptionGroup) as caught:
            curio.run(run_together, forever, fails)
        assert [str(e) for e in caught.value.exceptions] == ["a fault"]

    def test_a_job_that_returns_is_an_error(self):
        with pytest.raises(TaskEnded):
            curio.run(run_together, forever, returns)
