"""One daemon that the soak test starts: its settings file, its log and its signals."""

import asyncio
import json
import signal
import sys
from pathlib import Path
from typing import Any, Final

from gypsumpier.test.gatewayfleet import free_port
from misc.child import end_with_parent

STOP_TIMEOUT_S: Final = 15.0
"""Seconds for a graceful stop, whose own bound is 8."""


class Node:
    """A process under a stable name; every start appends to the same log.

    ``run`` is how often it was started.
    """

    def __init__(self, role: str, body: dict[str, Any], directory: Path) -> None:
        self.name: str = body["node"]
        self.role = role
        self.body = body
        self.settings_path = directory / f"{self.name}.json"
        self.log_path = directory / f"{self.name}.log"
        self.settings_path.write_text(json.dumps(body))
        self.process: asyncio.subprocess.Process | None = None
        self.port = free_port()
        self.run = 0

    async def start(self) -> None:
        """Start the process; does not wait until it is ready."""
        assert not self.is_running(), f"{self.name} still runs"
        self.run += 1
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "gypsumpier.daemon", "--role", self.role),
                *("--node-file", str(self.settings_path), "--administration-port", str(self.port)),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=end_with_parent,
            )

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has ended."""
        if self.process is not None and self.is_running():
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process with SIGKILL and wait until it has ended."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def stop(self) -> bool:
        """Stop the process gracefully; return False where it timed out and was killed."""
        self.send(signal.SIGTERM)
        self.send(signal.SIGCONT)
        if self.process is None:
            return True
        try:
            await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            await self.kill()
            return False
        return True
