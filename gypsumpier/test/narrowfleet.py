"""Entries and sidecars of three regions that share narrow links, a store and an origin."""

import asyncio
import hashlib
import itertools
import random
from typing import Any, Final

from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.node import Address
from gypsumpier.fleet.state import FleetState
from gypsumpier.fleet.watcher import StoreWatcher
from gypsumpier.mesh.feed import FleetStateFeed
from gypsumpier.mesh.mesh import ENTRY, SIDECAR, Mesh
from gypsumpier.mesh.peer import Peer
from gypsumpier.piece.cache import PieceCache
from gypsumpier.piece.engine import PieceList, digest_of
from gypsumpier.sidecar.stage import Stage
from gypsumpier.sidecar.stager import Place, Stager
from gypsumpier.tasks import end_task
from gypsumpier.test.builders_platform import (
    MODEL,
    configuration_body,
    engine_body,
    engine_service_body,
    route_body,
)
from gypsumpier.test.fakes_piece import FakeEngine
from gypsumpier.test.narrownetwork import NarrowNetwork
from gypsumpier.test.narrowpipes import BITS_PER_BYTE, Flow
from gypsumpier.test.narrowstore import STORE_HOST, NarrowSource, NarrowStore

PIECES: Final = 48
PIECE_BYTES: Final = 49_152
ENTRY_MBPS: Final = 20.0
SIDECAR_MBPS: Final = 4.7
ORIGIN_MBPS: Final = 9.9
STORE_MBPS: Final = 1000.0
REGIONS: Final = {"bac-a": "bac", "nam-a": "nam", "trung-a": "trung"}
ORIGIN_HOST: Final = "origin"
HEARTBEAT_S: Final = 1.3
"""Seconds between two writings of an engine's record."""
SAMPLE_S: Final = 0.05
REQUEST_BYTES: Final = 4096
"""Bytes of a request or of a part of an answer that goes to another region."""
SEED_ENTRY: Final = "front-bac-a-01"


class NarrowOrigin:
    """The origin of weights as one entry reads it."""

    def __init__(self, store: NarrowStore, host: str) -> None:
        self.source = NarrowSource(store, host)
        self.host = host

    async def piece_list(self, model: str, version: int) -> PieceList:
        digests = [digest_of(piece_of(version, number)) for number in range(PIECES)]
        return PieceList(model, version, tuple(digests))

    async def piece(self, model: str, version: int, number: int) -> bytes:
        await self.source.transfer(ORIGIN_HOST, self.host, PIECE_BYTES)
        return piece_of(version, number)

    def close(self) -> None:
        return None


class NarrowNode:
    """One process: its mesh, fleet state, feed and watcher, and for an entry its pieces.

    ``oldest_proof_s`` is the greatest age of its proof that was sampled, ``in_force_at_s`` when
    each configuration came into force.
    """

    def __init__(self, store: NarrowStore, name: str, zone: str, role: str) -> None:
        network = store.network
        network.add_host(name, REGIONS[zone], ENTRY_MBPS if role == ENTRY else SIDECAR_MBPS)
        source = NarrowSource(store, name)
        port = 1 if role == ENTRY else 0
        own = Peer(name, role, zone, REGIONS[zone], name, port, "run")
        self.name = name
        self.state = FleetState(source)
        self.mesh = Mesh(own, (Address(SEED_ENTRY, 1),), network.dialer(name))
        self.feed = FleetStateFeed(self.mesh, self.state)
        self.watcher = StoreWatcher(source, self.state, self.feed)
        self.cache: PieceCache | None = None
        self.oldest_proof_s = 0.0
        self.in_force_at_s: dict[int, float] = {}
        self.state.listeners.append(self.record_configuration)
        if role == ENTRY:
            network.listen(name, 1, self.mesh.accept)
            self.cache = PieceCache(
                self.mesh,
                self.state,
                lambda host, port: NarrowOrigin(store, name),
                lambda model, version: [],
            )

    def record_configuration(self) -> None:
        """Record when the configuration came into force."""
        if self.state.configuration is not None:
            now_s = asyncio.get_running_loop().time()
            self.in_force_at_s.setdefault(self.state.configuration.version, now_s)

    def start(self) -> None:
        """Start to discover others and to read the store."""
        self.mesh.start()
        self.watcher.start()

    async def stop(self) -> None:
        """Stop everything."""
        await self.watcher.stop()
        if self.cache is not None:
            self.cache.close()
        await self.mesh.stop()


class NarrowFleet:
    """A store and an origin in the region bac, and entries and sidecars in three zones."""

    def __init__(
        self,
        entries_per_zone: int,
        sidecars_per_zone: int,
        window_bytes: int,
        request_mbps: float,
    ) -> None:
        self.network = NarrowNetwork(window_bytes)
        self.network.add_host(STORE_HOST, "bac", STORE_MBPS)
        self.network.add_host(ORIGIN_HOST, "bac", ORIGIN_MBPS)
        self.store = NarrowStore(self.network)
        self.entries: list[NarrowNode] = []
        self.sidecars: list[NarrowNode] = []
        for zone in REGIONS:
            for number in range(entries_per_zone):
                name = f"front-{zone}-{number + 1:02d}"
                self.entries.append(NarrowNode(self.store, name, zone, ENTRY))
            for number in range(sidecars_per_zone):
                name = f"side-{zone}-{number + 1:02d}"
                self.sidecars.append(NarrowNode(self.store, name, zone, SIDECAR))
        self.staged: dict[tuple[str, int], float] = {}
        self.request_mbps = request_mbps
        self.flows = {
            regions: Flow(
                [self.network.region_link(*regions)], window_bytes, 0.0, lambda segment: None
            )
            for regions in itertools.permutations(REGIONS.values(), 2)
        }
        self.tasks: list[asyncio.Task[None]] = []
        self.report_task: asyncio.Task[None] | None = None

    @property
    def nodes(self) -> list[NarrowNode]:
        """All processes."""
        return [*self.entries, *self.sidecars]

    async def start(self) -> None:
        """Start all processes, and wait until the zones have settled."""
        self.store.put("op/config", large_configuration(1, 340))
        for number in range(len(self.sidecars)):
            self.store.put(f"servers/i-{number}", engine_body(number))
        for node in self.entries:
            node.start()
        # A sidecar that starts with all entries may learn of one of them only.
        await asyncio.sleep(2.0)
        for node in self.sidecars:
            node.start()
        await asyncio.sleep(6.0)
        self.report_task = asyncio.create_task(self.report())
        self.tasks = [self.report_task, asyncio.create_task(self.sample())]
        self.tasks.append(asyncio.create_task(self.load_regions()))

    async def report(self) -> None:
        """Write the records of engines anew at intervals."""
        sequence = 4
        while True:
            sequence += 1
            for number in range(len(self.sidecars)):
                await asyncio.sleep(HEARTBEAT_S / len(self.sidecars))
                self.store.put(f"servers/i-{number}", engine_body(number, seq=sequence))

    async def stop_reports(self) -> None:
        """Let engines write their records no more."""
        await end_task(self.report_task)

    async def sample(self) -> None:
        """Sample the ages of proofs."""
        while True:
            for node in self.nodes:
                node.oldest_proof_s = max(node.oldest_proof_s, node.state.proof_age_s())
            await asyncio.sleep(SAMPLE_S)

    async def load_regions(self) -> None:
        """Send requests and their answers between regions."""
        while True:
            for source in REGIONS.values():
                for target in REGIONS.values():
                    if source != target:
                        self.flows[source, target].send(bytes(REQUEST_BYTES))
            await asyncio.sleep(REQUEST_BYTES * BITS_PER_BYTE / (self.request_mbps * 1e6))

    def configure(self, version: int, route_count: int) -> float:
        """Write a configuration with that many routes; return the time of its acknowledgement."""
        for node in self.nodes:
            node.oldest_proof_s = 0.0
        self.store.put("op/config", large_configuration(version, route_count))
        return asyncio.get_running_loop().time()

    def partition_zone(self, zone: str) -> None:
        """Cut the processes of a zone off from those of all others."""
        for inner in self.nodes:
            for outer in self.nodes:
                if inner.mesh.own.zone == zone != outer.mesh.own.zone:
                    self.network.partition(inner.name, outer.name)
                    self.network.silence(inner.name, outer.name)
                    self.network.silence(outer.name, inner.name)

    def distribute(self, *versions: int) -> None:
        """Let every sidecar fetch those versions at the same time."""
        for zone_rank, node in enumerate(self.sidecars):
            place = Place(zone_rank % 6, 6)
            for version in versions:
                self.tasks.append(asyncio.create_task(self.fetch(node, version, place)))

    async def fetch(self, node: NarrowNode, version: int, place: Place) -> None:
        """Fetch one version at one sidecar, again after each failure."""
        stage = Stage(FakeEngine())
        stage.claim(MODEL, version)
        stager = Stager(node.mesh, stage, MODEL, version, lambda: place)
        while True:
            try:
                await stager.fetch()
                self.staged[node.name, version] = asyncio.get_running_loop().time()
                return
            except (GypsumpierError, TimeoutError):
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Stop everything."""
        for task in self.tasks:
            await end_task(task)
        for node in self.nodes:
            await node.stop()
        await asyncio.gather(*self.network.tasks)


def piece_of(version: int, number: int) -> bytes:
    """Return a piece's bytes."""
    return random.Random(f"{version}/{number}").randbytes(PIECE_BYTES)


def large_configuration(version: int, route_count: int) -> dict[str, Any]:
    """Return a configuration with that many routes; their names and prefixes have random parts."""
    routes = []
    for number in range(route_count):
        digest = hashlib.blake2b(f"{number}".encode(), digest_size=12).hexdigest()
        name, host, prefix = digest[:8], digest[8:16], digest[16:]
        routes.append(
            route_body(f"reports-{name}", host=f"{host}.lab.example", prefix=f"/reports/{prefix}/")
        )
    services = configuration_body()["services"]
    services[0] = engine_service_body(PIECES)
    return configuration_body(version, routes=routes, services=services)
