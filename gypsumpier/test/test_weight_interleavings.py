"""A property of whole fleets: under any sequence of faults, no partial content is ever live."""

import asyncio
import unittest
from typing import Final

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from gypsumpier.external.store import version_digest
from gypsumpier.test.fleet import CHUNK_BYTES, MODEL, Fleet, FleetAgent
from gypsumpier.test.virtual import run

SIZE: Final = 24 * CHUNK_BYTES
STORE_RATE: Final = 12 * CHUNK_BYTES
REGIONS: Final = {"bac": 3, "nam": 2}
VERSIONS: Final = ("v1", "v2", "v3")

FAULTS: Final = (
    "replace",
    "restart_engine",
    "corrupt",
    "republish",
    "name",
    "store",
    "cut",
    "heal",
    "silence",
    "pause",
)
steps = st.lists(
    st.tuples(st.sampled_from(FAULTS), st.integers(0, 11), st.floats(0.0, 2.0)),
    min_size=1,
    max_size=14,
)


class Scenario:
    """Applies faults to a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.published = 0
        self.version = "v1"

    async def apply(self, fault: str, number: int) -> None:
        """Apply one fault; ``number`` selects the agent or the variant."""
        method = getattr(self, fault)
        await method(number)

    def agent(self, number: int) -> FleetAgent:
        """Return one agent."""
        return self.fleet.agents[number % len(self.fleet.agents)]

    def hosts(self, number: int) -> tuple[str, str]:
        """Return the hosts of two agents."""
        return self.agent(number).host, self.agent(number + 1 + number // 5).host

    async def replace(self, number: int) -> None:
        """Replace an instance; with an odd number it knows the document at once."""
        await self.agent(number).replace()
        if number % 2:
            self.agent(number).documents.put(self.fleet.accepted(self.version))

    async def restart_engine(self, number: int) -> None:
        """Restart an engine, so that it loses its staged and live contents."""
        self.agent(number).engine.restart()

    async def corrupt(self, number: int) -> None:
        """Make the store corrupt the next ``number`` reads."""
        self.fleet.store.corrupt_reads += number

    async def republish(self, number: int) -> None:
        """Publish other content under the name of the current version."""
        self.published += 1
        self.fleet.publish(self.version, SIZE, seed=100 * number + self.published)

    async def name(self, number: int) -> None:
        """Name another version in the document."""
        self.version = VERSIONS[number % len(VERSIONS)]
        self.fleet.name(self.version)

    async def store(self, number: int) -> None:
        """Stop the store (odd number) or start it again (even number)."""
        self.fleet.store.down = bool(number % 2)

    async def cut(self, number: int) -> None:
        """Partition two instances from each other."""
        self.fleet.network.partition(*self.hosts(number))

    async def heal(self, number: int) -> None:
        """End a partition."""
        self.fleet.network.heal(*self.hosts(number))

    async def silence(self, number: int) -> None:
        """Make the open connections between two instances silent without closing them."""
        for link in self.fleet.network.between(*self.hosts(number)):
            link.silent = True

    async def pause(self, number: int) -> None:
        """Pause a process: advance its clock by ``number`` seconds."""
        self.agent(number).clock.paused_s += number

    async def recover(self) -> None:
        """End every fault and wait until the last named version is live at every agent."""
        fleet = self.fleet
        fleet.store.down = False
        fleet.store.corrupt_reads = 0
        fleet.network.partitioned.clear()
        for agent in fleet.agents:
            agent.documents.put(fleet.accepted(self.version))
        await asyncio.sleep(30 if self.published else 5)
        await fleet.wait_live(self.version)


async def run_scenario(played: list[tuple[str, int, float]]) -> tuple[int, bool]:
    """Return the number of bad loads and whether only the last published content is live."""
    fleet = Fleet(REGIONS, store_rate=STORE_RATE, region_link_bytes_per_s=STORE_RATE)
    for agent in fleet.agents:
        agent.options.manifest_interval_s = 3.0
    for seed, version in enumerate(VERSIONS):
        fleet.publish(version, SIZE, seed)
    await fleet.start()
    fleet.name("v1")
    scenario = Scenario(fleet)
    for fault, number, wait_s in played:
        await scenario.apply(fault, number)
        await asyncio.sleep(wait_s)
    await scenario.recover()
    live = {model.digest for agent in fleet.agents for model in agent.engine.live}
    published = version_digest(await fleet.store.files(MODEL, scenario.version))
    await fleet.stop()
    return fleet.bad_loads(), live == {published}


class InterleavingsTest(unittest.TestCase):
    @given(steps)
    @settings(
        derandomize=True,
        deadline=None,
        max_examples=60,
        suppress_health_check=[HealthCheck.too_slow],
    )
    def test_no_partial_content_is_live_and_the_last_content_becomes_live(
        self, played: list[tuple[str, int, float]]
    ) -> None:
        self.assertEqual((0, True), run(run_scenario(played)))
