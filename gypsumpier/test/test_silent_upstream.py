"""Tests of upstreams that stand still for a second or so and then go on.

Such a silence is no fault: answers arrive late but whole, nothing runs twice, and the upstream gets
requests again soon.
"""

import asyncio
import time
import unittest
from collections import Counter
from typing import Any
from unittest import mock

from tornado.httpclient import HTTPResponse

from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.node import Address
from gypsumpier.gateway import sender
from gypsumpier.gateway.application import SEND_MARGIN_S, START_MARGIN_S
from gypsumpier.log import LOGGER
from gypsumpier.mesh.mesh import Mesh
from gypsumpier.platform.engine import PlatformEngine
from gypsumpier.platform.store import PlatformStore
from gypsumpier.sidecar.enginewatch import EngineWatch
from gypsumpier.tasks import end_task
from gypsumpier.test.builders_platform import (
    ENGINES,
    MODEL,
    PLAIN,
    configuration_body,
    engine_body,
)
from gypsumpier.test.fakes_piece import entry_peer
from gypsumpier.test.gatewayfleet import GatewayFleet
from gypsumpier.test.silentcase import (
    BUSY_MARGIN_S,
    CLOSE_CHECK_S,
    ENDED_TIMEOUT_S,
    IN_FORCE_S,
    LATE_EVENT_PAUSE_S,
    LATE_EVENTS,
    OTHER_ZONE,
    ROUTES,
    SILENCE_S,
    SilentUpstreamCase,
)
from gypsumpier.test.standin.pausable import PausableStandin
from gypsumpier.test.standin.platform import (
    OriginStandin,
    PlatformStandin,
    UpstreamHandler,
    UpstreamStandin,
)
from gypsumpier.test.standin.platformengine import EngineStandin
from gypsumpier.test.standin.server import StandinHandler
from gypsumpier.wire.tcp import TcpDialer


class SilentStreamTest(SilentUpstreamCase):
    async def test_a_stream_of_the_only_engine_waits_for_it(self) -> None:
        await self.start()
        for before_first in (True, False):
            with self.subTest(before_first=before_first):
                self.assert_whole(await self.stream_with_silence(before_first, silence_s=1.2))

    async def test_a_stream_resumes_at_another_engine(self) -> None:
        other = self.fleet.add("i-2", ENGINES, zone=OTHER_ZONE)
        await self.start()
        self.assert_whole(await self.stream_with_silence(before_first=False))
        self.assertEqual(1, len(other.run_ids))
        self.assertIn("last-event-id", other.received_headers[0])

    async def test_a_stream_starts_at_another_engine(self) -> None:
        other = self.fleet.add("i-2", ENGINES, zone=OTHER_ZONE)
        await self.start()
        self.assert_whole(await self.stream_with_silence(before_first=True))
        self.assertEqual(1, len(other.run_ids))

    async def test_a_stream_that_cannot_resume_waits_for_its_engine(self) -> None:
        other = self.fleet.add("i-2", ENGINES, zone=OTHER_ZONE)
        await self.start()
        for before_first in (True, False):
            with self.subTest(before_first=before_first):
                path = "/once/reports/x"
                self.assert_whole(await self.stream_with_silence(before_first, path, 1.2))
        self.assertEqual([], other.run_ids)

    async def test_a_stream_whose_engines_are_all_silent_ends_whole(self) -> None:
        other = self.pausable("i-2", ENGINES, zone=OTHER_ZONE)
        await self.start()
        call = asyncio.create_task(self.stream_with_silence(before_first=True))
        await asyncio.sleep(0.1)
        other.pause(SILENCE_S)
        self.assert_whole(await call)

    async def test_a_stream_waits_where_no_retry_is_left(self) -> None:
        """Guards against a cut stream because of a silence while the retry budget is exhausted."""
        other = self.fleet.add("i-2", ENGINES, zone=OTHER_ZONE)
        await self.start()
        self.exhaust_retries()
        self.assert_whole(await self.stream_with_silence(before_first=False))
        self.assertEqual([], other.run_ids)

    async def late_stream_with_silence(self) -> HTTPResponse:
        """Return the answer to a stream whose engine pauses later than callers await the start."""
        engine = self.silent.standin
        engine.event_pause_s, engine.event_count = LATE_EVENT_PAUSE_S, LATE_EVENTS
        call = asyncio.create_task(self.fleet.call("/reports/x"))
        await self.wait_until(lambda: bool(engine.run_ids))
        await asyncio.sleep(2 * LATE_EVENT_PAUSE_S + 0.1)
        self.silent.pause(1.2)
        return await call

    async def test_a_stream_waits_where_the_other_engines_hold_weights_that_are_too_old(
        self,
    ) -> None:
        """Guards against giving up a silent engine for one that may not serve any more."""
        other = self.fleet.add("i-2", ENGINES, zone=OTHER_ZONE)
        record = engine_body(version=2, address=self.silent.standin.address)
        self.fleet.store.put("servers/i-1", record)
        self.silent.standin.loaded_version = lambda: 2  # type: ignore[method-assign]
        await self.start()
        least_version = mock.patch.object(self.fleet.entry.admission, "least_version", lambda _: 2)
        with least_version:
            answer = await self.late_stream_with_silence()
        self.assert_whole(answer, LATE_EVENTS)
        self.assertEqual((1, []), (len(self.silent.standin.run_ids), other.run_ids))

    # Guards against an engine whose silence no other entry learns of, as its requests stay there,
    # and against one that is still reported as it has gone on.
    async def test_a_silence_is_known_while_it_lasts(self) -> None:
        await self.start()
        silences = self.fleet.entry.selector.silences
        call = asyncio.create_task(self.late_stream_with_silence())
        await self.wait_until(lambda: bool(self.silent.standin.run_ids))
        await asyncio.sleep(2 * LATE_EVENT_PAUSE_S + 0.1)
        await self.wait_until(lambda: bool(silences.own()))
        self.assertEqual({"i-1"}, {upstream for upstream, _ in silences.own()})
        self.assert_whole(await call, LATE_EVENTS)
        self.assertEqual(frozenset(), silences.own())

    async def test_a_late_stream_of_another_zone_ends_whole(self) -> None:
        """Guards against a cut stream because one silent engine rules out its whole zone."""
        record = engine_body(address=self.silent.standin.address, zone=OTHER_ZONE)
        self.fleet.store.put("servers/i-1", record)
        await self.start()
        other = self.fleet.add("i-2", ENGINES, zone=OTHER_ZONE, slots=1)
        await self.fleet.settle()
        other.event_count = LATE_EVENTS
        self.assert_whole(await self.late_stream_with_silence(), LATE_EVENTS)


class SilentPlainTest(SilentUpstreamCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.silent = self.pausable("i-3", PLAIN)
        self.other = self.pausable("i-4", PLAIN, zone=OTHER_ZONE)
        await self.start()

    def runs(self) -> list[str]:
        """Return the requests that have started to run."""
        return self.silent.standin.run_ids + self.other.standin.run_ids

    async def test_a_command_is_answered_by_its_own_run(self) -> None:
        self.silent.pause(SILENCE_S)
        answer = await self.fleet.call("/commands/x")
        self.assertEqual((200, b"answer to r1 by i-3"), (answer.code, answer.body))
        self.assertEqual(["r1"], self.runs())

    async def test_a_command_on_a_kept_connection_is_answered_by_its_own_run(self) -> None:
        await self.fleet.call("/commands/x", "r0")
        self.silent.pause(SILENCE_S)
        answer = await self.fleet.call("/commands/x")
        self.assertEqual((200, b"answer to r1 by i-3"), (answer.code, answer.body))
        self.assertEqual(["r0", "r1"], self.runs())

    async def test_a_command_ends_at_its_time_limit(self) -> None:
        self.silent.pause(SILENCE_S)
        began_s = time.monotonic()
        answer = await self.fleet.call("/commands/x", headers={"X-Deadline-Ms": "900"})
        self.assertEqual(504, answer.code)
        self.assertLess(time.monotonic() - began_s, SILENCE_S)
        await asyncio.sleep(SILENCE_S)
        self.assertLessEqual(len(self.runs()), 1)

    async def test_a_repeatable_request_is_answered_elsewhere(self) -> None:
        self.silent.pause(SILENCE_S)
        answer = await self.fleet.call("/reads/x")
        self.assertEqual((200, b"answer to r1 by i-4"), (answer.code, answer.body))

    async def test_a_repeatable_request_is_sent_no_more_often_than_its_attempts(self) -> None:
        third = self.pausable("i-5", PLAIN, zone=OTHER_ZONE)
        await self.fleet.settle()
        for upstream in (self.silent, self.other, third):
            upstream.pause(SILENCE_S)
        answer = await self.fleet.call("/reads/x")
        self.assertEqual(200, answer.code)
        await asyncio.sleep(0.2)
        received = [
            len(found.standin.received_headers) for found in (self.silent, self.other, third)
        ]
        self.assertLessEqual(sum(received), 2)

    async def test_a_repeatable_request_waits_where_no_retry_is_left(self) -> None:
        """Guards against a 502 because of a silence while the retry budget is exhausted."""
        self.silent.pause(SILENCE_S)
        self.exhaust_retries()
        answer = await self.fleet.call("/reads/x")
        self.assertEqual((200, b"answer to r1 by i-3"), (answer.code, answer.body))

    async def test_an_upstream_whose_requests_failed_together_is_used_again_soon(self) -> None:
        """Guards against leaving out an upstream for seconds after one silence."""
        ends_at_s = self.silent.pause(1.2)
        calls = [self.fleet.call("/reads/x", f"r{number}") for number in range(6)]
        codes = {answer.code for answer in await asyncio.gather(*calls)}
        self.assertEqual({200}, codes)
        await self.use_until_used_again("/reads/x", ends_at_s)


class SilentEngineUsedAgainTest(SilentUpstreamCase):
    async def test_an_engine_whose_stream_was_resumed_is_used_again_soon(self) -> None:
        other = self.fleet.add("i-2", ENGINES, zone=OTHER_ZONE)
        await self.start()
        ends_at_s = self.silent.pause(SILENCE_S)
        self.assert_whole(await self.fleet.call("/reports/x"))
        self.assertEqual(1, len(other.run_ids))
        await self.use_until_used_again("/reports/x", ends_at_s)

    async def test_an_engine_whose_streams_were_resumed_together_is_used_again_soon(self) -> None:
        """Guards against leaving out an engine for seconds after one silence."""
        other = self.fleet.add("i-2", ENGINES, zone=OTHER_ZONE)
        await self.start()
        ends_at_s = self.silent.pause(SILENCE_S)
        with mock.patch.object(sender, "STREAM_SILENCE_S", 0.7):
            calls = [self.fleet.call("/reports/x", f"r{number}") for number in range(8)]
            for answer in await asyncio.gather(*calls):
                self.assert_whole(answer)
        self.assertEqual(8, len(other.run_ids))
        await self.use_until_used_again("/reports/x", ends_at_s)


class CheckingHandler(UpstreamHandler):
    """Looks whether its connection is still open just before the request starts."""

    async def wait_for_start(self, action: str) -> bool:
        if not await super().wait_for_start(action):
            return False
        return not await self.closes_within(CLOSE_CHECK_S)


class CheckingStandin(UpstreamStandin):
    """An upstream that starts no request whose connection has closed."""

    def handlers(self) -> list[tuple[str, type[StandinHandler], dict[str, Any]]]:
        return [(r".*", CheckingHandler, {"state": self})]


class AbandonedRequestTest(SilentUpstreamCase):
    async def asyncSetUp(self) -> None:
        self.fleet = GatewayFleet()
        self.fleet.configure(routes=ROUTES)
        self.silent = self.pausable("i-1", ENGINES, lambda: CheckingStandin("i-1"))

    async def test_a_request_whose_caller_has_left_does_not_run(self) -> None:
        await self.start()
        ends_at_s = self.silent.pause(SILENCE_S)
        calls = [
            asyncio.create_task(
                self.fleet.call("/reports/x", f"r{number}", headers={"X-Deadline-Ms": "500"})
            )
            for number in range(4)
        ]
        codes = [answer.code for answer in await asyncio.gather(*calls)]
        self.assertEqual([504] * 4, codes)
        await asyncio.sleep(ends_at_s - time.monotonic() + BUSY_MARGIN_S)
        self.assertEqual([], self.silent.standin.run_ids)

    async def test_a_stream_that_was_resumed_elsewhere_does_not_run_on(self) -> None:
        other = self.fleet.add("i-2", ENGINES, zone=OTHER_ZONE)
        await self.start()
        self.silent.pause(SILENCE_S)
        self.assert_whole(await self.fleet.call("/reports/x"))
        await asyncio.sleep(SILENCE_S)
        self.assertEqual((1, []), (len(other.run_ids), self.silent.standin.run_ids))

    async def test_a_queued_request_does_not_start_on_weights_past_their_limit(self) -> None:
        """The engine is silent when the request is withdrawn and when it is due to start."""
        entry = self.fleet.entry
        bounds = entry.settings.bounds._replace(version_in_force_s=IN_FORCE_S)
        entry.settings = entry.settings._replace(bounds=bounds)
        await self.start()
        self.silent.standin.plan = ["queued"]
        self.silent.standin.queued_s = IN_FORCE_S - START_MARGIN_S
        self.fleet.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 2})
        limit_s = time.monotonic() + IN_FORCE_S
        await self.fleet.settle()
        await asyncio.sleep(limit_s - SEND_MARGIN_S - 0.3 - time.monotonic())
        call = asyncio.create_task(self.fleet.call("/reports/x"))
        await asyncio.sleep(limit_s - START_MARGIN_S - 0.2 - time.monotonic())
        self.assertEqual(1, len(self.silent.standin.received_headers))
        ends_at_s = self.silent.pause(1.5)
        self.assertGreater(ends_at_s, limit_s)
        await call
        await asyncio.sleep(max(0.0, ends_at_s - time.monotonic()) + 0.3)
        runs = self.silent.standin.runs
        self.assertEqual([], [run.at_s - limit_s for run in runs if run.at_s > limit_s])


class SilentReportTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_sidecar_keeps_what_it_knows_of_its_silent_engine(self) -> None:
        origin = OriginStandin()
        self.addCleanup(origin.server.stop)
        engine = PausableStandin(lambda: EngineStandin("i-1", MODEL, 16, origin))
        self.addCleanup(engine.stop)
        engine.standin.version = 1
        address = Address("127.0.0.1", engine.standin.port)
        client = PlatformEngine(address)
        self.addCleanup(client.close)
        mesh = Mesh(entry_peer("side", "bac-a"), (), TcpDialer())
        watch = EngineWatch(mesh, client, str(address))
        with self.assertLogs(LOGGER, "INFO") as logged:
            watching = asyncio.create_task(watch.run())
            while watch.report is None:
                await asyncio.sleep(0.01)
            ends_at_s = engine.pause(1.5)
            while time.monotonic() < ends_at_s + BUSY_MARGIN_S:
                self.assertIsNotNone(watch.report)
                self.assertFalse(watch.is_busy())
                await asyncio.sleep(0.02)
            await end_task(watching)
        events = Counter(found.getMessage() for found in logged.records)
        self.assertEqual({"engine_state": 1}, dict(events))
        published = watch.last_published
        assert published is not None
        self.assertEqual(1, published.layers[0].version)


class SilentStoreTest(SilentUpstreamCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store = PausableStandin(PlatformStandin)
        self.addCleanup(self.store.stop)
        held = self.fleet.store
        self.store.standin.items, self.store.standin.revision = held.items, held.revision
        watcher = self.fleet.entry.watcher
        watcher.source.close()
        watcher.source = PlatformStore(Address("127.0.0.1", self.store.standin.port))
        self.unready = 0
        await self.start()
        self.watching = asyncio.create_task(self.watch_readiness())

    async def asyncTearDown(self) -> None:
        await end_task(self.watching)
        await super().asyncTearDown()

    async def watch_readiness(self) -> None:
        """Count the moments at which the entry is not ready."""
        while True:
            self.unready += not self.fleet.entry.is_ready()
            await asyncio.sleep(0.01)

    async def write_and_pause(self, key: str, body: dict[str, Any]) -> float:
        """Write a record, pause the store at once, and wait for the entry to get the record.

        Return the seconds that this has taken.
        """
        began_s = time.monotonic()
        store = self.store.standin
        self.store.pause(1.5, lambda: store.put(key, body))
        async with asyncio.timeout(2 * ENDED_TIMEOUT_S):
            while self.fleet.entry.fleet_state.revision < store.revision:
                await asyncio.sleep(0.005)
        return time.monotonic() - began_s

    async def test_a_configuration_is_in_force_in_time(self) -> None:
        revoked = configuration_body(2, tenants=[{"name": "lab", "api_keys": ["another"]}])
        took_s = await self.write_and_pause("op/config", revoked | {"routes": ROUTES})
        bounds = self.fleet.entry.settings.bounds
        self.assertLess(took_s, bounds.configuration_in_force_s)
        self.assertEqual(401, (await self.fleet.call("/reports/x")).code)
        self.assertEqual(0, self.unready)

    async def test_requests_are_served_while_the_store_is_silent(self) -> None:
        ends_at_s = self.store.pause(1.5)
        while time.monotonic() < ends_at_s + BUSY_MARGIN_S:
            self.assertEqual(200, (await self.fleet.call("/reports/x")).code)
        self.assertEqual(0, self.unready)

    async def test_the_entry_stays_ready_after_a_watch_that_ends_in_a_silence(self) -> None:
        """Guards against refusing every key after a silence at the end of a watch."""
        store = self.store.standin
        calls = store.calls
        async with asyncio.timeout(2 * ENDED_TIMEOUT_S):
            while store.calls == calls:
                await asyncio.sleep(0.005)
        await asyncio.sleep(1.7)
        ends_at_s = self.store.pause(1.5)
        await asyncio.sleep(ends_at_s + 2.5 - time.monotonic())
        self.assertEqual(0, self.unready)

    async def test_a_version_counts_from_its_naming(self) -> None:
        """Guards against counting the time limit of a version from the end of a silence."""
        named_at_s = boot_time_s()
        await self.write_and_pause(f"op/version/{MODEL}", {"model": MODEL, "version": 2})
        (wanted,) = self.fleet.entry.fleet_state.versions[MODEL]
        self.assertLess(wanted.earliest_named_at_s - named_at_s, START_MARGIN_S)
