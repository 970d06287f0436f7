"""A fleet of rollouts in one virtual event loop, on an in-memory network with fake services."""

import asyncio
from random import Random
from typing import Final

from gypsumpier.document.service import (
    Accepted,
    Limits,
    ServiceDocument,
    VersionShare,
    ZoneReplicas,
)
from gypsumpier.external.membership import Member
from gypsumpier.options import Options
from gypsumpier.test.fakes_weight import FakeDocuments, FakeEngine, FakeMembers, FakeStore
from gypsumpier.test.network import Network
from gypsumpier.test.virtual import VirtualClock
from gypsumpier.weight.inputs import Retirement
from gypsumpier.weight.phase import LIVE
from gypsumpier.weight.rollout import Rollout

SERVICE: Final = "gypsum-llm"
MODEL: Final = "gypsum"
BULK_PORT: Final = 7000
CHUNK_BYTES: Final = 1024
FAST_BYTES_PER_S: Final = 1_000_000
LIMITS: Final = Limits(in_flight_per_upstream=8, body_bytes=1024, deadline_s=10.0)


class FleetAgent:
    """One agent process with its engine; ``replace`` starts a new incarnation of both."""

    def __init__(self, fleet: "Fleet", number: int, region: str) -> None:
        self.fleet = fleet
        self.number = number
        self.host = f"10.0.0.{number}"
        self.options = Options(
            role="agent",
            name=f"{SERVICE}/{region}-a/{number}",
            region=region,
            zone=f"{region}-a",
            service=SERVICE,
            host=self.host,
            bulk_port=BULK_PORT,
            store_region=fleet.store_region,
        )
        for setting, value in fleet.settings.items():
            setattr(self.options, setting, value)
        self.clock = VirtualClock()
        self.documents = FakeDocuments()
        self.members = fleet.members
        self.engine = FakeEngine()
        self.retirement: Retirement | None = None
        self.starts = 0
        self.rollout = self.build()

    def build(self) -> Rollout:
        """Return the rollout of a newly started process, which has no state yet."""
        self.starts += 1
        self.options.incarnation = f"{self.number}-{self.starts}"
        return Rollout(
            self.options,
            self.clock,
            self.documents,
            self.members,
            self.engine,
            self.fleet.store,
            self.fleet.origin,
            self.fleet.network.dialer(self.host),
            Random(f"{self.fleet.seed}/{self.number}/{self.starts}"),
            self.retirement,
        )

    async def start(self) -> None:
        """Start the process."""
        self.fleet.network.listen(self.host, BULK_PORT, self.rollout.serve)
        await self.rollout.start()

    async def kill(self) -> None:
        """Kill the process; its engine keeps running."""
        self.fleet.network.handlers.pop((self.host, BULK_PORT), None)
        for link in self.fleet.network.links:
            if self.host in (link.source, link.target):
                link.cut()
        await self.rollout.stop()

    async def replace(self) -> None:
        """Replace the instance: the process and the engine start with empty memory."""
        await self.kill()
        self.engine.restart()
        self.documents.callbacks.clear()
        self.rollout = self.build()
        self.fleet.list_members()
        await self.start()

    def member(self) -> Member:
        """Return this agent's record in the platform's member list."""
        options = self.options
        return Member(
            options.name,
            options.incarnation,
            "agent",
            SERVICE,
            options.region,
            options.zone,
            self.host,
            1,
            BULK_PORT,
            False,
        )

    def is_live(self, version: str) -> bool:
        """Return whether the agent and its engine both report only this version as live."""
        views = [view for view in self.rollout.transfers() if view.version == version]
        return self.engine.versions() == [version] and [view.phase for view in views] == [LIVE]


class Fleet:
    """Agents in the given regions, in the order of their numbers."""

    def __init__(
        self,
        regions: dict[str, int],
        seed: int = 0,
        store_rate: float = FAST_BYTES_PER_S,
        store_region: str = "bac",
        with_origin: bool = False,
        **settings: float,
    ) -> None:
        self.seed = seed
        self.store_region = store_region
        self.settings: dict[str, float] = {"link_bytes_per_s": FAST_BYTES_PER_S} | settings
        self.network = Network()
        self.network.delay_s = 0.001
        self.members = FakeMembers()
        self.store = FakeStore(CHUNK_BYTES, store_rate)
        self.origin = FakeStore(CHUNK_BYTES, store_rate) if with_origin else None
        self.revision = 0
        self.agents: list[FleetAgent] = []
        for region, count in regions.items():
            for _ in range(count):
                self.agents.append(FleetAgent(self, len(self.agents), region))

    async def start(self) -> None:
        """Start every agent and let them connect."""
        self.list_members()
        for agent in self.agents:
            await agent.start()
        await asyncio.sleep(2)

    def list_members(self) -> None:
        """Update the member list to the current state of every agent."""
        self.members.listed = [agent.member() for agent in self.agents]

    def publish(self, version: str, size_bytes: int, seed: int = 0) -> None:
        """Publish a version with one large and one small file."""
        files = {
            "weights.bin": Random(f"{seed}").randbytes(size_bytes),
            "config.json": version.encode(),
        }
        for store in [self.store, self.origin]:
            if store is not None:
                store.contents[(MODEL, version)] = files

    def name(self, *versions: str, max_unavailable: int = 1) -> None:
        """Put a new revision of the document, which names the versions, in force at every agent."""
        self.revision += 1
        for agent in self.agents:
            agent.documents.put(self.accepted(*versions, max_unavailable=max_unavailable))

    def accepted(self, *versions: str, max_unavailable: int = 1) -> Accepted:
        """Return the document at the current revision."""
        zones = sorted({agent.options.zone for agent in self.agents})
        document = ServiceDocument(
            service=SERVICE,
            kind="model",
            model=MODEL,
            versions=tuple(VersionShare(version, 100 // len(versions)) for version in versions),
            zones=tuple(ZoneReplicas(zone, 1) for zone in zones),
            live_by=None,
            max_unavailable=max_unavailable,
            routes=(),
            limits=LIMITS,
            workspaces=(),
            engines_honour_fencing=True,
        )
        return Accepted(SERVICE, self.revision, document)

    async def wait_live(self, version: str, timeout_s: float = 600.0) -> float:
        """Wait until the version is live at every agent; return the seconds it took.

        Raises AssertionError after ``timeout_s`` seconds.
        """
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        while not all(agent.is_live(version) for agent in self.agents):
            if loop.time() - started_at_s > timeout_s:
                raise AssertionError(f"{version} not live: {self.state()}")
            await asyncio.sleep(0.05)
        return loop.time() - started_at_s

    def state(self) -> list[str]:
        """Return the live versions and transfers of every agent, for a failing test's message."""
        return [
            f"{agent.options.name}: {agent.engine.versions()} {view.phase} "
            f"{view.chunks_held}/{view.chunks} {view.reason}"
            for agent in self.agents
            for view in agent.rollout.transfers()
        ]

    def bad_loads(self) -> int:
        """Return the number of loads of partial or mixed content."""
        return sum(agent.engine.bad_loads for agent in self.agents)

    async def stop(self) -> None:
        """Stop every agent."""
        for agent in self.agents:
            await agent.rollout.stop()
