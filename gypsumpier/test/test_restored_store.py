"""Tests of processes that read a store which comes back from an older copy."""

import asyncio
import time
import unittest
from typing import Any, Final

from gypsumpier.mesh.mesh import SIDECAR
from gypsumpier.test.builders_platform import (
    KEY,
    MODEL,
    ZONE,
    configuration_body,
    engine_body,
    plain_body,
)
from gypsumpier.test.meshnode import wait_until
from gypsumpier.test.standin.platform import PlatformStandin, StoreCopy
from gypsumpier.test.storefollower import StoreFollower

OTHER_ZONE: Final = "nam-a"
AWAY_S: Final = 0.3
IN_FORCE_S: Final = 2.0
"""Seconds after an acknowledgement in which a change must be known, as the platform says."""
CALLS_PER_S_MAX: Final = 40
"""Calls to the store by all processes of the test: some for each change and each failure."""
LATER_CHANGES: Final = 12
"""Changes after the copy, so that the store's revision is far behind for the whole test."""


class RestoredStoreCase(unittest.IsolatedAsyncioTestCase):
    """Two entries and a sidecar in one zone, one entry in another."""

    async def asyncSetUp(self) -> None:
        self.store = PlatformStandin()
        self.store.era = "1"
        self.addAsyncCleanup(self.store.server.close_all_connections)
        self.addCleanup(self.store.server.stop)
        self.store.put("op/config", self.configuration(1, KEY, "taken"))
        for number in (1, 2):
            self.store.put(f"servers/i-{number}", engine_body(number))
        self.followers: list[StoreFollower] = []
        for name, role, zone in (
            ("front-1", "entry", ZONE),
            ("front-2", "entry", ZONE),
            ("side-1", SIDECAR, ZONE),
            ("front-3", "entry", OTHER_ZONE),
        ):
            await self.follow(name, role, zone)
        await self.followed()

    def configuration(self, version: int, *keys: str) -> dict[str, Any]:
        """Return a configuration with these API keys."""
        return configuration_body(version, tenants=[{"name": "lab", "api_keys": list(keys)}])

    async def follow(self, name: str, role: str = "entry", zone: str = ZONE) -> StoreFollower:
        """Start a process."""
        follower = StoreFollower(name, role, self.store, zone)
        self.followers.append(follower)
        seeds = [found.node for found in self.followers if found.node.mesh.own.role == "entry"]
        follower.node.start(*seeds[:2])
        follower.watcher.start()
        self.addAsyncCleanup(follower.stop)
        return follower

    async def followed(self) -> None:
        """Wait until every process is at the store's position."""
        position = int(self.store.era or "0"), self.store.revision
        await wait_until(lambda: all(found.state.position == position for found in self.followers))

    def change_after_copy(self) -> StoreCopy:
        """Return a copy of the store, which is then changed many times."""
        copy = self.store.copied()
        for number in range(LATER_CHANGES):
            self.store.put("servers/i-2", engine_body(2, seq=5 + number, slots=15 - number % 2))
        return copy

    async def restore(self, copy: StoreCopy) -> None:
        """Let the store go away and come back from the copy."""
        self.store.leave()
        await asyncio.sleep(AWAY_S)
        self.store.come_back(copy)
        self.store.calls = 0
        self.back_at_s = time.monotonic()

    async def assert_in_force(self, version: int) -> None:
        """Check that a configuration just written is in force everywhere in time."""
        until_s = time.monotonic() + IN_FORCE_S
        await wait_until(
            lambda: time.monotonic() > until_s
            or all(found.configuration_version == version for found in self.followers)
        )
        versions = [found.configuration_version for found in self.followers]
        self.assertEqual([version] * len(self.followers), versions)

    def assert_few_calls(self) -> None:
        """Check that the store was not called without a pause."""
        seconds = 1.0 + time.monotonic() - self.back_at_s
        self.assertLess(self.store.calls, CALLS_PER_S_MAX * seconds)


class RestoredStoreTest(RestoredStoreCase):

    # Guards against a key that stays in use: its removal has a lower revision than the
    # configuration known from before the store came back.
    async def test_a_key_taken_away_after_the_return_is_out_of_use_in_time(self) -> None:
        copy = self.change_after_copy()
        self.store.put("op/config", self.configuration(2, KEY, "taken"))
        await self.followed()
        await self.restore(copy)
        self.store.put("op/config", self.configuration(2, KEY, "taken"))
        await asyncio.sleep(AWAY_S)
        self.store.put("op/config", self.configuration(3, KEY))
        await self.assert_in_force(3)
        for follower in self.followers:
            assert follower.state.configuration is not None
            keys = follower.state.configuration.workspaces_by_key or {}
            self.assertEqual({KEY}, set(keys))
        self.assert_few_calls()

    # Guards against an older configuration or version that a copy brings back, also for a process
    # that starts then and reads nothing else, and against calls without a pause.
    async def test_what_the_copy_lacks_stays_known_also_to_a_process_that_starts(self) -> None:
        copy = self.change_after_copy()
        self.store.put("op/config", self.configuration(2, KEY))
        self.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 2})
        await self.followed()
        await self.restore(copy)
        await self.followed()
        for name, zone in (("front-0", ZONE), ("front-4", OTHER_ZONE), ("front-5", "trung-a")):
            await self.follow(name, "entry", zone)
        await self.followed()
        await self.assert_in_force(2)
        for follower in self.followers:
            self.assertEqual(2, follower.state.versions[MODEL][-1].version)
        self.assert_few_calls()

    # Guards against requests to an upstream that has said that it leaves, or that has gone: the
    # copy shows it as ready, and what it writes then has a low revision.
    async def test_an_upstream_that_leaves_around_the_return_is_left(self) -> None:
        self.store.put("servers/i-3", plain_body(3))
        await self.followed()
        copy = self.change_after_copy()
        self.store.put("servers/i-1", engine_body(1, state="draining", seq=6))
        self.store.remove("servers/i-3")
        await self.followed()
        await self.restore(copy)
        self.store.put("servers/i-2", engine_body(2, state="draining", seq=40))
        await self.followed()
        for follower in self.followers:
            upstreams = follower.state.upstreams
            leaving = {name for name, found in upstreams.items() if found.is_leaving}
            self.assertEqual({"i-1", "i-2"}, leaving)
            self.assertNotIn("i-3", upstreams)
        self.store.put("servers/i-3", plain_body(3, seq=50))
        await self.followed()
        self.assertTrue(all("i-3" in found.state.upstreams for found in self.followers))

    # Guards against a version that no engine loads as its revision is lower than the known one.
    async def test_a_version_named_after_the_return_is_wanted(self) -> None:
        copy = self.change_after_copy()
        await self.followed()
        await self.restore(copy)
        self.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 2})
        await self.followed()
        for follower in self.followers:
            self.assertEqual(2, follower.state.versions[MODEL][-1].version)

    # Guards against a system that follows one return and stands still after the next.
    async def test_the_store_comes_back_twice_within_a_second(self) -> None:
        copy = self.change_after_copy()
        self.store.put("op/config", self.configuration(2, KEY, "taken"))
        await self.followed()
        await self.restore(copy)
        self.store.put("op/config", self.configuration(2, KEY, "taken"))
        await self.restore(copy)
        self.store.put("op/config", self.configuration(3, KEY))
        await self.assert_in_force(3)
        self.assert_few_calls()

    # Guards against an upstream that is dropped though it runs: the copy is older than its record.
    async def test_an_upstream_added_after_the_copy_is_kept_until_it_writes_again(self) -> None:
        copy = self.change_after_copy()
        self.store.put("servers/i-9", engine_body(9))
        await self.followed()
        await self.restore(copy)
        await self.followed()
        self.assertTrue(all("i-9" in found.state.upstreams for found in self.followers))
        self.store.put("servers/i-9", engine_body(9))
        await self.followed()
        self.assertTrue(all(not found.state.lapsed for found in self.followers))

    # Guards against proofs that end: nothing is written after the return.
    async def test_proofs_go_on_after_the_return(self) -> None:
        copy = self.change_after_copy()
        await self.followed()
        await self.restore(copy)
        await self.followed()
        await asyncio.sleep(3.0)
        for follower in self.followers:
            self.assertLess(follower.state.proof_age_s(), 3.0)
        self.assert_few_calls()


class OddEraTest(RestoredStoreCase):

    # Guards against a store that is given up for an era that no page describes.
    async def test_an_odd_era_changes_nothing(self) -> None:
        for number, era in enumerate(("", "two", "-1", "1.5", "9" * 40, "²"), 2):
            self.store.era = era
            self.store.put("op/config", self.configuration(number, KEY))
            await self.assert_in_force(number)
        self.assertEqual({1}, {found.state.era for found in self.followers})

    # Guards against news and proofs from an era that has ended.
    async def test_answers_of_an_ended_era_are_ignored(self) -> None:
        await self.restore(self.change_after_copy())
        await self.followed()
        self.store.era = "1"
        self.store.put("op/config", self.configuration(2, KEY))
        await asyncio.sleep(1.0)
        self.assertEqual({1}, {found.configuration_version for found in self.followers})
        self.store.era = "2"
        await self.assert_in_force(2)
        self.assert_few_calls()
