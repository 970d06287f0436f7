"""Requests of several kinds that compete for too few places, in virtual time."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Final, NamedTuple

from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.state import FleetState
from gypsumpier.gateway.refusal import Refusal
from gypsumpier.test.builders_gateway import request_of
from gypsumpier.test.builders_platform import (
    KEY,
    command_route_body,
    configuration_record,
    engine_record,
    fleet_state_of,
    route_body,
)
from gypsumpier.test.simulated_entries import SimulatedEntries
from gypsumpier.test.simulated_entry import SimulatedEntry

ZONES: Final = ("zone-0", "zone-1", "zone-2")
ENTRY_COUNT: Final = 35
SLOTS: Final = 12
SETTLE_S: Final = 0.1
LAST_ANSWERS_S: Final = 3.0


class Kind(NamedTuple):
    """A kind of request: its goal, priority, requests per second and size of the prompt."""

    name: str
    goal_s: float
    priority: int
    per_s: float
    prompt_tokens: int


SUMMARY: Final = Kind("summaries", 0.405, 0, 72.4, 1330)
DRAFT: Final = Kind("drafts", 0.404, 1, 87.2, 827)
DIGEST: Final = Kind("digests", 0.804, 2, 61.4, 647)
KINDS: Final = (SUMMARY, DRAFT, DIGEST)


def contested_state(engine_count: int, zone_count: int = 3, **digest_fields: float) -> FleetState:
    """Return a state with engines in some of the zones, and a workspace with a priority."""
    routes = [
        route_body(
            kind.name,
            prefix=f"/{kind.name}/",
            **{"goal_ms": 1000 * kind.goal_s, "priority": kind.priority}
            | (digest_fields if kind is DIGEST else {}),
        )
        for kind in KINDS
    ]
    engines = [
        engine_record(number, 1 + number, slots=SLOTS, zone=ZONES[number % zone_count])
        for number in range(1, engine_count + 1)
    ]
    configuration = configuration_record(
        routes=[*routes, command_route_body()],
        tenants=[{"name": "lab", "api_keys": [KEY], "priority": 1}],
    )
    return fleet_state_of(configuration, *engines)


class Served:
    """Times to the first event of requests of one kind; ``sent`` counts all of them."""

    def __init__(self, kind: Kind) -> None:
        self.kind = kind
        self.first_after_s: list[float] = []
        self.sent = 0

    def on_time_share(self) -> float:
        """Return the share of all requests whose first event came within the goal."""
        return sum(took_s <= self.kind.goal_s for took_s in self.first_after_s) / self.sent

    def served_share(self) -> float:
        """Return the share of all requests that had a first event."""
        return len(self.first_after_s) / self.sent


class Contest:
    """Sends requests of all kinds to random entries, and collects what becomes of them."""

    def __init__(self, seed: int, engine_count: int, zone_count: int) -> None:
        self.seed = seed
        self.fleet = SimulatedEntries(contested_state(engine_count, zone_count), ENTRY_COUNT, ZONES)
        self.served = {kind: Served(kind) for kind in KINDS}

    async def run(self, seconds: float, digest_burst: float) -> None:
        """Send for that time; in its middle half there are ``digest_burst`` times the digests."""
        await self.fleet.start()
        await asyncio.sleep(SETTLE_S)
        began_s = time.monotonic()

        def per_s(kind: Kind) -> float:
            is_burst = 0.25 < (time.monotonic() - began_s) / seconds < 0.75
            return kind.per_s * (digest_burst if kind is DIGEST and is_burst else 1.0)

        await asyncio.gather(*(self.send(kind, per_s, seconds) for kind in KINDS))
        await asyncio.sleep(LAST_ANSWERS_S)
        for entry in self.fleet.entries:
            for task in entry.tasks:
                task.cancel()

    async def send(self, kind: Kind, per_s: Callable[[Kind], float], seconds: float) -> None:
        """Send requests of one kind at random times, the same with each seed."""
        arrivals = random.Random(f"{self.seed} {kind.name}")
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            await asyncio.sleep(arrivals.expovariate(per_s(kind)))
            entry = arrivals.choice(self.fleet.entries)
            entry.tasks.append(asyncio.create_task(self.serve(entry, kind)))

    async def serve(self, entry: SimulatedEntry, kind: Kind) -> None:
        """Send one request, and record when its first event comes."""
        self.fleet.state.record_proof(boot_time_s())
        target, tokens = f"/{kind.name}/1", kind.prompt_tokens
        request = request_of(self.fleet.state, target=target, prompt_tokens=tokens)
        served = self.served[kind]
        served.sent += 1
        try:
            record = await entry.admission.enter(request)
        except Refusal:
            return

        def on_read() -> None:
            entry.admission.record_prompt_read(request, record)
            served.first_after_s.append(request.age_s())

        await self.fleet.engines[record.id].run(tokens, on_read)
        entry.admission.leave(request, record)
