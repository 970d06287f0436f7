"""A property over whole fleets: whatever comes in whatever order, nothing partial is ever live."""

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
        """Let one thing happen; ``number`` chooses where."""
        method = getattr(self, fault)
        await method(number)

    def agent(self, number: int) -> FleetAgent:
        """Return one agent."""
        return self.fleet.agents[number % len(self.fleet.agents)]

    def hosts(self, number: int) -> tuple[str, str]:
        """Return the hosts of two agents."""
        return self.agent(number).host, self.agent(number + 1 + number // 5).host

    async def replace(self, number: int) -> None:
        """Replace an instance; now and then it knows the document at once."""
        await self.agent(number).replace()
        if number % 2:
            self.agent(number).documents.put(self.fleet.accepted(self.version))

    async def restart_engine(self, number: int) -> None:
        """Let an engine lose everything."""
        self.agent(number).engine.restart()

    async def corrupt(self, number: int) -> None:
        """Let the store send some corrupt chunks."""
        self.fleet.store.corrupt_reads += number

    async def republish(self, number: int) -> None:
        """Change the content of the named version."""
        self.published += 1
        self.fleet.publish(self.version, SIZE, seed=100 * number + self.published)

    async def name(self, number: int) -> None:
        """Change the document."""
        self.version = VERSIONS[number % len(VERSIONS)]
        self.fleet.name(self.version)

    async def store(self, number: int) -> None:
        """Let the store go down or come back."""
        self.fleet.store.down = bool(number % 2)

    async def cut(self, number: int) -> None:
        """Cut two instances off from each other."""
        self.fleet.network.partition(*self.hosts(number))

    async def heal(self, number: int) -> None:
        """End a cut."""
        self.fleet.network.heal(*self.hosts(number))

    async def silence(self, number: int) -> None:
        """Let the open connections between two instances go silent."""
        for link in self.fleet.network.between(*self.hosts(number)):
            link.silent = True

    async def pause(self, number: int) -> None:
        """Let a process find that its clock has gone on."""
        self.agent(number).clock.paused_s += number

    async def recover(self) -> None:
        """End every fault; then the last named version must come live with its last content."""
        fleet = self.fleet
        fleet.store.down = False
        fleet.store.corrupt_reads = 0
        fleet.network.partitioned.clear()
        for agent in fleet.agents:
            agent.documents.put(fleet.accepted(self.version))
        await asyncio.sleep(30 if self.published else 5)
        await fleet.wait_live(self.version)


async def run_scenario(played: list[tuple[str, int, float]]) -> tuple[int, bool]:
    """Return the bad loads and whether just the last published content is live at the end."""
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
    def test_nothing_partial_is_live_and_the_last_content_comes_live(
        self, played: list[tuple[str, int, float]]
    ) -> None:
        self.assertEqual((0, True), run(run_scenario(played)))
