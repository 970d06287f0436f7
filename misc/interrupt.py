"""Runs a driver's coroutine so that it can clean up on SIGINT and SIGTERM.

With a plain ``asyncio.run``, SIGTERM ends the driver at once and leaves processes and files behind.
"""

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any, Final

EXIT_INTERRUPTED: Final = 130


def run_interruptible(work: Coroutine[Any, Any, int]) -> int:
    """Run the work; return its exit status, or EXIT_INTERRUPTED after a signal."""
    try:
        return asyncio.run(cancelled_by_signals(work))
    except asyncio.CancelledError:
        return EXIT_INTERRUPTED


async def cancelled_by_signals(work: Coroutine[Any, Any, int]) -> int:
    """Run the work as a task that SIGINT and SIGTERM cancel; return its result."""
    task = asyncio.ensure_future(work)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    return await task
