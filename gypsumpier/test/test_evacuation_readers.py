"""Tests of processes that read evacuations from a store that is silent, down or an older copy."""

import asyncio
import time
import unittest
from typing import Final
from unittest import mock

from gypsumpier.fleet import evacuations
from gypsumpier.fleet.state import FleetState
from gypsumpier.test.builders_platform import ZONE
from gypsumpier.test.meshnode import wait_until
from gypsumpier.test.test_restored_store import OTHER_ZONE, RestoredStoreCase
from gypsumpier.test.zonedreaders import ReadingZones

KEY: Final = f"op/evacuate/{ZONE}"
EVACUATED_S: Final = 5.0
"""Seconds after the store's acknowledgement within which every process must know."""
REPEAT_S: Final = 1.5
"""Seconds in the place of the 6 in which writes that a copy lacks are repeated."""
PROOF_S: Final = 4.0
"""Seconds within which a proof arrives that the store has had nothing newer."""


def is_evacuated(fleet_state: FleetState, zone: str = ZONE) -> bool:
    """Return whether a process knows the zone as evacuated."""
    return zone in fleet_state.evacuations.zones


class EvacuationReadersTest(RestoredStoreCase):
    async def asyncSetUp(self) -> None:
        patch = mock.patch.object(evacuations, "REPEAT_S", REPEAT_S)
        patch.start()
        self.addCleanup(patch.stop)
        await super().asyncSetUp()

    def evacuated(self, zone: str = ZONE) -> list[bool]:
        """Return for each process whether it knows the zone as evacuated."""
        return [is_evacuated(found.state, zone) for found in self.followers]

    def assert_evacuated(self, expected: bool, zone: str = ZONE) -> None:
        """Check that each process knows the zone as evacuated, or that none does."""
        self.assertEqual([expected] * len(self.followers), self.evacuated(zone))

    # Guards against a zone that is used for longer than the bound as no watch hears of its key.
    async def test_a_key_that_no_watch_hears_of_is_known_in_time(self) -> None:
        await asyncio.sleep(0.2)
        self.store.silence_watches()
        acknowledged_s = time.monotonic()
        self.store.put(KEY, {})
        await wait_until(lambda: all(self.evacuated()))
        self.assertLess(time.monotonic() - acknowledged_s, EVACUATED_S)

    # Guards against a zone that is used again, also by a process that starts then: the store has
    # lost the key, and a second zone is evacuated meanwhile.
    async def test_a_key_that_the_copy_lacks_is_kept_until_it_is_written_again(self) -> None:
        copy = self.change_after_copy()
        self.store.put(KEY, {})
        await self.followed()
        await self.restore(copy)
        await self.followed()
        for name, zone in (("front-0", ZONE), ("front-4", "trung-a")):
            await self.follow(name, "entry", zone)
        await self.followed()
        await wait_until(lambda: all(found.state.is_confirmed() for found in self.followers))
        self.assert_evacuated(True)
        self.store.put(f"op/evacuate/{OTHER_ZONE}", {})
        self.store.put(KEY, {})
        await self.followed()
        await asyncio.sleep(REPEAT_S + PROOF_S)
        self.assert_evacuated(True)
        self.assert_evacuated(True, OTHER_ZONE)
        self.store.remove(KEY)
        await self.followed()
        self.assert_evacuated(False)
        self.assert_evacuated(True, OTHER_ZONE)

    # Guards against a zone that is lost for good, as its key was never written again.
    async def test_a_key_that_is_not_written_again_counts_as_removed(self) -> None:
        copy = self.change_after_copy()
        self.store.put(KEY, {})
        await self.followed()
        await self.restore(copy)
        await self.followed()
        self.assert_evacuated(True)
        async with asyncio.timeout(REPEAT_S + PROOF_S):
            while any(self.evacuated()):
                await asyncio.sleep(0.02)

    # Guards against a zone that is evacuated once more as the store has lost the removal.
    async def test_a_removal_that_the_copy_lacks_holds_and_is_repeated(self) -> None:
        self.store.put(KEY, {})
        await self.followed()
        copy = self.change_after_copy()
        self.store.remove(KEY)
        await self.followed()
        await self.restore(copy)
        await self.followed()
        self.assert_evacuated(False)
        self.store.remove(KEY)
        await self.followed()
        await asyncio.sleep(REPEAT_S + 0.5)
        self.assert_evacuated(False)


class ZonedEvacuationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.zones = ReadingZones(ZONE, OTHER_ZONE)
        await self.zones.start()
        self.addAsyncCleanup(self.zones.stop)

    def states(self, zone: str) -> list[FleetState]:
        """Return the fleet states of the entries of a zone."""
        return [entry.state for entry in self.zones.entries.values() if entry.mesh.own.zone == zone]

    # Guards against a zone whose reader waits in vain while others have heard of the key.
    async def test_a_notice_of_another_zone_tells_of_a_key(self) -> None:
        self.zones.store.silent.add(f"front-{ZONE}-1")
        self.zones.store.put(KEY, {})
        acknowledged_s = time.monotonic()
        await self.zones.wait_until(
            lambda: all(is_evacuated(entry.state) for entry in self.zones.entries.values())
        )
        self.assertLess(time.monotonic() - acknowledged_s, 1.0)

    # Guards against an end without the store's word in a zone that is cut off from all, and against
    # an evacuation that lasts as the zone hears late of its end.
    async def test_a_zone_that_is_cut_off_hears_late_of_the_end(self) -> None:
        store, network = self.zones.store, self.zones.network
        store.put(KEY, {})
        await self.zones.wait_until(
            lambda: all(is_evacuated(entry.state) for entry in self.zones.entries.values())
        )
        far = [f"front-{OTHER_ZONE}-{number}" for number in (1, 2)]
        near = [f"front-{ZONE}-{number}" for number in (1, 2)]
        store.silent |= set(far)
        for one in near:
            for other in far:
                network.partition(one, other)
        store.remove(KEY)
        await self.zones.wait_until(lambda: not any(map(is_evacuated, self.states(ZONE))))
        await asyncio.sleep(EVACUATED_S)
        self.assertTrue(all(map(is_evacuated, self.states(OTHER_ZONE))))
        store.silent.clear()
        for one in near:
            for other in far:
                network.heal(one, other)
        await self.zones.wait_until(lambda: not any(map(is_evacuated, self.states(OTHER_ZONE))))
