"""The seeded order of faults: spells of abrupt ones, together or alone, and quiet planned stops."""

import asyncio
import random
import time
from typing import Final

from misc.faulting.actions import Faults

RECOVERY_S: Final = 3.5


async def run_schedule(faults: Faults, rng: random.Random, seconds: float) -> None:
    """Apply faults for that long; planned stops come between spells, when all is quiet."""
    deadline_s = time.monotonic() + seconds
    while time.monotonic() < deadline_s:
        await fault_burst(faults, rng)
        await asyncio.sleep(RECOVERY_S)
        if time.monotonic() < deadline_s:
            await rng.choice(faults.graceful())()
            await asyncio.sleep(1.0)


async def fault_burst(faults: Faults, rng: random.Random) -> None:
    """Apply two or three abrupt faults that overlap."""
    running = []
    for _ in range(rng.choice([2, 3])):
        running.append(asyncio.ensure_future(rng.choice(faults.abrupt())()))
        await asyncio.sleep(rng.uniform(0.1, 2.0))
    await asyncio.gather(*running)
