"""A burst: many agents of one service in one region, with engines sharing a few processes."""

import asyncio
from pathlib import Path
from typing import Any, Final

from misc.child import Child
from misc.deployment import Deployment, Place, Slot, load_deployment
from misc.fleet import Fleet
from misc.testbed import Testbed, local_url

ENGINES_PER_PROCESS: Final = 10
MAX_CONCURRENT_STARTS: Final = 10
SERVICE: Final = "gypsum-llm"
PLACE: Final = Place("bac", "bac-a")


def burst_deployment(replicas: int) -> Deployment:
    """Return a deployment of one zone with that many agents of one model service."""
    example = load_deployment("rung-lab")
    document: dict[str, Any] = example.documents[SERVICE]
    document = document | {"zones": [{"zone": PLACE.zone, "replicas": replicas}]}
    workspaces = [workspace | {"home_zone": PLACE.zone} for workspace in document["workspaces"]]
    return Deployment(
        name="burst",
        places=(PLACE,),
        store_region=PLACE.region,
        region_link_bytes_per_s=example.region_link_bytes_per_s,
        entries={PLACE.zone: 1},
        documents={SERVICE: document | {"workspaces": workspaces}},
    )


class BurstTestbed(Testbed):
    """A testbed with several engines in each process."""

    def __init__(self, fleet: Fleet, replicas: int, weights: Path, **flags: dict[str, Any]) -> None:
        super().__init__(fleet, burst_deployment(replicas), weights, **flags)
        self.engine_urls: list[str] = []
        self.numbers = {slot.name: n for n, slot in enumerate(self.deployment.slots())}
        self.start_semaphore = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

    async def start_platform(self) -> None:
        """Start the platform, then the engines."""
        await super().start_platform()
        processes = -(-len(self.numbers) // ENGINES_PER_PROCESS)
        for number in range(processes):
            child = await self.start_engines(number)
            self.engine_urls += [local_url(port) for port in child.ports.values()]

    async def start_engines(self, number: int) -> Child:
        """Start one process of engines."""
        arguments = ["--count", str(ENGINES_PER_PROCESS)]
        return await self.fleet.start(f"engines/{number}", "misc.weights.engines", arguments)

    async def start_slot(self, slot: Slot) -> None:
        """Start an agent; at most MAX_CONCURRENT_STARTS start at a time."""
        async with self.start_semaphore:
            await self.start_agent(slot)

    def upstream_url(self, slot: Slot) -> str:
        """Return the URL of the slot's engine."""
        return self.engine_urls[self.numbers[slot.name]]
