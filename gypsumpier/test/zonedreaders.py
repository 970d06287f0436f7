"""Entries of several zones that read an in-memory store and pass on what they read."""

import asyncio
import time
from collections import defaultdict
from collections.abc import Callable
from typing import Any, Final

from gypsumpier.codes.platform import PLATFORM_REFUSED, PLATFORM_UNREACHABLE
from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.change import Batch
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.node import Address
from gypsumpier.fleet.position import Position
from gypsumpier.fleet.record import Record
from gypsumpier.fleet.state import FleetState
from gypsumpier.fleet.watcher import WATCH_WAIT_S, StoreWatcher
from gypsumpier.mesh.feed import FleetStateFeed
from gypsumpier.mesh.mesh import Mesh
from gypsumpier.mesh.peer import Peer
from gypsumpier.test.builders_platform import DecodingSource, configuration_body, record
from gypsumpier.test.network import Network

START_TIMEOUT_S: Final = 8.0
POLL_S: Final = 0.005
CALL_TIMEOUT_MARGIN_S: Final = 0.6
"""Seconds beyond its wait after which a call that gets no answer fails."""
REGIONS: Final = {"bac-a": "bac", "nam-a": "nam", "trung-a": "trung"}


class MemoryStore:
    """Records with a history.

    ``silent`` and ``refused`` are the entries that get no answer, or a refusal.  Each event or
    item takes ``record_s`` seconds to be transferred.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.records: dict[str, Record] = {}
        self.events: list[Record] = []
        self.silent: set[str] = set()
        self.refused: set[str] = set()
        self.record_s = 0.0
        self.changed = asyncio.Event()

    def put(self, key: str, body: dict[str, Any]) -> None:
        """Write a record."""
        self.records[key] = record(key, body, self.revision + 1)
        self.announce(self.records[key])

    def remove(self, key: str) -> None:
        """Remove a record."""
        del self.records[key]
        self.announce(record(key, None, self.revision + 1))

    def announce(self, event: Record) -> None:
        """Tell the watches of a change."""
        self.revision = event.revision
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()


class MemorySource(DecodingSource):
    """One entry's client of the store."""

    def __init__(self, store: MemoryStore, name: str) -> None:
        self.store = store
        self.name = name

    async def check(self, timeout_s: float) -> None:
        """Raise GypsumpierError, at once or after the timeout, if this entry gets no answer."""
        if self.name in self.store.refused:
            raise GypsumpierError(PLATFORM_REFUSED, "refused")
        if self.name in self.store.silent:
            await asyncio.sleep(timeout_s)
            raise GypsumpierError(PLATFORM_UNREACHABLE, "no answer")

    async def watch(self, revision: int, wait_s: float) -> Batch:
        store = self.store
        times_out_at_s = time.monotonic() + wait_s + CALL_TIMEOUT_MARGIN_S
        await self.check(wait_s + CALL_TIMEOUT_MARGIN_S)
        if store.revision == revision:
            try:
                async with asyncio.timeout(wait_s):
                    await store.changed.wait()
            except TimeoutError:
                pass
        await self.check(times_out_at_s - time.monotonic())
        found = [event for event in store.events if event.revision > revision]
        answer = Batch(revision, store.revision, found, False, 0.0 if found else wait_s)
        await asyncio.sleep(store.record_s * len(found))
        return answer

    async def snapshot(self) -> Batch:
        await self.check(CALL_TIMEOUT_MARGIN_S)
        found = list(self.store.records.values())
        answer = Batch(0, self.store.revision, found, True, 0.0)
        await asyncio.sleep(self.store.record_s * len(found))
        return answer

    async def current_position(self) -> Position:
        await self.check(CALL_TIMEOUT_MARGIN_S)
        return Position(0, self.store.revision)


class ReadingEntry:
    """One entry: its mesh, its fleet state, its feed and its watcher of the store.

    ``in_force_at_s`` has the monotonic time at which each configuration came into force here.
    """

    def __init__(self, store: MemoryStore, network: Network, name: str, zone: str) -> None:
        source = MemorySource(store, name)
        own = Peer(name, "entry", zone, REGIONS[zone], name, 1, "run")
        self.name = name
        self.state = FleetState(source)
        self.mesh = Mesh(own, (Address("front-bac-a-1", 1),), network.dialer(name))
        self.feed = FleetStateFeed(self.mesh, self.state)
        self.watcher = StoreWatcher(source, self.state, self.feed)
        self.in_force_at_s: dict[int, float] = {}
        self.state.listeners.append(self.record_configuration)
        network.listen(name, 1, self.mesh.accept)

    def record_configuration(self) -> None:
        """Record when the configuration came into force."""
        if self.state.configuration is not None:
            self.in_force_at_s.setdefault(self.state.configuration.version, time.monotonic())

    def start(self) -> None:
        """Start to discover others and to read the store."""
        self.mesh.start()
        self.watcher.start()

    async def stop(self) -> None:
        """Stop both."""
        await self.watcher.stop()
        await self.mesh.stop()

    def late_s(self, version: int, written_at_s: float) -> float:
        """Return how long after its writing that configuration, or a newer one, was in force."""
        times = [at_s for found, at_s in self.in_force_at_s.items() if found >= version]
        return min(times, default=float("inf")) - written_at_s


class ReadingZones:
    """A store and two entries in each of several zones."""

    def __init__(self, *zones: str, entries_per_zone: int = 2) -> None:
        self.store = MemoryStore()
        self.network = Network()
        self.entries = {
            name: ReadingEntry(self.store, self.network, name, zone)
            for zone in zones
            for name in (f"front-{zone}-{number + 1}" for number in range(entries_per_zone))
        }
        self.written_at_s: dict[int, float] = defaultdict(float)

    def configure(self, version: int) -> None:
        """Write a configuration to the store."""
        self.written_at_s[version] = time.monotonic()
        self.store.put("op/config", configuration_body(version))

    async def start(self) -> None:
        """Start all entries, and wait until they are connected and know the configuration."""
        self.configure(1)
        for entry in self.entries.values():
            entry.start()
        others = len(self.entries) - 1
        await self.wait_until(
            lambda: all(
                len(entry.mesh.peers()) == others and entry.state.revision == self.store.revision
                for entry in self.entries.values()
            )
        )
        # The take-over by entries that started alone ends with the next answer of a watcher.
        await self.wait_until(lambda: len(self.readers()) == len(self.zones()))
        # Their last watches are still waiting.
        await asyncio.sleep(WATCH_WAIT_S + POLL_S)

    def zones(self) -> set[str]:
        """Return the zones of the entries."""
        return {entry.mesh.own.zone for entry in self.entries.values()}

    def readers(self) -> list[str]:
        """Return the entries that read the store."""
        return [name for name, found in self.entries.items() if found.feed.should_read_store()]

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until the condition holds."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(POLL_S)

    def prove(self) -> None:
        """Give every entry the proof of an answer that the store has made just now."""
        for entry in self.entries.values():
            entry.state.record_proof(boot_time_s())

    def latest_s(self, name: str) -> float:
        """Return the longest time from the writing of a configuration until it was in force."""
        entry = self.entries[name]
        return max(entry.late_s(version, at_s) for version, at_s in self.written_at_s.items())

    async def stop(self) -> None:
        """Stop all entries."""
        for entry in self.entries.values():
            await entry.stop()
        await asyncio.gather(*self.network.tasks)
