"""Groups of endless tasks that fail together, so that no failure is unnoticed."""

from collections.abc import Awaitable, Callable

import curio

from ragwortkeel.exceptions import TaskEnded


async def run_together(*jobs: Callable[[], Awaitable[None]]) -> None:
    """Run endless jobs until cancelled, or until one of them ends.

    A process whose other tasks go on after one has failed looks live but does only
    some of its work.  So the end of one job, by an error or a return, cancels all
    others and is raised to the caller.

    Raises
    ------
    ExceptionGroup
        At least one job failed; it holds the errors of all failed jobs.
    TaskEnded
        A job returned, though it should run forever.
    """
    async with curio.TaskGroup(wait=any) as group:
        tasks = [await group.spawn(job) for job in jobs]
    errors = [t.exception for t in tasks if _has_failed(t)]
    if errors:
        raise ExceptionGroup("tasks failed", errors)
    raise TaskEnded(f"{group.completed.name} returned")


def _has_failed(task: curio.Task) -> bool:
    return isinstance(task.exception, Exception) and not task.cancelled
