"""Tasks that run together end together."""

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
    def test_a_dead_task_ends_the_rest_and_is_told(self):
        """A router takes callers but its configuration never changes again.

        Its gossip task had died of a fault, and nobody waited for it.
        """
        with pytest.raises(ExceptionGroup) as caught:
            curio.run(run_together, forever, fails)
        assert [str(e) for e in caught.value.exceptions] == ["a fault"]

    def test_a_job_that_returns_is_told(self):
        with pytest.raises(TaskEnded):
            curio.run(run_together, forever, returns)
