"""How evenly entries that know each other's loads late fill the engines, in virtual time."""

import asyncio
import random
import time
from typing import Final, NamedTuple

from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.test.builders_gateway import engines_in
from gypsumpier.test.simulated_engine import SimulatedEngine
from gypsumpier.test.simulated_entries import SimulatedEntries, simulate

ZONES: Final = ("bac-a", "trung-a", "nam-a")
ENTRIES: Final = 44
ENGINES: Final = 17
SLOTS: Final = 12
ROOM_PER_S: Final = 200.0
"""Requests a second that the engines answer while all slots are taken, measured under overload."""
PROMPTS: Final = (1330, 1330, 1330, 827, 827, 647, 647, 647)
"""Prompt tokens of the deployment's streams, about as often as they come."""
PARTS: Final = 16
"""Parts of an answer, of 50 ms each, that follow an engine's pace as it changes."""
CROWDING: Final = 0.025
"""Share by which each other answer under way lengthens an answer: 1.28 times at full slots."""
SLOWNESS: Final = 2.5
"""Multiple of the usual time that a slow engine takes."""
SLOW_S: Final = 0.5
"""Seconds for which an engine is slow."""
SLOW_AT_ONCE: Final = 2
"""Engines that are slow at a time."""
BURST: Final = 100
"""Requests of a burst, about half of the engines' slots."""
BURST_S: Final = 0.1
"""Seconds within which a burst arrives."""
BUSY_ENTRIES: Final = 4
"""Entries that get half of the requests where traffic is unequal."""
WARM_UP_S: Final = 1.5
"""Seconds before the first sample: an answer takes about one."""
SAMPLE_S: Final = 0.01
"""Seconds between two samples of the requests in flight."""
FINISH_S: Final = 1.0
"""Seconds after the last request within which first events still count."""


class Case(NamedTuple):
    """What happens while requests fill the share ``load`` of the engines' room."""

    name: str
    load: float


class Figures(NamedTuple):
    """How even the load was.

    ``imbalance`` is the maximum over the mean of the requests in flight across engines, averaged
    over samples, ``imbalance_most`` the worst of them.  ``beyond_slots`` is the most requests
    beyond the slots of an engine, ``uneven_share`` the share of samples in which an engine is over
    its slots while another one has a free slot.  Times are seconds to the first event.
    """

    imbalance: float
    imbalance_most: float
    beyond_slots: float
    uneven_share: float
    p50_s: float
    p95_s: float
    p99_s: float
    refused: float
    requests: float


CASES: Final = tuple(
    Case(name, load)
    for load in (0.8, 1.0)
    for name in ("steady", "slow", "burst", "return", "unequal")
)


class EvenLoadRun:
    """One run of a case with its samples.

    ``random`` draws what happens, so that runs with one seed differ only by the entries' choices.
    """

    def __init__(self, case: Case, seed: int, seconds: float, entry_count: int = ENTRIES) -> None:
        self.case = case
        self.random = random.Random(seed)
        self.disturbances = random.Random(seed)
        self.seconds = seconds
        self.fleet = SimulatedEntries(engines_in(ZONES, ENGINES, slots=SLOTS), entry_count, ZONES)
        for entry in self.fleet.entries:
            entry.selector.place_shares.is_enabled = True
        self.engines: list[SimulatedEngine] = list(self.fleet.engines.values())
        for engine in self.engines:
            engine.crowding, engine.parts = CROWDING, PARTS
        self.imbalances: list[float] = []
        self.beyond_slots = 0
        self.uneven = 0

    async def run(self) -> None:
        """Run the case; returns once first events have arrived."""
        fleet, per_s = self.fleet, self.case.load * ROOM_PER_S
        await fleet.start()
        if self.case.name == "return":
            fleet.set_switching(True, self.engines[:1])
        await self.send_for(WARM_UP_S, per_s)
        for entry in fleet.entries:
            entry.first_event_after_s.clear()
            entry.refused = 0
        tasks = [asyncio.create_task(self.sample()), asyncio.create_task(self.disturb())]
        await self.send_for(self.seconds, per_s)
        for task in tasks:
            task.cancel()
        await asyncio.sleep(FINISH_S)

    async def send_for(self, seconds: float, per_s: float) -> None:
        """Send requests at random times."""
        until_s = time.monotonic() + seconds
        weights = self.weights()
        while time.monotonic() < until_s:
            await asyncio.sleep(self.random.expovariate(per_s))
            entry = self.random.choices(self.fleet.entries, weights)[0]
            entry.send(prompt_tokens=self.random.choice(PROMPTS))

    def weights(self) -> list[float] | None:
        """Return the relative rates of the entries; None where they are equal."""
        if self.case.name != "unequal":
            return None
        others = len(self.fleet.entries) - BUSY_ENTRIES
        return [1.0 / BUSY_ENTRIES] * BUSY_ENTRIES + [1.0 / others] * others

    async def sample(self) -> None:
        """Look at the engines until cancelled; the configuration is proven all the time."""
        while True:
            await asyncio.sleep(SAMPLE_S)
            self.fleet.state.record_proof(boot_time_s())
            in_flight = [engine.in_flight for engine in self.engines]
            mean = sum(in_flight) / len(in_flight)
            self.imbalances.append(max(in_flight) / mean if mean else 1.0)
            self.beyond_slots = max(self.beyond_slots, max(in_flight) - SLOTS)
            self.uneven += max(in_flight) > SLOTS > min(in_flight)

    async def disturb(self) -> None:
        """Do what happens in the case besides requests, until cancelled."""
        if self.case.name == "slow":
            await self.slow_down_by_turns()
        await asyncio.sleep(self.seconds / 4)
        if self.case.name == "burst":
            for _ in range(BURST):
                entry = self.disturbances.choice(self.fleet.entries)
                entry.send(prompt_tokens=self.disturbances.choice(PROMPTS))
                await asyncio.sleep(BURST_S / BURST)
        if self.case.name == "return":
            self.fleet.set_switching(False, self.engines[:1])

    async def slow_down_by_turns(self) -> None:
        """Let a few engines at a time be slow, until cancelled."""
        while True:
            slow = self.disturbances.sample(self.engines, SLOW_AT_ONCE)
            for engine in slow:
                engine.slowness = SLOWNESS
            await asyncio.sleep(SLOW_S)
            for engine in slow:
                engine.slowness = 1.0

    def figures(self) -> Figures:
        """Return how even the load was."""
        after_s = self.fleet.first_event_after_s()
        p50_s, p95_s, p99_s = (after_s[int(share * len(after_s))] for share in (0.5, 0.95, 0.99))
        refused = sum(entry.refused for entry in self.fleet.entries)
        return Figures(
            imbalance=sum(self.imbalances) / len(self.imbalances),
            imbalance_most=max(self.imbalances),
            beyond_slots=self.beyond_slots,
            uneven_share=self.uneven / len(self.imbalances),
            p50_s=p50_s,
            p95_s=p95_s,
            p99_s=p99_s,
            refused=refused,
            requests=len(after_s) + refused,
        )


def figures_of(case: Case, seed: int, seconds: float = 3.0, entry_count: int = ENTRIES) -> Figures:
    """Return the figures of one run of a case."""
    found: list[Figures] = []

    async def scenario() -> None:
        run = EvenLoadRun(case, seed, seconds, entry_count)
        await run.run()
        found.append(run.figures())

    simulate(scenario(), seed)
    return found[0]


def mean_figures(figures: list[Figures]) -> Figures:
    """Return the mean of each figure over runs."""
    return Figures(*(sum(values) / len(values) for values in zip(*figures, strict=True)))
