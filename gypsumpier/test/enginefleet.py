"""Entries as processes before engines that may end under certain prompts, and their callers."""

import asyncio
import itertools
import tempfile
import time
import unittest
from collections import Counter
from functools import partial
from pathlib import Path
from typing import Final, NamedTuple

from gypsumpier.test.builders_platform import (
    ENGINES,
    KEY,
    MODEL,
    ZONE,
    configuration_body,
    engine_body,
    settings_body,
)
from gypsumpier.test.gatewayfleet import free_port
from gypsumpier.test.standin.crashingengine import Arrival, CrashingEngine
from gypsumpier.test.standin.platform import PlatformStandin
from misc.soaking.connection import CallerConnection
from misc.soaking.node import Node

ZONES: Final = (ZONE, "nam-a")
START_TIMEOUT_S: Final = 20.0
POLL_S: Final = 0.05
FIRST_PART: Final = "f1257000"
"""The part with which every prompt begins, fatal and sound ones alike."""
SUBJECTS: Final = 12
TIME_LIMIT_S: Final = 4.0
ENGINE_COUNT: Final = 6
EVENT_PAUSE_S: Final = 0.04
SLOTS: Final = 16


class Call(NamedTuple):
    """A caller's request to an entry and its end; times are monotonic seconds.

    ``retry_after_s`` is what the answer states; None if it states nothing.
    """

    request_id: str
    parts: tuple[str, ...]
    sent_at_s: float
    ended_at_s: float
    status: int
    entry: str
    retry_after_s: float | None


class EngineFleet:
    """A store, engines that end under prompts with a part in ``fatal_parts``, and entries.

    ``calls`` are the requests that have ended, in the order of their ends.
    """

    def __init__(self, directory: Path, entries: int) -> None:
        self.directory = directory
        self.store = PlatformStandin()
        self.fatal_parts: set[str] = set()
        self.engines = [
            CrashingEngine(f"i-{number}", self.fatal_parts) for number in range(ENGINE_COUNT)
        ]
        for engine in self.engines:
            engine.event_pause_s = EVENT_PAUSE_S
        self.nodes = self.build_nodes(entries)
        self.calls: list[Call] = []
        self.numbers = itertools.count()
        self.slots = SLOTS

    def build_nodes(self, count: int) -> list[Node]:
        """Return the entries, which are not started yet."""
        controls = [f"127.0.0.1:{free_port()}" for _ in range(count)]
        nodes = []
        for number, control in enumerate(controls):
            zone = ZONES[number % len(ZONES)]
            body = settings_body(
                node=f"front-{zone}-{number}",
                zone=zone,
                region=zone.split("-", maxsplit=1)[0],
                listen={
                    "front": f"127.0.0.1:{free_port()}",
                    "ready": f"127.0.0.1:{free_port()}",
                    "control": control,
                },
                port_range=[20000, 60000],
                seeds=controls[:3],
                provider={"address": f"127.0.0.1:{self.store.port}"},
            )
            nodes.append(Node("entry", body, self.directory))
        return nodes

    async def start(self) -> None:
        """Start everything and wait until every entry answers a sound request."""
        self.store.put("op/config", configuration_body())
        for engine in self.engines:
            self.write_record(engine)
            engine.on_start = partial(self.replace_record, engine)
        for node in self.nodes:
            await node.start()
        await asyncio.gather(*(self.until_served(node) for node in self.nodes))

    async def until_served(self, node: Node) -> None:
        """Wait until the entry answers a sound request."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while (await self.call(node, self.sound_parts())).status != 200:
                await asyncio.sleep(POLL_S)

    def write_slots(self, slots: int) -> None:
        """Write the records of all engines with so many slots."""
        self.slots = slots
        for engine in self.engines:
            self.write_record(engine)

    def write_record(self, engine: CrashingEngine) -> None:
        """Write the record of the engine's current start."""
        body = engine_body(
            slots=self.slots,
            address=engine.address,
            zone=ZONES[self.engines.index(engine) % len(ZONES)],
            service=ENGINES,
            born=1000 + engine.starts,
        )
        self.store.put(f"servers/{engine.name}-{engine.starts}", body)

    def replace_record(self, engine: CrashingEngine) -> None:
        """Write the record of a new start in place of the one before."""
        self.store.remove(f"servers/{engine.name}-{engine.starts - 1}")
        self.write_record(engine)

    def sound_parts(self) -> tuple[str, ...]:
        """Return the parts of a sound prompt: the first, a subject and one of its own."""
        number = next(self.numbers)
        return FIRST_PART, f"5{number % SUBJECTS:03x}", f"a{number:07x}"

    def fatal_prompt(self, part: str) -> tuple[str, ...]:
        """Return the parts of a prompt that is like no other but in the given part."""
        return FIRST_PART, part, f"b{next(self.numbers):07x}"

    async def call(self, node: Node, parts: tuple[str, ...]) -> Call:
        """Send one request to the entry and return how it ended."""
        request_id = f"r-{next(self.numbers)}"
        headers = {
            "Host": "lab.example",
            "X-Request-Id": request_id,
            "X-Key": KEY,
            "X-Model": MODEL,
            "X-Token-Counts": "100,30",
            "X-Prompt-Prefix": ",".join(f"{part}:30" for part in parts),
            "X-Deadline-Ms": str(int(TIME_LIMIT_S * 1000)),
        }
        sent_at_s = time.monotonic()
        front: str = node.body["listen"]["front"]
        connection = CallerConnection(int(front.rpartition(":")[2]))
        body = request_id.encode()
        answer = await connection.call("/reports/x", headers, body, TIME_LIMIT_S + 0.5)
        connection.close()
        stated = answer.headers.get("Retry-After")
        retry_after_s = None if stated is None else float(stated)
        call = Call(
            request_id,
            parts,
            sent_at_s,
            time.monotonic(),
            answer.status,
            node.name,
            retry_after_s,
        )
        self.calls.append(call)
        return call

    async def load(self, seconds: float, sound_per_s: float, fatal_per_s: float, part: str) -> None:
        """Send requests of both kinds to the running entries by turns, for so many seconds."""
        tasks = set()
        began_s = time.monotonic()
        sent = {"sound": 0, "fatal": 0}
        while (elapsed_s := time.monotonic() - began_s) < seconds:
            for kind, rate in (("sound", sound_per_s), ("fatal", fatal_per_s)):
                while sent[kind] < rate * elapsed_s:
                    sent[kind] += 1
                    running = [node for node in self.nodes if node.is_running()]
                    node = running[sum(sent.values()) % len(running)]
                    is_fatal = kind == "fatal"
                    parts = self.fatal_prompt(part) if is_fatal else self.sound_parts()
                    tasks.add(asyncio.create_task(self.call(node, parts)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)

    def arrivals(self, part: str) -> list[Arrival]:
        """Return the requests with the part that reached engines, in the order of time."""
        found = [
            arrival
            for engine in self.engines
            for arrival in engine.arrivals
            if part in arrival.parts
        ]
        return sorted(found, key=lambda arrival: arrival.at_s)

    def crashes_at_s(self) -> list[float]:
        """Return the monotonic times at which engines ended, in order."""
        return sorted(at_s for engine in self.engines for at_s in engine.crashed_at_s)

    def served_share(self, from_s: float, until_s: float) -> float:
        """Return the share of the sound requests of a time that was answered."""
        sound = [
            call.status == 200
            for call in self.calls
            if from_s <= call.sent_at_s < until_s and self.fatal_parts.isdisjoint(call.parts)
        ]
        return sum(sound) / max(1, len(sound))

    def ends_by_second(self, from_s: float) -> str:
        """Return the statuses of the calls sent since then, by second, to explain a failure."""
        seconds: dict[int, Counter[int]] = {}
        for call in self.calls:
            if call.sent_at_s >= from_s:
                seconds.setdefault(int(call.sent_at_s - from_s), Counter())[call.status] += 1
        return str({second: dict(found) for second, found in sorted(seconds.items())})

    async def stop(self) -> None:
        """Kill the entries and stop the stand-ins."""
        await asyncio.gather(*(node.kill() for node in self.nodes))
        self.store.wake_watches()
        self.store.server.stop()
        for engine in self.engines:
            engine.server.stop()


class EngineFleetCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with such a fleet, which has started."""

    entries = 4

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = EngineFleet(Path(folder.name), self.entries)
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start()
