"""Starts processes for demonstrations, tests and measurements, and stops all of them at the end.

::

    async with Fleet(directory) as fleet:
        store = await fleet.start_standin("store", "store", directory="weights")
        entry = await fleet.start_daemon("entry/bac-a/0", role="entry", zone="bac-a", ...)

Leaving the block, also by an error, stops all processes by their ids: with SIGTERM first, then
with SIGKILL those that are still running.
"""

import asyncio
import signal
from pathlib import Path
from types import TracebackType
from typing import Final

from misc.child import Child, start_child

STOP_TIMEOUT_S: Final = 10.0
STANDIN_PACKAGE: Final = "gypsumpier.test.standin"
DAEMON_MODULE: Final = "gypsumpier.daemon"

Flag = str | int | float | bool | Path


class Fleet:
    """The processes of one run, by name."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.children: dict[str, Child] = {}

    async def __aenter__(self) -> "Fleet":
        self.directory.mkdir(parents=True, exist_ok=True)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await asyncio.shield(self.stop_all())

    async def start_standin(self, kind: str, name: str, **flags: Flag) -> Child:
        """Start a stand-in and wait until it listens."""
        return await self.start(name, f"{STANDIN_PACKAGE}.{kind}", format_flags(flags))

    async def start_daemon(self, name: str, **settings: Flag) -> Child:
        """Start an entry or an agent and wait until it listens.

        The settings are named like the options.
        """
        return await self.start(name, DAEMON_MODULE, format_flags({"name": name, **settings}))

    async def start(self, name: str, module: str, arguments: list[str]) -> Child:
        """Start any module of the repository and wait until it listens.

        A name may be reused once its process has ended.
        """
        earlier = self.children.get(name)
        assert earlier is None or not earlier.running, f"{name} still runs"
        child = await start_child(name, module, arguments, self.directory)
        self.children[name] = child
        await child.wait_ready()
        return child

    async def run_to_end(self, name: str, module: str, arguments: list[str]) -> int:
        """Run a module that prints no port; return its exit status."""
        child = await start_child(name, module, arguments, self.directory)
        self.children[name] = child
        return await child.process.wait()

    async def stop(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Send SIGTERM; return the exit status, or None if the process outlives the timeout."""
        child = self.children[name]
        child.send(signal.SIGTERM)
        return await child.wait(timeout_s)

    async def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its end."""
        child = self.children[name]
        child.send(signal.SIGKILL)
        await child.process.wait()

    def freeze(self, name: str) -> None:
        """Pause a process with SIGSTOP."""
        self.children[name].send(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a paused process with SIGCONT."""
        self.children[name].send(signal.SIGCONT)

    async def stop_all(self) -> list[str]:
        """Stop all running processes; return the names of those that had to be killed."""
        running = [child for child in self.children.values() if child.running]
        for child in running:
            child.send(signal.SIGTERM)
            child.send(signal.SIGCONT)
        statuses = await asyncio.gather(*(child.wait(STOP_TIMEOUT_S) for child in running))
        killed = [child for child, status in zip(running, statuses, strict=True) if status is None]
        for child in killed:
            child.send(signal.SIGKILL)
        await asyncio.gather(*(child.process.wait() for child in killed))
        await asyncio.gather(*(child.reader for child in self.children.values()))
        return [child.name for child in killed]


def format_flags(flags: dict[str, Flag]) -> list[str]:
    """Return keyword arguments as flags; True gives a flag without a value, False none."""
    arguments: list[str] = []
    for name, value in flags.items():
        flag = "--" + name.replace("_", "-")
        if value is True:
            arguments.append(flag)
        elif value is not False:
            arguments += [flag, str(value)]
    return arguments
