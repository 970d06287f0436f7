"""Tests of the daemon as a process on the platform: settings, readiness, reload, metrics, stop."""

import asyncio
import json
import signal

from gypsumpier.test.builders_platform import ENGINES, configuration_body, engine_body
from gypsumpier.test.nodeprocess import TIMEOUT_S, NodeProcessCase
from gypsumpier.test.standin.platform import UpstreamStandin

EXIT_SETTINGS = 2


class NodeProcessTest(NodeProcessCase):
    async def test_every_wrong_field_ends_the_start_with_its_code(self) -> None:
        self.body |= {"zone": 3, "provider": {}}
        process = await self.start()
        assert process.stderr is not None
        error_text = (await process.stderr.read()).decode()
        self.assertEqual(EXIT_SETTINGS, await process.wait())
        self.assertIn("8002 setting_malformed field of the settings file zone", error_text)
        self.assertIn(
            "8001 setting_missing field of the settings file provider.address", error_text
        )

    async def test_an_entry_is_ready_once_it_knows_enough_and_stops_on_a_signal(self) -> None:
        process = await self.start()
        await self.until_status(503)
        upstream = UpstreamStandin("i-1")
        self.addCleanup(upstream.server.stop)
        self.store.put("op/config", configuration_body())
        self.store.put("servers/i-1", engine_body(address=upstream.address, service=ENGINES))
        await self.until_status(200)
        metrics = await self.client.fetch(f"http://127.0.0.1:{self.metrics_port}/metrics")
        self.assertIn("gypsumpier_store_calls_total", metrics.body.decode())
        process.send_signal(signal.SIGTERM)
        await self.until_status(503)
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual(0, await process.wait())
        events = [line["event"] for line in self.lines()]
        for event in ("started", "configuration_in_force", "stopping", "drained", "stopped"):
            self.assertIn(event, events)
        self.assertEqual({"front-bac-a-1"}, {line["node"] for line in self.lines()})

    async def test_changed_settings_are_reloaded_with_and_without_a_signal(self) -> None:
        process = await self.start()
        await self.until_logged("started")
        self.path.write_text("{")
        process.send_signal(signal.SIGHUP)
        await self.until_logged("reload_failed")
        self.path.write_text(json.dumps(self.body | {"seeds": ["127.0.0.1:1"]}))
        await self.until_logged("reloaded")
        self.assertIsNone(process.returncode)

    async def test_a_store_that_does_not_answer_is_logged_once_and_again_when_it_is_back(
        self,
    ) -> None:
        self.store.down = True
        await self.start()
        await self.until_logged("dependency_lost")
        await asyncio.sleep(1.0)
        lost = [line for line in self.lines() if line["event"] == "dependency_lost"]
        self.assertEqual(1, len(lost))
        self.store.down = False
        await self.until_logged("dependency_regained")
