"""Running the tasks of one part together, so that none dies unnoticed."""

from collections.abc import Awaitable, Callable

import curio

from ragwortkeel.exceptions import TaskEnded


async def run_together(*jobs: Callable[[], Awaitable[None]]) -> None:
    """Run endless jobs until cancelled.

    Failure: one task dies of a fault and the rest goes on without it, a process
    that looks alive and is deaf.  So the end of one, by a fault or by returning,
    ends them all, and the caller hears of it.

    Raises
    ------
    ExceptionGroup
        With the errors of all jobs that had failed.
    TaskEnded
        A job returned, which none should.
    """
    async with curio.TaskGroup(wait=any) as group:
        tasks = [await group.spawn(job) for job in jobs]
    errors = [t.exception for t in tasks if _has_failed(t)]
    if errors:
        raise ExceptionGroup("tasks failed", errors)
    raise TaskEnded(f"{group.completed.name} returned")


def _has_failed(task: curio.Task) -> bool:
    return isinstance(task.exception, Exception) and not task.cancelled
