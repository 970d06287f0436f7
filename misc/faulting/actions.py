"""The faults, each injected and reverted by one coroutine.

Each coroutine has the name of its fault as the output gives it; a cable in such a name is the
``TcpProxy`` through which entries reach an agent.
"""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

from misc.faulting.faulttestbed import FaultTestbed
from misc.http import get_json
from misc.testbed import local_url

WINDOW_TAIL_S: Final = 0.5
"""Seconds that a window stays open after a replacement or cut, while its effects end."""
LEAVING_GRACE_S: Final = 3.0
"""Seconds after which an agent listed as leaving must get no more requests."""
LEAVING_WATCH_S: Final = 2.0
"""Seconds for which requests to a leaving agent's upstream are counted as violations."""


@dataclass
class Window:
    """The period in which a fault was in effect; ``graceful`` faults must not cut any request.

    Times are monotonic seconds.
    """

    name: str
    target: str
    graceful: bool
    began_at_s: float
    ended_at_s: float = float("inf")


class Faults:
    """Injects faults into the deployment."""

    def __init__(self, testbed: FaultTestbed, rng: random.Random) -> None:
        self.testbed = testbed
        self.rng = rng
        self.windows: list[Window] = []
        self.work_after_leaving = 0
        self.busy: set[str] = set()

    def abrupt(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the faults that may leave outcomes unknown; a repeated one is likelier."""
        return [
            self.kill_agent,
            self.kill_agent,
            self.kill_entry,
            self.kill_engine,
            self.pause_agent,
            self.pause_entry,
            self.pause_upstream,
            self.cut_cable,
            self.silence_cable,
            self.silence_cable,
            self.empty_list,
            self.stale_list,
            self.lose_platform,
        ]

    def graceful(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the planned stops."""
        return [self.stop_agent, self.stop_entry, self.leave]

    async def kill_agent(self) -> None:
        async with ActiveFault(self, "kill_agent", self.choose_agent()) as name:
            await self.testbed.fleet.kill(name)
            await asyncio.sleep(self.rng.choice([0.2, 2.0]))
            await self.testbed.replace_agent(name)
            await asyncio.sleep(WINDOW_TAIL_S)

    async def kill_entry(self) -> None:
        async with ActiveFault(self, "kill_entry", self.choose_entry()) as name:
            await self.testbed.fleet.kill(name)
            await asyncio.sleep(self.rng.choice([0.2, 2.0]))
            await self.testbed.replace_entry(name)

    async def kill_engine(self) -> None:
        engines = [slot.name for slot in self.testbed.slots.values() if slot.kind == "model"]
        # Two concurrent faults on one engine would start it while it is still running.
        free = [name for name in engines if name not in self.busy]
        if not free:
            return
        async with ActiveFault(self, "kill_engine", self.rng.choice(free)) as name:
            await self.testbed.fleet.kill(f"upstream/{name}")
            await asyncio.sleep(0.5)
            await self.testbed.replace_engine(self.testbed.slots[name])

    async def pause_agent(self) -> None:
        async with ActiveFault(self, "pause_agent", self.choose_agent()) as name:
            await self.pause(name)

    async def pause_entry(self) -> None:
        async with ActiveFault(self, "pause_entry", self.choose_entry()) as name:
            await self.pause(name)

    async def pause_upstream(self) -> None:
        async with ActiveFault(self, "pause_upstream", self.choose_agent()) as name:
            await self.pause(f"upstream/{name}")

    async def pause(self, name: str) -> None:
        self.testbed.fleet.freeze(name)
        await asyncio.sleep(self.rng.choice([0.5, 2.0, 5.0]))
        self.testbed.fleet.thaw(name)

    async def cut_cable(self) -> None:
        async with ActiveFault(self, "cut_cable", self.choose_agent()) as name:
            self.testbed.proxies[name].cut()
            await asyncio.sleep(WINDOW_TAIL_S)

    async def silence_cable(self) -> None:
        async with ActiveFault(self, "silence_cable", self.choose_agent()) as name:
            self.testbed.proxies[name].drop_traffic()
            await asyncio.sleep(4.0)

    async def empty_list(self) -> None:
        async with ActiveFault(self, "empty_list", "membership"):
            await self.testbed.control("membership", "empty", on=True)
            await asyncio.sleep(4.0)
            await self.testbed.control("membership", "empty", on=False)

    async def stale_list(self) -> None:
        async with ActiveFault(self, "stale_list", "membership"):
            await self.testbed.control("membership", "lag", lag_s=6.0)
            await asyncio.sleep(5.0)
            await self.testbed.control("membership", "lag", lag_s=0.0)

    async def lose_platform(self) -> None:
        async with ActiveFault(self, "lose_platform", "membership"):
            for platform in ("membership", "configuration"):
                await self.testbed.control(platform, "down", on=True)
            await asyncio.sleep(4.0)
            for platform in ("membership", "configuration"):
                await self.testbed.control(platform, "down", on=False)

    async def stop_agent(self) -> None:
        async with ActiveFault(self, "stop_agent", self.choose_agent(), graceful=True) as name:
            await self.testbed.fleet.stop(name, 30.0)
            await self.testbed.replace_agent(name)

    async def stop_entry(self) -> None:
        async with ActiveFault(self, "stop_entry", self.choose_entry(), graceful=True) as name:
            await self.testbed.fleet.stop(name, 30.0)
            await self.testbed.replace_entry(name)

    async def leave(self) -> None:
        """List an agent as leaving, count the requests it still gets, then stop and replace it."""
        async with ActiveFault(self, "leave", self.choose_agent(), graceful=True) as name:
            await self.testbed.control("membership", "leaving", name=name, leaving=True)
            await asyncio.sleep(LEAVING_GRACE_S)
            before = await self.request_count(name)
            await asyncio.sleep(LEAVING_WATCH_S)
            self.work_after_leaving += await self.request_count(name) - before
            await self.testbed.fleet.stop(name, 30.0)
            await self.testbed.replace_agent(name)

    async def request_count(self, name: str) -> int:
        """Return how many requests the upstream has received."""
        counts = await get_json(f"{local_url(self.testbed.upstreams[name].port)}/control/counts")
        return int(counts["runs"] if "runs" in counts else counts["arrivals"])

    def choose_agent(self) -> str:
        """Return an agent that no fault targets; those of plain services are preferred."""
        agents = [name for name in sorted(self.testbed.slots) if name not in self.busy]
        plain = [name for name in agents if self.testbed.slots[name].kind == "plain"]
        return self.rng.choice(plain if plain and self.rng.random() < 0.6 else agents)

    def choose_entry(self) -> str:
        """Return an entry that no fault targets."""
        return self.rng.choice(sorted(set(self.testbed.entries) - self.busy))


class ActiveFault:
    """Reserves the target of a fault while it lasts and records its window."""

    def __init__(self, faults: Faults, name: str, target: str, graceful: bool = False) -> None:
        self.faults = faults
        self.window = Window(name, target, graceful, time.monotonic())

    async def __aenter__(self) -> str:
        self.faults.busy.add(self.window.target)
        self.window.began_at_s = time.monotonic()
        self.faults.windows.append(self.window)
        return self.window.target

    async def __aexit__(self, *exception: object) -> None:
        self.faults.busy.discard(self.window.target)
        self.window.ended_at_s = time.monotonic()
