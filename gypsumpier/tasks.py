"""Cancels tasks, and runs work with bounded concurrency."""

import asyncio
from collections.abc import Awaitable, Callable, Collection
from typing import Any


async def end_task(task: asyncio.Task[Any] | None) -> None:
    """Cancel the task and wait until it has ended; None and finished tasks are ignored.

    A cancellation of the caller propagates.  Suppressing CancelledError around ``await task`` would
    swallow it, and a caller that is cancelled during its clean-up would never end.
    """
    if task is None or task.done():
        return
    task.cancel()
    await asyncio.wait({task})


async def in_parallel(
    numbers: Collection[int], work: Callable[[int], Awaitable[object]], max_concurrency: int
) -> None:
    """Run the work for each number, ``max_concurrency`` at a time; raise the first error."""
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
