"""Tests of a large configuration that arrives while weights travel, over narrow links.

The load: a configuration of 1,900 routes (493 KB of JSON, 660 KB as the store sends it) while two
versions of 48 pieces of 49,152 bytes are distributed to all sidecars and requests take 6 of the
14 Mbit/s between regions.  Three regions have ten entries (20 Mbit/s) and six sidecars (4.7 Mbit/s)
each; the store and the origin are in one of them.  Engines rewrite their records each 1.3 s.
"""

import asyncio
import unittest
from collections import Counter
from typing import Final

from gypsumpier.fleet.watcher import WATCH_WAIT_S
from gypsumpier.test.narrowfleet import REGIONS, NarrowFleet, NarrowNode
from gypsumpier.test.narrownetwork import LONG_WINDOW_BYTES, SHORT_WINDOW_BYTES
from gypsumpier.test.narrowstore import STORE_HOST
from gypsumpier.test.virtualtime import run_at_virtual_time

ENTRIES_PER_ZONE: Final = 10
SIDECARS_PER_ZONE: Final = 6
ROUTES: Final = 1900
REQUEST_MBPS: Final = 6.0
WEIGHTS_FIRST_S: Final = 1.0
"""Seconds for which the weights are on their way before the configuration is written."""
WATCHED_S: Final = 8.0
PROOF_MAX_S: Final = 4.5
"""Age of the proof from which an entry refuses requests with a key: 0.9 of 5 s."""
IN_FORCE_S: Final = 3.0
LARGE_BYTES: Final = 500_000
"""Bytes of an answer of the store that has the whole configuration."""
LARGE_ANSWERS_MAX: Final = 2
"""Such answers to a zone: that of its watcher, and one more where that is late."""
FEW_ENTRIES: Final = 6
FEW_SIDECARS: Final = 4
"""Entries and sidecars of a zone where the load is run several times."""
PHASES_S: Final = (0.0, 0.75, 1.5)
"""Seconds after the begin of a watch, of the 2 s that it waits."""
STALLED_AFTER_S: Final = 0.2
"""Seconds after the writing at which the answer to a watcher is under way."""


class LargeConfigurationTest(unittest.TestCase):
    def build(self, window_bytes: int) -> NarrowFleet:
        """Return the fleet of the load."""
        return NarrowFleet(ENTRIES_PER_ZONE, SIDECARS_PER_ZONE, window_bytes, REQUEST_MBPS)

    async def start(self, fleet: NarrowFleet) -> float:
        """Start the load; return the time at which the configuration was written."""
        await fleet.start()
        fleet.distribute(2, 3)
        await asyncio.sleep(WEIGHTS_FIRST_S)
        return fleet.configure(2, ROUTES)

    def assert_in_proof(self, nodes: list[NarrowNode], written_at_s: float) -> None:
        """Check that the nodes kept a proof and have the configuration in time."""
        for node in nodes:
            with self.subTest(node.name):
                self.assertLess(node.oldest_proof_s, PROOF_MAX_S)
                self.assertLessEqual(node.in_force_at_s[2] - written_at_s, IN_FORCE_S)

    def assert_few_large_answers(self, fleet: NarrowFleet, written_at_s: float) -> None:
        """Check how often the store sent the whole configuration to each zone."""
        zones = {node.name: node.mesh.own.zone for node in fleet.nodes}
        large = Counter(
            zones[call.host]
            for call in fleet.store.calls
            if call.at_s >= written_at_s and call.size > LARGE_BYTES
        )
        self.assertLessEqual(max(large.values()), LARGE_ANSWERS_MAX, large)

    def test_entries_stay_in_proof_where_connections_share_a_link(self) -> None:
        """Guards against a change that is read by one entry of a zone after the other."""
        run_at_virtual_time(self.check_load(SHORT_WINDOW_BYTES))

    def test_entries_stay_in_proof_where_a_link_has_a_long_queue(self) -> None:
        """Guards against entries that read in full together, time out and begin anew.

        That is how 1,085 of 1,412 requests were refused with stale_configuration.
        """
        run_at_virtual_time(self.check_load(LONG_WINDOW_BYTES))

    async def check_load(self, window_bytes: int) -> None:
        """Run the load and check all processes."""
        fleet = self.build(window_bytes)
        written_at_s = await self.start(fleet)
        await asyncio.sleep(WATCHED_S)
        self.assert_in_proof(fleet.nodes, written_at_s)
        self.assert_few_large_answers(fleet, written_at_s)
        await fleet.stop()

    def test_entries_stay_in_proof_whenever_in_a_watch_it_is_written(self) -> None:
        """Guards against a watch that has waited and leaves too little time for its answer.

        Its proof is that of the moment at which it was sent, and nothing else changes in the store.
        """
        for window_bytes in (SHORT_WINDOW_BYTES, LONG_WINDOW_BYTES):
            for phase_s in PHASES_S:
                with self.subTest(window_bytes=window_bytes, phase_s=phase_s):
                    run_at_virtual_time(self.check_phase(window_bytes, phase_s))

    async def check_phase(self, window_bytes: int, phase_s: float) -> None:
        """Write the configuration at that time beside nothing else that changes."""
        fleet = NarrowFleet(FEW_ENTRIES, FEW_SIDECARS, window_bytes, REQUEST_MBPS)
        await fleet.start()
        await fleet.stop_reports()
        fleet.distribute(2, 3)
        await asyncio.sleep(2 * WATCH_WAIT_S + phase_s)
        written_at_s = fleet.configure(2, ROUTES)
        await asyncio.sleep(WATCHED_S)
        self.assert_in_proof(fleet.nodes, written_at_s)
        self.assert_few_large_answers(fleet, written_at_s)
        await fleet.stop()

    def test_a_watcher_that_is_killed_as_its_answer_arrives_delays_nothing(self) -> None:
        """Guards against entries that wait for a reading in full that has ended."""
        run_at_virtual_time(self.check_killed_watchers())

    async def check_killed_watchers(self) -> None:
        """Kill the watchers of all zones while the store sends them the configuration."""
        fleet = self.build(SHORT_WINDOW_BYTES)
        written_at_s = await self.start(fleet)
        await asyncio.sleep(STALLED_AFTER_S)
        watchers = [node for node in fleet.entries if node.feed.rank_behind_watchers() < 0]
        self.assertEqual(len(REGIONS), len(watchers))
        for node in watchers:
            await node.stop()
        await asyncio.sleep(WATCHED_S)
        others = [node for node in fleet.entries if node not in watchers]
        self.assert_in_proof(others, written_at_s)
        await fleet.stop()

    def test_a_watcher_whose_answer_stops_on_the_way_delays_nothing(self) -> None:
        """Guards against a reading that others leave to a process whose connection is silent."""
        run_at_virtual_time(self.check_silent_watchers())

    async def check_silent_watchers(self) -> None:
        """Let nothing more of the store's answer reach the watcher of one zone."""
        fleet = self.build(SHORT_WINDOW_BYTES)
        written_at_s = await self.start(fleet)
        await asyncio.sleep(STALLED_AFTER_S)
        fleet.network.silence(STORE_HOST, "front-nam-a-01")
        await asyncio.sleep(WATCHED_S)
        self.assert_in_proof(fleet.entries, written_at_s)
        await fleet.stop()

    def test_a_region_that_reaches_only_the_store_reads_it_once(self) -> None:
        """Guards against a copy for each entry over a narrow link where no other zone can help."""
        run_at_virtual_time(self.check_partitioned_region())

    async def check_partitioned_region(self) -> None:
        """Cut one zone off from the others, but not from the store."""
        fleet = self.build(LONG_WINDOW_BYTES)
        await fleet.start()
        fleet.partition_zone("nam-a")
        await asyncio.sleep(WEIGHTS_FIRST_S)
        written_at_s = fleet.configure(2, ROUTES)
        await asyncio.sleep(WATCHED_S)
        self.assert_in_proof(fleet.entries, written_at_s)
        self.assert_few_large_answers(fleet, written_at_s)
        await fleet.stop()

    def test_a_zone_that_does_not_reach_the_store_gets_each_change(self) -> None:
        """Guards against a zone that gets proofs from others, but no records after the first."""
        run_at_virtual_time(self.check_zone_without_store())

    async def check_zone_without_store(self) -> None:
        """Write several configurations while no entry of one zone has answers of the store."""
        fleet = NarrowFleet(FEW_ENTRIES, FEW_SIDECARS, SHORT_WINDOW_BYTES, REQUEST_MBPS)
        await fleet.start()
        for node in fleet.nodes:
            if node.mesh.own.zone == "nam-a":
                fleet.network.silence(STORE_HOST, node.name)
        await asyncio.sleep(WATCHED_S)
        for version in (2, 3, 4):
            written_at_s = fleet.configure(version, ROUTES)
            await asyncio.sleep(IN_FORCE_S)
            for node in fleet.nodes:
                with self.subTest(node.name, version=version):
                    self.assertLess(node.oldest_proof_s, PROOF_MAX_S)
                    late_s = node.in_force_at_s.get(version, float("inf")) - written_at_s
                    self.assertLessEqual(late_s, IN_FORCE_S)
        await fleet.stop()


if __name__ == "__main__":
    unittest.main()
