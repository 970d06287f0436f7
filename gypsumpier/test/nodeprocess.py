"""One entry as a process on the platform, beside a stand-in of its store."""

import asyncio
import json
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any, Final

from tornado.simple_httpclient import SimpleAsyncHTTPClient

from gypsumpier.test.builders_platform import settings_body
from gypsumpier.test.gatewayfleet import free_port
from gypsumpier.test.standin.platform import PlatformStandin

TIMEOUT_S: Final = 12.0


class NodeProcessCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests that start an entry as a process."""

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
