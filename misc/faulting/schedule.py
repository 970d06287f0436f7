"""The seeded order of faults: bursts of overlapping abrupt ones, then a planned stop alone."""

import asyncio
import random
import time
from typing import Final

from misc.faulting.actions import Faults

RECOVERY_S: Final = 3.5
"""Seconds without a fault between a burst and a planned stop."""


async def run_schedule(faults: Faults, rng: random.Random, seconds: float) -> None:
    """Inject faults for so many seconds; planned stops come alone between bursts."""
    deadline_s = time.monotonic() + seconds
    while time.monotonic() < deadline_s:
        await fault_burst(faults, rng)
        await asyncio.sleep(RECOVERY_S)
        if time.monotonic() < deadline_s:
            await rng.choice(faults.graceful())()
            await asyncio.sleep(1.0)


async def fault_burst(faults: Faults, rng: random.Random) -> None:
    """Inject two or three overlapping abrupt faults."""
    running = []
    for _ in range(rng.choice([2, 3])):
        running.append(asyncio.ensure_future(rng.choice(faults.abrupt())()))
        await asyncio.sleep(rng.uniform(0.1, 2.0))
    await asyncio.gather(*running)
