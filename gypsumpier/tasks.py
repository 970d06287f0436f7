"""Ending tasks, and running work a few at once."""

import asyncio
from collections.abc import Awaitable, Callable, Collection


async def end_task(task: asyncio.Task[None] | None) -> None:
    """Cancel the task and wait for its end.

    A cancellation of the caller passes through.  To suppress CancelledError around ``await task``
    would swallow it: the caller, stopped while it cleans up, would go on for ever.
    """
    if task is None or task.done():
        return
    task.cancel()
    await asyncio.wait({task})


async def in_parallel(
    numbers: Collection[int], work: Callable[[int], Awaitable[object]], max_concurrency: int
) -> None:
    """Run the work for each number, a few at once; raise the first error."""
    remaining = iter(numbers)

    async def run() -> None:
        for number in remaining:
            await work(number)

    try:
        async with asyncio.TaskGroup() as group:
            for _ in range(min(max_concurrency, len(numbers))):
                group.create_task(run())
    except ExceptionGroup as errors:
        raise errors.exceptions[0] from errors
