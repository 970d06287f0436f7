"""End-to-end tests of an entry while zones are evacuated, with a stand-in of the store."""

import asyncio
import json
import time
import unittest
from typing import Final
from unittest import mock

from tornado.httpclient import HTTPResponse

from gypsumpier.fleet.node import Address
from gypsumpier.fleet.upstream import LoadedLayers
from gypsumpier.mesh.mesh import SIDECAR
from gypsumpier.mesh.peer import Peer
from gypsumpier.test.builders_platform import ENGINES, LAYERS, MODEL, PLAIN, ZONE
from gypsumpier.test.gatewayfleet import GatewayFleet
from gypsumpier.upstream.enginestate import EngineState
from gypsumpier.upstream.http import UpstreamStream

OTHER_ZONE: Final = "nam-a"
EVACUATED_S: Final = 5.0
"""Seconds after the store's acknowledgement from which no request may reach the zone."""


def status_and_name(answer: HTTPResponse) -> tuple[int, str]:
    """Return the status and the name of the code of a refusal."""
    return answer.code, json.loads(answer.body)["name"]


class EvacuatedRequestsTest(unittest.IsolatedAsyncioTestCase):
    """One entry, with a plain upstream and an engine in each of two zones."""

    async def asyncSetUp(self) -> None:
        self.fleet = GatewayFleet()
        self.fleet.configure()
        self.near = self.fleet.add("i-1", PLAIN)
        self.far = self.fleet.add("i-2", PLAIN, zone=OTHER_ZONE)
        self.near_engine = self.fleet.add("i-3", ENGINES)
        self.far_engine = self.fleet.add("i-4", ENGINES, zone=OTHER_ZONE)
        await self.fleet.start()
        await self.fleet.settle()
        self.addAsyncCleanup(self.fleet.stop)

    async def evacuate(self, *zones: str) -> None:
        """Evacuate the zones, and wait until the entry knows."""
        for zone in zones:
            self.fleet.store.put(f"op/evacuate/{zone}", {})
        await self.fleet.settle()

    async def test_requests_go_to_the_other_zone_and_back_after_the_end(self) -> None:
        await self.evacuate(ZONE)
        for number in range(5):
            self.assertEqual(200, (await self.fleet.call("/commands/x", f"r-{number}")).code)
        self.assertEqual((0, 5), (len(self.near.run_ids), len(self.far.run_ids)))
        self.fleet.store.remove(f"op/evacuate/{ZONE}")
        await self.fleet.settle()
        self.assertEqual(200, (await self.fleet.call("/commands/x", "r-9")).code)
        self.assertEqual(["r-9"], self.near.run_ids)

    # Guards against an entry that the balancer takes out although another service is served.
    async def test_all_zones_evacuated_are_refused_at_once_by_an_entry_that_is_ready(self) -> None:
        await self.evacuate(ZONE, OTHER_ZONE)
        began_s = time.monotonic()
        for path in ("/commands/x", "/reports/x"):
            answer = await self.fleet.call(path)
            self.assertEqual((503, "zone_evacuated"), status_and_name(answer))
            self.assertGreater(float(answer.headers["Retry-After"]), 0.0)
        self.assertLess(time.monotonic() - began_s, 0.5)
        self.assertTrue(self.fleet.entry.is_ready())
        self.assertFalse(self.all_runs())

    def all_runs(self) -> list[str]:
        """Return the requests that ran anywhere."""
        upstreams = self.fleet.upstreams.values()
        return [request_id for upstream in upstreams for request_id in upstream.run_ids]

    # Guards against a request that is written to a zone evacuated while its connection was opened.
    async def test_a_request_whose_connection_is_being_opened_goes_elsewhere(self) -> None:
        pool = self.fleet.entry.pool
        connect = pool.connect

        async def connect_slowly(address: Address) -> UpstreamStream:
            stream = await connect(address)
            if not self.fleet.entry.fleet_state.evacuations.zones:
                await self.evacuate(ZONE)
            return stream

        with mock.patch.object(pool, "connect", connect_slowly):
            answer = await self.fleet.call("/commands/x")
        self.assertEqual(200, answer.code)
        self.assertEqual(([], ["r1"]), (self.near.received_headers, self.far.run_ids))

    # Guards against the same for the last zone: no copy has run, and the caller is told so.
    async def test_one_whose_last_zone_is_evacuated_meanwhile_is_refused_at_once(self) -> None:
        pool = self.fleet.entry.pool
        connect = pool.connect

        async def connect_slowly(address: Address) -> UpstreamStream:
            stream = await connect(address)
            await self.evacuate(ZONE, OTHER_ZONE)
            return stream

        with mock.patch.object(pool, "connect", connect_slowly):
            answer = await self.fleet.call("/commands/x")
        self.assertEqual((503, "zone_evacuated"), status_and_name(answer))
        self.assertFalse(self.all_runs())

    # Guards against a repeat that goes back to the zone, and a stream that is cut although its
    # route allows a repeat.
    async def test_running_streams_go_on_and_repeats_go_elsewhere(self) -> None:
        for action, expected in (("ok", self.near_engine), ("cut", self.far_engine)):
            with self.subTest(action):
                for engine in (self.near_engine, self.far_engine):
                    engine.run_ids.clear()
                    engine.event_pause_s = 0.1
                self.near_engine.plan = [action]
                call = asyncio.create_task(self.fleet.call("/reports/x", f"r-{action}"))
                while not self.near_engine.run_ids:
                    await asyncio.sleep(0.005)
                await self.evacuate(ZONE)
                answer = await call
                self.assertEqual(200, answer.code)
                self.assertEqual(5, answer.body.count(b"data:"))
                self.assertEqual(1, len(self.near_engine.run_ids))
                self.assertEqual([f"r-{action}"], expected.run_ids)
                self.fleet.store.remove(f"op/evacuate/{ZONE}")
                await self.fleet.settle()

    # Guards against weights that are drawn from the origin anew as their holders are evacuated.
    async def test_sidecars_of_an_evacuated_zone_still_pass_pieces_on(self) -> None:
        entry = self.fleet.entry
        layers = (LoadedLayers(MODEL, 1, 0, LAYERS),)
        state = EngineState(self.near_engine.address, "run", 1, False, 0, 0, 1.0, layers)
        entry.selector.record_engine_state(state)
        sidecar = Peer("side-1", SIDECAR, ZONE, "bac", "127.0.0.1", 0, "run")
        with mock.patch.object(entry.mesh, "peers", lambda role, zone="": [sidecar]):
            self.assertEqual([sidecar], entry.piece_holders(MODEL, 1))
            await self.evacuate(ZONE)
            self.assertEqual([sidecar], entry.piece_holders(MODEL, 1))

    # Guards against a promise that a request has not run, which nobody can give.
    async def test_one_that_may_have_run_is_not_told_that_it_has_not(self) -> None:
        self.near.plan = ["cut"]

        async def evacuate_as_it_runs() -> None:
            while not self.near.run_ids:
                await asyncio.sleep(0.001)
            await self.evacuate(ZONE, OTHER_ZONE)

        evacuating = asyncio.create_task(evacuate_as_it_runs())
        answer = await self.fleet.call("/commands/x")
        await evacuating
        self.assertEqual(502, answer.code)
        self.assertEqual(["r1"], self.all_runs())

    # Guards against a zone that is used for longer than the bound as the watch hears of nothing.
    async def test_a_key_acknowledged_while_the_watch_is_silent_is_known_in_time(self) -> None:
        while self.fleet.store.watches == 0:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        self.fleet.store.silence_watches()
        acknowledged_s = time.monotonic()
        await self.evacuate(ZONE)
        self.assertLess(time.monotonic() - acknowledged_s, EVACUATED_S)
        self.assertEqual({ZONE}, set(self.fleet.entry.fleet_state.evacuations.zones))

    # Guards against an evacuation that ends as the store can't be reached.
    async def test_it_lasts_while_the_store_is_down(self) -> None:
        await self.evacuate(ZONE)
        self.fleet.store.leave()
        await asyncio.sleep(1.5)
        self.assertEqual(200, (await self.fleet.call("/commands/x")).code)
        self.assertEqual([], self.near.run_ids)
        self.fleet.store.down = False
