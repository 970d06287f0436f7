"""Tests that a store that answers keeps upstreams from counting as cold, in virtual time."""

import asyncio
import time
import unittest
from typing import Any, Final

from gypsumpier.coldstart.upstreams import FRESH_S
from gypsumpier.fleet.change import Batch
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.record import Record
from gypsumpier.fleet.watcher import WATCH_WAIT_S, StoreWatcher
from gypsumpier.mesh.feed import FleetStateFeed
from gypsumpier.test.builders_gateway import admission_of, request_of
from gypsumpier.test.builders_platform import (
    DecodingSource,
    configuration_record,
    engine_record,
    engine_service_body,
    fleet_state_of,
)
from gypsumpier.test.fakes_mesh import RecordingMesh
from gypsumpier.test.fakes_piece import entry_peer
from gypsumpier.test.simulated_entries import simulate

OTHER_ZONE: Final = "nam-a"
RUN_S: Final = 30.0
STEP_S: Final = 0.05


class WatchedSource(DecodingSource):
    """A store whose watches wait for a change; ``waits_s`` holds for how long they were to."""

    def __init__(self) -> None:
        self.news: list[Record] = []
        self.has_changed = asyncio.Event()
        self.waits_s: list[float] = []

    def write(self, record: Record) -> None:
        """Write a record."""
        self.news.append(record)
        self.has_changed.set()

    def newer_than(self, revision: int) -> list[Record]:
        """Return the records that were written after that revision."""
        return [record for record in self.news if record.revision > revision]

    async def watch(self, revision: int, wait_s: float) -> Batch:
        self.waits_s.append(wait_s)
        if not self.newer_than(revision):
            self.has_changed.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self.has_changed.wait()
            except TimeoutError:
                return Batch(revision, revision, [], False, wait_s)
        found = self.newer_than(revision)
        return Batch(revision, found[-1].revision, found, False, 0.0)


class ColdFreshnessTest(unittest.TestCase):
    async def run_entry(self, write_interval_s: float, **service: Any) -> WatchedSource:
        """Run an entry whose upstream is in another zone; each of its requests must be admitted."""
        state = fleet_state_of(
            configuration_record(services=[engine_service_body(**service)]),
            engine_record(1, 2, zone=OTHER_ZONE, cold_left_ms=0),
        )
        state.record_proof(boot_time_s())
        own = entry_peer("front-bac-a-1", "bac-a")
        feed = FleetStateFeed(RecordingMesh(own, [own]), state)  # type: ignore[arg-type]
        source = WatchedSource()
        watcher = StoreWatcher(source, state, feed)
        watcher.needs_snapshot = False
        admission = admission_of(state)
        running = [asyncio.create_task(work) for work in (watcher.run(), admission.run())]
        until_s, written_s, revision = time.monotonic() + RUN_S, time.monotonic(), 2
        while time.monotonic() < until_s:
            await asyncio.sleep(STEP_S)
            self.assertLess(state.proof_age_s(), FRESH_S if service else 2 * WATCH_WAIT_S)
            request = request_of(state)
            record = await admission.enter(request)
            admission.give_back(request, record)
            if time.monotonic() - written_s >= write_interval_s:
                written_s, revision = time.monotonic(), revision + 1
                source.write(engine_record(1, revision, zone=OTHER_ZONE, cold_left_ms=0))
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        return source

    # Guards against requests that are refused as a watch that ended with a change proves nothing
    # for the time it waited, and the next one nothing before it ends.
    def test_upstreams_are_warm_however_often_the_store_changes(self) -> None:
        for interval_s in (0.5, 1.3, 1.6, 1.9, 3.7, 5.9):
            with self.subTest(interval_s=interval_s):
                simulate(self.check_calls(interval_s))

    async def check_calls(self, interval_s: float) -> None:
        """Check that the store gets at most one more call for each change."""
        source = await self.run_entry(interval_s, cold_s=3.0, cold_per_s=26.0)
        self.assertLessEqual(len(source.waits_s), 1 + RUN_S / WATCH_WAIT_S + len(source.news))

    # Guards against more calls to the store in deployments that limit no cold upstreams.
    def test_without_a_limit_every_watch_waits_as_long(self) -> None:
        async def scenario() -> None:
            self.assertEqual({WATCH_WAIT_S}, set((await self.run_entry(1.9)).waits_s))

        simulate(scenario())


if __name__ == "__main__":
    unittest.main()
