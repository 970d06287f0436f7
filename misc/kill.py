"""Kills one process of a running deployment with SIGKILL, and replaces it as a platform would."""

import asyncio
from typing import Final

from misc.testbed import Testbed

REPLACEMENT_DELAY_S: Final = 1.0
PLATFORM: Final = ("configuration", "membership", "store", "origin")
KINDS: Final = ("entry", "agent", "upstream", *PLATFORM)


async def kill_one(testbed: Testbed, kind: str) -> str:
    """Kill one process of the kind; return its name.  A platform service isn't restarted."""
    if kind in PLATFORM:
        await testbed.fleet.kill(kind)
        return kind
    if kind == "entry":
        name = next(iter(testbed.entries))
        await testbed.fleet.kill(name)
        await asyncio.sleep(REPLACEMENT_DELAY_S)
        await testbed.replace_entry(name)
        return name
    slot = next(slot for slot in testbed.deployment.slots() if slot.kind == "model")
    name = slot.name if kind == "agent" else f"upstream/{slot.name}"
    await testbed.fleet.kill(name)
    await asyncio.sleep(REPLACEMENT_DELAY_S)
    if kind == "agent":
        await testbed.start_agent(slot)
    else:
        await testbed.start_upstream(slot)
    return name
