"""Tests of the weights on which requests start to run at engines that are slow to start them."""

import asyncio
import time
import unittest
from typing import Any
from unittest import mock

from gypsumpier.gateway import sender
from gypsumpier.gateway.application import SEND_MARGIN_S
from gypsumpier.test.builders_platform import ENGINES, MODEL, route_body
from gypsumpier.test.gatewayfleet import GatewayFleet
from gypsumpier.upstream.peerloads import Load
from gypsumpier.upstream.selector import PEER_LOAD_MAX_AGE_S
from misc.faulting.tcp_proxy import TcpProxy

IN_FORCE_S = 2.6
"""Time limit for a version to be in force."""
SENT_S = IN_FORCE_S - SEND_MARGIN_S - 0.3
"""Seconds after the naming of a version at which the request is sent: shortly before the last
moment at which that is allowed, with time for a busy machine."""
FULL = 17
"""Requests in flight from which an engine of 16 slots takes no more."""
ABANDONED_S = 2.4
"""Seconds after which a caller is taken to abandon a stream that has sent no event."""


class VersionStartTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = GatewayFleet()
        entry = self.fleet.entry
        bounds = entry.settings.bounds._replace(version_in_force_s=IN_FORCE_S)
        entry.settings = entry.settings._replace(bounds=bounds)
        self.fleet.configure()
        self.engine = self.fleet.add("i-1", ENGINES)
        self.engine.plan = ["queued"]
        await self.fleet.start()
        await self.fleet.settle()

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    async def delay_way_to_engine(self, seconds: float) -> None:
        """Delay what is sent to the engine, closes included."""
        proxy = TcpProxy(self.engine.port)
        await proxy.start()
        self.addCleanup(proxy.stop)
        proxy.delay_s = seconds
        self.engine.port = proxy.port
        self.fleet.write_record("i-1", ENGINES)

    async def call_after_naming(self) -> tuple[Any, float]:
        """Name a version and send a request; return its answer and the time limit of the version.

        The engine keeps older weights.
        """
        self.fleet.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 2})
        named_at_s = time.monotonic()
        await self.fleet.settle()
        await asyncio.sleep(named_at_s + SENT_S - time.monotonic())
        return await self.fleet.call("/reports/x"), named_at_s + IN_FORCE_S

    async def test_a_request_queued_by_an_engine_never_starts_on_weights_past_their_limit(
        self,
    ) -> None:
        """Guards against judging weights by the time of sending, not by the time of the start."""
        self.engine.queued_s = IN_FORCE_S
        answer, limit_s = await self.call_after_naming()
        self.assertEqual([], [run for run in self.engine.runs if run.at_s > limit_s])
        self.assertEqual(502, answer.code)

    async def test_a_request_delayed_on_its_way_never_starts_on_weights_past_their_limit(
        self,
    ) -> None:
        """Guards against the same on a slow link, which delays a close as long as the request."""
        await self.delay_way_to_engine(1.6)
        self.engine.queued_s = 0.1
        answer, limit_s = await self.call_after_naming()
        await asyncio.sleep(max(0.0, limit_s + 1.5 - time.monotonic()))
        self.assertEqual([], [run for run in self.engine.runs if run.at_s > limit_s])
        self.assertEqual(502, answer.code)

    async def test_a_withdrawn_request_leaves_a_slow_engine_before_the_limit(self) -> None:
        """Guards against withdrawing so late that the close reaches the engine past the limit."""
        await self.delay_way_to_engine(0.8)
        # Started 0.1 s past the limit if it is not withdrawn.
        self.engine.queued_s = IN_FORCE_S + 0.1 - SENT_S - 0.8
        _, limit_s = await self.call_after_naming()
        await asyncio.sleep(max(0.0, limit_s + 1.0 - time.monotonic()))
        self.assertEqual([], [run for run in self.engine.runs if run.at_s > limit_s])

    async def test_a_withdrawn_request_runs_once_at_an_engine_with_the_due_version(self) -> None:
        """Guards against losing a request that may be repeated, and against a second repeat."""
        self.engine.queued_s = IN_FORCE_S
        other = self.fleet.add("i-2", ENGINES, version=2)
        # A silent engine would be abandoned at about the same time.
        for patched in (
            mock.patch.object(other, "loaded_version", lambda: 2),
            mock.patch.object(sender, "STREAM_SILENCE_S", IN_FORCE_S),
        ):
            patched.start()
            self.addCleanup(patched.stop)
        answer, _ = await self.call_after_naming()
        self.assertEqual((200, 1), (answer.code, len(other.runs)))
        self.assertEqual((1, []), (len(self.engine.received_headers), self.engine.runs))
        self.assertEqual({}, self.fleet.entry.selector.health.health_by_run)

    # Guards against a 502 in place of an answer, as the other engine is full for a while.
    async def test_a_withdrawn_request_waits_until_the_other_engine_has_room(self) -> None:
        self.engine.queued_s = IN_FORCE_S
        other = self.fleet.add("i-2", ENGINES, version=2)
        patched = mock.patch.object(other, "loaded_version", lambda: 2)
        patched.start()
        self.addCleanup(patched.stop)
        selector = self.fleet.entry.selector
        # The report is dropped by its age, later than a caller is taken to leave.
        full_until_s = SENT_S + ABANDONED_S + 0.2
        age_s = PEER_LOAD_MAX_AGE_S - full_until_s
        selector.record_peer_loads("front-nam-a-9", {"i-2": Load(FULL, 0)}, age_s=age_s)
        answer, _ = await self.call_after_naming()
        self.assertEqual((200, 1), (answer.code, len(other.runs)))
        self.assertEqual((1, []), (len(self.engine.received_headers), self.engine.runs))

    async def test_a_withdrawn_request_is_not_repeated_where_its_route_forbids_it(self) -> None:
        """Guards against a second run of a request that may have run."""
        self.engine.queued_s = IN_FORCE_S
        self.fleet.configure(2, routes=[route_body(resumable=False)])
        await self.fleet.settle()
        other = self.fleet.add("i-2", ENGINES, version=2)
        answer, _ = await self.call_after_naming()
        self.assertEqual((502, []), (answer.code, other.runs))
        self.assertEqual((1, []), (len(self.engine.received_headers), self.engine.runs))

    async def test_a_request_that_an_engine_has_started_is_not_cut_when_its_weights_fall_due(
        self,
    ) -> None:
        """Guards against withdrawing requests that started in time."""
        self.engine.queued_s = 0.1
        self.engine.event_pause_s = 0.5
        answer, limit_s = await self.call_after_naming()
        self.assertGreater(time.monotonic(), limit_s)
        self.assertEqual((200, 1), (answer.code, len(self.engine.runs)))
