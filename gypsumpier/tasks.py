"""Ending tasks."""

import asyncio


async def end_task(task: asyncio.Task[None] | None) -> None:
    """Cancel the task and wait for its end.

    A cancellation of the caller passes through.  To suppress CancelledError around ``await task``
    would swallow it: the caller, stopped while it cleans up, would go on for ever.
    """
    if task is None or task.done():
        return
    task.cancel()
    await asyncio.wait({task})
