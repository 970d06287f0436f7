"""One engine that may carry out calls late, its sidecar as a process, and an entry in the test."""

import asyncio
import random
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

from gypsumpier.test.builders_platform import (
    ENGINES,
    LAYERS,
    MODEL,
    ZONE,
    engine_service_body,
    settings_body,
)
from gypsumpier.test.gatewayfleet import GatewayFleet
from gypsumpier.test.standin.platformengine import EngineStandin
from misc.soaking.node import Node

PIECES: Final = 8
PIECE_BYTES: Final = 512
VERSION_MS: Final = 2000
"""Time limit for a version to be in force, which makes the sidecar switch within two seconds."""
STEP_TIMEOUT_S: Final = 12.0
POLL_S: Final = 0.005
LOG_TAIL_LINES: Final = 25


class LateOrderFleet:
    """A store, an origin, an entry, and an engine that holds version 1 beside a sidecar process."""

    def __init__(self, directory: Path) -> None:
        self.gateway = GatewayFleet()
        origin = self.gateway.origin
        origin.pieces, origin.piece_bytes = PIECES, PIECE_BYTES
        self.engine = EngineStandin("i-1", MODEL, LAYERS, origin)
        self.engine.version, self.engine.staged = 1, self.pieces(1)
        self.engine.on_change = self.write_record
        self.gateway.upstreams["i-1"] = self.engine
        control = self.gateway.settings.stream_address
        body = settings_body(
            node="side-bac-a-1",
            listen={},
            seeds=[str(control)],
            provider={"address": f"127.0.0.1:{self.gateway.store.port}"},
            app=self.engine.address,
            service=ENGINES,
        )
        body["bounds"] |= {"version_ms": VERSION_MS}
        self.side = Node("agent", body, directory)

    async def start(self) -> None:
        """Start the entry; the sidecar is started by the test."""
        services = [
            engine_service_body(PIECES),
            {
                "name": "origin",
                "origin": f"127.0.0.1:{self.gateway.origin.port}",
                "zone": ZONE,
                "link_mbps": 9.9,
            },
        ]
        self.gateway.configure(services=services, routes=[])
        self.write_record()
        await self.gateway.start()

    async def stop(self) -> None:
        """Kill the sidecar and stop the rest."""
        await self.side.kill()
        await self.gateway.stop()

    def write_record(self) -> None:
        """Write the engine's record."""
        fields = {"models": [], "layers": {"from": 0, "to": 0, "version": 0}} | self.engine.body()
        self.gateway.write_record("i-1", ENGINES, **fields)

    def name(self, version: int) -> None:
        """Name a version of the weights."""
        self.gateway.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": version})

    def pieces(self, version: int) -> dict[int, bytes]:
        """Return the pieces of a version."""
        return {number: self.gateway.origin.piece(version, number) for number in range(PIECES)}

    def staged_count(self, version: int) -> int:
        """Return how many of the staged pieces are those of a version."""
        wanted = self.pieces(version)
        return sum(self.engine.staged.get(number) == wanted[number] for number in wanted)

    def spoil(self, number: int) -> None:
        """Let a staged piece turn bad."""
        self.engine.staged[number] = bytes(PIECE_BYTES)

    def ordered(self, version: int) -> int:
        """Return how many orders for a version have arrived."""
        return sum(int(order["version"]) == version for order in self.engine.received_orders)

    def is_known(self, version: int) -> bool:
        """Return whether the sidecar has logged that a version is wanted."""
        lines = self.side.log_path.read_text().splitlines()
        wanted = f'"event": "version_wanted", "model": "{MODEL}", "version": {version},'
        return any(wanted in line for line in lines)

    def is_settled(self, version: int) -> bool:
        """Return whether the engine holds the version and no call is on its way."""
        engine = self.engine
        return engine.version == version and not (engine.is_busy or engine.late_calls.waiting)

    async def until(self, condition: Callable[[], bool], what: str) -> None:
        """Wait until a condition holds; raise AssertionError where it doesn't in time."""
        until_s = time.monotonic() + STEP_TIMEOUT_S
        while not condition():
            if time.monotonic() > until_s:
                raise AssertionError(f"not {what}: {self.summary()}")
            await asyncio.sleep(POLL_S)

    async def release_when(self, condition: Callable[[], bool]) -> None:
        """Carry out the first late call as soon as a condition holds, or when its time is up."""
        waiting = self.engine.late_calls.waiting
        if not waiting:
            return
        release = waiting[0]
        await self.until(lambda: condition() or release not in waiting, "released")
        release.set()
        await self.until(lambda: release not in waiting, "carried out")

    async def stand_still(self, seconds: float) -> None:
        """Stop the sidecar for so many seconds."""
        self.side.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.side.send(signal.SIGCONT)

    async def start_again(self) -> None:
        """Kill the sidecar and start it again."""
        await self.side.kill()
        await self.side.start()

    async def play(self, rng: random.Random, step_count: int) -> int:
        """Name versions between late orders, kills and stops; return the newest version."""
        newest = 2
        self.name(newest)
        await self.side.start()
        for _ in range(step_count):
            self.engine.late_calls.late_s = rng.uniform(2.2, 5.0)
            self.engine.late_orders = rng.choice((0, 1, 1, 2))
            await asyncio.sleep(rng.uniform(0.3, 2.5))
            step = rng.choice(("name", "name", "name", "kill", "stop"))
            if step == "name":
                newest += 1
                self.name(newest)
            elif step == "kill":
                await self.start_again()
            else:
                await self.stand_still(rng.uniform(0.5, 3.0))
        self.engine.late_orders = 0
        return newest

    def summary(self) -> str:
        """Return what became of the orders, and the end of the sidecar's log."""
        engine = self.engine
        lines = self.side.log_path.read_text().splitlines()[-LOG_TAIL_LINES:]
        counts = [self.staged_count(version) for version in range(1, 1 + max([1, *engine.loads]))]
        return "\n".join(
            [
                f"orders {engine.received_orders}, loads {engine.loads}, holds {engine.version},",
                f"partial loads {engine.partial_loads}, staged by version {counts}",
                *lines,
            ]
        )
