"""One process that a driver started: its bound ports, its log and its exit."""

import asyncio
import ctypes
import json
import signal
import sys
from pathlib import Path
from typing import Final

LISTENING: Final = "listening "
START_TIMEOUT_S: Final = 60.0
LOG_TAIL_LINES: Final = 5
PR_SET_PDEATHSIG: Final = 1


class ChildError(Exception):
    """A process ended before it was ready, or wasn't ready in time."""


class Child:
    """A process with the ports that its ``listening`` line reports.

    Its standard error goes to ``log_path``.  If the driver itself dies, the kernel kills the
    process (on Linux), so that a crash of the driver leaves none behind.
    """

    def __init__(self, name: str, process: asyncio.subprocess.Process, log_path: Path) -> None:
        self.name = name
        self.process = process
        self.log_path = log_path
        self.ports: dict[str, int] = {}
        self.ready = asyncio.Event()
        self.reader = asyncio.create_task(self.read_output())

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    @property
    def port(self) -> int:
        """The port of a stand-in, which has only one."""
        return self.ports["port"]

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.process.returncode is None

    async def wait_ready(self) -> None:
        """Wait for the ``listening`` line; raise ChildError after START_TIMEOUT_S or an exit."""
        ready = asyncio.create_task(self.ready.wait())
        done, _ = await asyncio.wait(
            {ready, self.reader}, timeout=START_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED
        )
        if ready not in done:
            ready.cancel()
            raise ChildError(f"{self.name} is not ready: {self.log_tail()}")

    async def read_output(self) -> None:
        """Read standard output to its end, so that the process never blocks on a full pipe."""
        assert self.process.stdout is not None
        async for line in self.process.stdout:
            text = line.decode(errors="replace")
            if text.startswith(LISTENING):
                ports = json.loads(text.removeprefix(LISTENING))
                self.ports = ports if isinstance(ports, dict) else {"port": ports}
                self.ready.set()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has ended."""
        if self.running:
            self.process.send_signal(number)

    async def wait(self, timeout_s: float) -> int | None:
        """Return the exit status, or None if the process is still running after the time-out."""
        try:
            return await asyncio.wait_for(self.process.wait(), timeout_s)
        except TimeoutError:
            return None

    def log_tail(self) -> str:
        """Return the last lines of the log."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return " | ".join(lines[-LOG_TAIL_LINES:])


async def start_child(name: str, module: str, arguments: list[str], directory: Path) -> Child:
    """Start ``python -m module`` with the arguments; does not wait until it is ready."""
    log_path = directory / (name.replace("/", "_") + ".log")
    with log_path.open("ab") as log_file:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=log_file,
            preexec_fn=end_with_parent,
        )
    return Child(name, process, log_path)


def end_with_parent() -> None:
    """Ask the kernel to kill this process when its parent dies; supported on Linux only."""
    if sys.platform == "linux":
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
