"""The seeded order of faults: spells of abrupt ones, together or alone, and quiet planned stops."""

import asyncio
import random
import time
from typing import Final

from misc.faulting.actions import Faults

QUIET_S: Final = 3.5


async def run_schedule(faults: Faults, rng: random.Random, seconds: float) -> None:
    """Apply faults for that long; planned stops come between spells, when all is quiet."""
    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s:
        await spell(faults, rng)
        await asyncio.sleep(QUIET_S)
        if time.monotonic() < until_s:
            await rng.choice(faults.graceful())()
            await asyncio.sleep(1.0)


async def spell(faults: Faults, rng: random.Random) -> None:
    """Apply two or three abrupt faults that overlap."""
    running = []
    for _ in range(rng.choice([2, 3])):
        running.append(asyncio.ensure_future(rng.choice(faults.abrupt())()))
        await asyncio.sleep(rng.uniform(0.1, 2.0))
    await asyncio.gather(*running)
