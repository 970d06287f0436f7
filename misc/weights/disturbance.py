"""Injects faults during a transfer: corrupt reads, killed and replaced agents, a frozen agent."""

import asyncio
from random import Random
from typing import Final

from misc.http import post_json
from misc.testbed import Testbed

CORRUPT_READS: Final = 20
KILLED_SHARE: Final = 0.1
FREEZE_DURATION_S: Final = 6.0


async def inject_faults(testbed: Testbed, service: str, seed: int, floor_s: float) -> list[str]:
    """Inject the faults while a transfer runs; return a description of each."""
    random = Random(seed)
    slots = [slot for slot in testbed.deployment.slots() if slot.service == service]
    await asyncio.sleep(0.2 * floor_s)
    await post_json(f"{testbed.standin_url('store')}/control/corrupt", {"reads": CORRUPT_READS})
    chosen = random.sample(slots, max(2, round(KILLED_SHARE * len(slots)) + 1))
    frozen, killed = chosen[0], chosen[1:]
    testbed.fleet.freeze(frozen.name)
    for slot in killed:
        await testbed.fleet.kill(slot.name)
    await asyncio.sleep(FREEZE_DURATION_S)
    testbed.fleet.thaw(frozen.name)
    for slot in killed:
        await testbed.start_agent(slot)
    names = ", ".join(slot.name for slot in killed)
    return [f"{CORRUPT_READS} corrupt reads", f"froze {frozen.name}", f"replaced {names}"]
