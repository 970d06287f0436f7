"""Tests of the weights on which requests start to run at engines that are slow to start them."""

import asyncio
import time
import unittest
from typing import Any

from gypsumpier.gateway.application import SEND_MARGIN_S
from gypsumpier.test.builders_platform import ENGINES, MODEL
from gypsumpier.test.gatewayfleet import GatewayFleet
from misc.faulting.tcp_proxy import TcpProxy

IN_FORCE_S = 2.6
"""Time limit for a version to be in force."""
SENT_S = IN_FORCE_S - SEND_MARGIN_S - 0.1
"""Seconds after the naming of a version at which the request is sent: shortly before the last
moment at which that is allowed."""


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
        proxy = TcpProxy(self.engine.port)
        await proxy.start()
        self.addCleanup(proxy.stop)
        proxy.delay_s = 1.4
        self.engine.queued_s = 0.1
        self.engine.port = proxy.port
        self.fleet.write_record("i-1", ENGINES)
        answer, limit_s = await self.call_after_naming()
        await asyncio.sleep(max(0.0, limit_s + 1.5 - time.monotonic()))
        self.assertEqual([], [run for run in self.engine.runs if run.at_s > limit_s])
        self.assertEqual(502, answer.code)

    async def test_a_request_that_an_engine_has_started_is_not_cut_when_its_weights_fall_due(
        self,
    ) -> None:
        """Guards against withdrawing requests that started in time."""
        self.engine.queued_s = 0.1
        self.engine.event_pause_s = 0.5
        answer, limit_s = await self.call_after_naming()
        self.assertGreater(time.monotonic(), limit_s)
        self.assertEqual((200, 1), (answer.code, len(self.engine.runs)))
