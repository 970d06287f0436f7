"""Entries in virtual time that send each other their loads and share engines."""

import asyncio
import random
import time
from collections.abc import Coroutine, Iterable
from typing import Any, Final
from unittest import mock

from gypsumpier.fleet.state import FleetState
from gypsumpier.fleet.upstream import LoadedLayers, UpstreamRecord
from gypsumpier.gateway.loadshare import ZONE_INTERVAL_S
from gypsumpier.mesh.peer import Peer
from gypsumpier.test.builders_platform import ENGINES, LAYERS, MODEL
from gypsumpier.test.simulated_engine import SimulatedEngine
from gypsumpier.test.simulated_entry import IN_ZONE_S, SimulatedEntry
from gypsumpier.test.virtual import run
from gypsumpier.upstream.enginestate import EngineState

START_S: Final = 1_000.0
"""The clocks' time at the start, in seconds; zero would look like a time that is not set."""
STATE_CROSS_ZONE_S: Final = 0.05
"""Seconds until entries of other zones know an engine's state, as in docs/incidents."""


class SimulatedEntries:
    """Entries, by turns in each of the zones, and engines that all of them know."""

    def __init__(self, fleet_state: FleetState, count: int, zones: tuple[str, ...]) -> None:
        self.state = fleet_state
        self.sequence = 0
        configuration = fleet_state.configuration
        assert configuration is not None
        model = configuration.services[ENGINES].model
        assert model is not None
        self.engines = {
            record.id: SimulatedEngine(record, model.prompt_tokens_per_s)
            for record in fleet_state.upstreams.values()
        }
        self.listed: dict[str, list[Peer]] = {}
        self.entries = [
            SimulatedEntry(self, f"front-{number:03}", zones[number % len(zones)], count)
            for number in range(count)
        ]
        self.meshes = {entry.mesh.own.name: entry.mesh for entry in self.entries}

    def peers(self, zone: str) -> list[Peer]:
        """Return the entries that are connected, in one zone or in all, by name."""
        found = self.listed.get(zone)
        if found is None:
            peers = [mesh.own for mesh in self.meshes.values()]
            found = sorted(peer for peer in peers if not zone or peer.zone == zone)
            self.listed[zone] = found
        return found

    def disconnect(self, name: str) -> None:
        """End an entry; the others notice at once."""
        self.meshes.pop(name).is_silent = True
        self.listed.clear()

    async def start(self) -> None:
        """Start the exchange of loads, at another moment within its interval for each entry."""
        for entry in self.entries:
            delay_s = random.uniform(0, ZONE_INTERVAL_S)
            entry.tasks.append(asyncio.create_task(entry.run(delay_s)))

    def engine_state(self, record: UpstreamRecord, is_switching: bool) -> EngineState:
        """Return the next state of an engine that holds its weights."""
        self.sequence += 1
        layers = (LoadedLayers(MODEL, 1, 0, LAYERS),)
        address = f"{record.host}:{record.port}"
        return EngineState(address, "run", self.sequence, is_switching, 0, 0, 1.0, layers)

    def set_switching(
        self, is_switching: bool, engines: Iterable[SimulatedEngine] | None = None
    ) -> None:
        """Let engines drain or return, by default all; entries of other zones learn of it later."""
        for engine in self.engines.values() if engines is None else engines:
            state = self.engine_state(engine.record, is_switching)
            for entry in self.entries:
                is_local = entry.selector.zone == engine.record.zone
                delay_s = IN_ZONE_S if is_local else STATE_CROSS_ZONE_S
                asyncio.get_running_loop().call_later(delay_s, entry.learn, state)

    async def send_for(self, seconds: float, per_s: float, prompt_tokens: tuple[int, ...]) -> None:
        """Send requests at random times to random entries, with one of these sizes."""
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            await asyncio.sleep(random.expovariate(per_s))
            random.choice(self.entries).send(prompt_tokens=random.choice(prompt_tokens))

    def admitted_after_s(self) -> list[float]:
        """Return the seconds that admitted requests waited, in ascending order."""
        return sorted(s for entry in self.entries for s in entry.admitted_after_s)

    def first_event_after_s(self) -> list[float]:
        """Return the seconds that requests waited for their first event, in ascending order."""
        return sorted(s for entry in self.entries for s in entry.first_event_after_s)

    def sent_after_s(self, since_s: float) -> list[float]:
        """Return how long after that time requests were sent to engines, in ascending order."""
        sent = [at_s for engine in self.engines.values() for at_s in engine.sent_at_s]
        return sorted(at_s - since_s for at_s in sent if at_s >= since_s)


def simulate(scenario: Coroutine[Any, Any, None], seed: int = 1) -> None:
    """Run a scenario in virtual time, with all clocks of the process at that time."""

    def now_s(*_: int) -> float:
        try:
            return START_S + asyncio.get_running_loop().time()
        except RuntimeError:
            return START_S

    random.seed(seed)
    with (
        mock.patch.object(time, "monotonic", now_s),
        mock.patch.object(time, "clock_gettime", now_s),
    ):
        run(scenario)
