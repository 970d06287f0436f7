"""Runs a test in virtual time, including code that reads the system's clocks."""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar
from unittest import mock

from gypsumpier.test.virtual import run

T = TypeVar("T")


def run_at_virtual_time(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run the coroutine in a virtual loop, whose time all clocks of the process show."""

    async def patched() -> T:
        loop = asyncio.get_running_loop()
        with (
            mock.patch.object(time, "monotonic", loop.time),
            mock.patch.object(time, "clock_gettime", lambda which: loop.time()),
        ):
            return await coroutine

    return run(patched())
