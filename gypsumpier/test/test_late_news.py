"""Tests of versions of weights whose news is late for every reader of the store.

Nobody else has heard of the change in time, so that no peer can correct a wrong belief.
"""

import asyncio
import signal
import unittest
from typing import Any, Final

from gypsumpier.fleet.change import Batch
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.watcher import WATCH_WAIT_S
from gypsumpier.mesh.feed import FEED, TAKEOVER_S
from gypsumpier.test.builders_platform import (
    ENGINES,
    MODEL,
    configuration_body,
    engine_record,
)
from gypsumpier.test.gatewayfleet import GatewayFleet
from gypsumpier.test.nodeprocess import NodeProcessCase
from gypsumpier.test.storereaders import (
    NAMED_S,
    REVISION,
    START_S,
    VERSION_BODY,
    VERSION_KEY,
    Reader,
    StoreReadersCase,
)

TOLERANCE_S: Final = 0.1
"""Seconds by which a version may seem younger than it is: what a message takes."""
LATE_NEWS_TIMEOUT_S: Final = 15.0
"""Seconds within which late news must arrive, also on a busy machine."""


class SilentStoreTest(unittest.IsolatedAsyncioTestCase):
    """One entry is the only reader of the store."""

    async def asyncSetUp(self) -> None:
        self.fleet = GatewayFleet()
        self.fleet.configure()
        self.engine = self.fleet.add("i-1", ENGINES)
        await self.fleet.start()
        await self.fleet.settle()
        self.addAsyncCleanup(self.fleet.stop)
        while self.fleet.store.watches == 0:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)

    def believed_named_at_s(self) -> float:
        """Return the time at which the entry believes the version to have been named."""
        return self.fleet.entry.fleet_state.versions[MODEL][-1].earliest_named_at_s

    async def test_a_version_found_after_an_unanswered_watch_is_not_taken_for_just_named(
        self,
    ) -> None:
        """Guards against weights past their limit: connections to the store have gone silent."""
        self.fleet.store.silence_watches()
        named_at_s = boot_time_s()
        self.fleet.store.put(VERSION_KEY, VERSION_BODY)
        await self.fleet.settle(LATE_NEWS_TIMEOUT_S)
        self.assertLessEqual(self.believed_named_at_s(), named_at_s + TOLERANCE_S)

    async def test_a_version_found_in_a_snapshot_is_not_taken_for_just_named(self) -> None:
        """Guards against weights past their limit: the store drops its history unheard."""
        self.fleet.store.is_deaf = True
        named_at_s = boot_time_s()
        self.fleet.store.put(VERSION_KEY, VERSION_BODY)
        await asyncio.sleep(1.0)
        self.fleet.store.end_deafness()
        await self.fleet.settle(LATE_NEWS_TIMEOUT_S)
        self.assertLessEqual(self.believed_named_at_s(), named_at_s + TOLERANCE_S)

    async def test_no_request_starts_on_weights_past_their_limit_after_late_news(self) -> None:
        """Guards against requests on replaced weights where every reader hears of it late."""
        entry = self.fleet.entry
        bounds = entry.settings.bounds._replace(version_in_force_s=2.0)
        entry.settings = entry.settings._replace(bounds=bounds)
        self.fleet.store.silence_watches()
        limit_s = boot_time_s() + 2.0
        self.fleet.store.put(VERSION_KEY, VERSION_BODY)
        await self.fleet.settle(LATE_NEWS_TIMEOUT_S)
        self.assertGreater(boot_time_s(), limit_s)
        answer = await self.fleet.call("/reports/x")
        self.assertEqual((503, []), (answer.code, self.engine.runs))


class StoppedProcessTest(NodeProcessCase):
    """The only reader of the store is a process that stands still."""

    async def test_a_version_named_while_the_process_is_stopped_is_not_just_named(self) -> None:
        """Guards against taking the time at which a process went on for that of the naming."""
        process = await self.start()
        self.store.put("op/config", configuration_body())
        await self.until_logged("configuration_in_force")
        await asyncio.sleep(0.3)
        process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(0.2)
            named_at_s = boot_time_s()
            self.store.put(VERSION_KEY, VERSION_BODY)
            await asyncio.sleep(1.0)
            stopped_s = boot_time_s() - named_at_s
        finally:
            process.send_signal(signal.SIGCONT)
        await self.until_logged("version_wanted")
        line = next(line for line in self.lines() if line["event"] == "version_wanted")
        self.assertGreaterEqual(line["named_ago_s"], stopped_s - TOLERANCE_S)


class LateReadersTest(StoreReadersCase):
    """A version is named at ``NAMED_S``, and every reader hears of it late."""

    def assert_nobody_believes_it_younger(self) -> None:
        """Check that no entry takes the version for younger than it is."""
        for reader in self.readers:
            with self.subTest(reader.mesh.own.name):
                self.assertLessEqual(reader.believed_named_at_s(), NAMED_S + TOLERANCE_S)

    async def test_an_entry_that_takes_over_does_not_take_what_it_finds_for_just_named(
        self,
    ) -> None:
        """Guards against trusting news that is as old as it took to take over."""
        self.at(TAKEOVER_S + 0.1)
        for reader in self.readers[1:]:
            await reader.call(0.004, self.news)
        self.deliver()
        self.readers[0].feed.handle_feed(
            self.readers[1].mesh.own, self.feed_with_news(self.readers[1])
        )
        self.assert_nobody_believes_it_younger()

    def feed_with_news(self, reader: Reader) -> dict[str, Any]:
        """Return the message with which the reader passes the news on."""
        reader.feed.share(Batch(REVISION - 1, REVISION, self.news, False, 0.0))
        return next(payload for _, kind, payload in reader.mesh.posted if kind == FEED)

    async def test_a_peer_that_learns_of_it_from_a_late_reader_does_not_trust_its_own_receipt(
        self,
    ) -> None:
        """Guards against a time that becomes certain by being passed on."""
        self.at(3.0)
        await self.readers[0].call(0.004, self.news)
        self.deliver()
        self.assertIn(MODEL, self.readers[1].state.versions)
        self.assertLessEqual(self.readers[1].believed_named_at_s(), NAMED_S + TOLERANCE_S)

    async def test_calls_that_one_fault_of_the_connections_cut_are_no_outage(self) -> None:
        """Guards against an outage that nobody has seen: all watches are silent at once."""
        for reader in self.readers:
            self.at(0.1)
            await reader.call(WATCH_WAIT_S + 0.6, None)
        for reader in self.readers:
            for _ in ("revision", "changes"):
                await reader.call(0.004, self.news)
        self.deliver()
        self.assertFalse(any(reader.state.is_after_outage() for reader in self.readers))
        self.assert_nobody_believes_it_younger()

    async def test_a_store_that_can_be_read_while_its_watches_fail_is_not_out(self) -> None:
        """Guards against an outage that is inferred from watches alone, twice in a row."""
        reader = self.readers[0]
        self.at(0.1)
        await reader.call(WATCH_WAIT_S + 0.6, None)
        await reader.call(0.004, self.news)
        self.assertTrue(reader.watcher.needs_snapshot)
        await reader.call(0.6, None)
        await reader.call(0.004, self.news)
        await reader.call(0.004, self.news)
        self.assertFalse(reader.state.is_after_outage())
        self.assertLessEqual(reader.believed_named_at_s(), NAMED_S + TOLERANCE_S)

    async def test_a_store_that_fails_two_calls_in_a_row_was_out(self) -> None:
        """Guards against a version that is due at once when the store returns."""
        reader = self.readers[0]
        self.at(0.1)
        for takes_s in (WATCH_WAIT_S + 0.6, 0.6, 0.6):
            await reader.call(takes_s, None)
        returned_s = self.now_s - START_S
        for _ in ("revision", "changes"):
            await reader.call(0.004, self.news)
        self.assertAlmostEqual(returned_s, reader.believed_named_at_s(), delta=TOLERANCE_S)

    async def test_a_zone_hears_of_the_end_of_an_outage_at_once(self) -> None:
        """Guards against a bound from before the outage for a version that is named after it."""
        reader, peer = self.readers[:2]
        self.at(0.1)
        for takes_s in (WATCH_WAIT_S + 0.6, 0.6):
            await reader.call(takes_s, None)
        await reader.call(0.004, [engine_record(1, REVISION - 1)])
        returned_s = self.now_s - START_S
        self.deliver()
        self.at(returned_s + 0.5)
        await peer.call(0.004, self.news)
        self.assertAlmostEqual(returned_s, peer.believed_named_at_s(), delta=TOLERANCE_S)

    async def test_all_readers_that_stood_still_do_not_trust_the_time_of_their_return(
        self,
    ) -> None:
        """Guards against a time that is too late by as long as the readers were stopped."""
        for reader in self.readers:
            self.at(0.1)
            await reader.call(3.0, self.news)
        self.deliver()
        self.assert_nobody_believes_it_younger()

    async def test_a_watch_that_waits_tells_the_time_of_the_naming(self) -> None:
        """Guards against bounds so careful that engines lose seconds for their switch."""
        for seconds in range(1, 11):
            for reader in self.readers:
                self.at(0.1 * (seconds - 1))
                reader.watcher.stalls.tick()
                await reader.call(0.1, [])
        for reader in self.readers:
            self.at(NAMED_S - 0.05)
            reader.watcher.stalls.tick()
            await reader.call(0.05, self.news)
        self.deliver()
        for reader in self.readers:
            self.assertGreaterEqual(reader.believed_named_at_s(), NAMED_S - 2 * TOLERANCE_S)
        self.assert_nobody_believes_it_younger()


if __name__ == "__main__":
    unittest.main()
