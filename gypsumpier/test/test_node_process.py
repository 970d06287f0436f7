"""Tests of the daemon as a process on the platform: settings, readiness, reload, metrics, stop."""

import asyncio
import json
import signal
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from tornado.simple_httpclient import SimpleAsyncHTTPClient

from gypsumpier.test.builders_platform import (
    ENGINES,
    configuration_body,
    engine_body,
    settings_body,
)
from gypsumpier.test.gatewayfleet import free_port
from gypsumpier.test.standin.platform import PlatformStandin, UpstreamStandin

EXIT_SETTINGS = 2
TIMEOUT_S = 12.0


class NodeProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "node.json"
        self.log_path = Path(folder.name) / "log"
        self.store = PlatformStandin()
        self.ready_port, self.metrics_port = free_port(), free_port()
        self.body = settings_body(
            listen={
                "front": f"127.0.0.1:{free_port()}",
                "ready": f"127.0.0.1:{self.ready_port}",
                "control": f"127.0.0.1:{free_port()}",
            },
            seeds=[],
            provider={"address": f"127.0.0.1:{self.store.port}"},
        )
        self.client = SimpleAsyncHTTPClient(force_instance=True)
        self.process: asyncio.subprocess.Process | None = None

    async def asyncTearDown(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.client.close()
        self.store.wake_watches()
        self.store.server.stop()

    async def start(self) -> asyncio.subprocess.Process:
        """Write the settings and start an entry."""
        self.path.write_text(json.dumps(self.body))
        with self.log_path.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "gypsumpier.daemon",
                *("--role", "entry", "--node-file", str(self.path)),
                *("--administration-port", str(self.metrics_port)),
                stdout=log,
                stderr=asyncio.subprocess.PIPE,
            )
        return self.process

    async def status(self) -> int:
        """Return the HTTP status of the readiness port; 599 while the process does not answer."""
        url = f"http://127.0.0.1:{self.ready_port}/any"
        try:
            return (await self.client.fetch(url, raise_error=False)).code
        except OSError:
            return 599

    async def until_status(self, wanted: int) -> None:
        """Wait until the readiness port answers with the status."""
        async with asyncio.timeout(TIMEOUT_S):
            while await self.status() != wanted:
                await asyncio.sleep(0.05)

    def lines(self) -> list[dict[str, Any]]:
        """Return the log lines, each of which is a JSON object."""
        return [json.loads(line) for line in self.log_path.read_text().splitlines()]

    async def until_logged(self, event: str) -> None:
        """Wait until an event has been logged."""
        async with asyncio.timeout(TIMEOUT_S):
            while event not in [line["event"] for line in self.lines()]:
                await asyncio.sleep(0.05)

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
