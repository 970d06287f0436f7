"""Tests of the requests that many entries send to an engine which returns, in virtual time.

The pattern is that of the incident VERSION of the grown Rung Lab deployment: all engines had
switched their weights, and every entry had requests queued when the first engine was back.
"""

import asyncio
import time
import unittest
from typing import Final

from gypsumpier.gateway.sender import STREAM_SILENCE_S
from gypsumpier.test.builders_gateway import engines_in
from gypsumpier.test.simulated_engine import SimulatedEngine
from gypsumpier.test.simulated_entries import SimulatedEntries, simulate

ONE_ZONE: Final = ("bac-a",)
THREE_ZONES: Final = ("bac-a", "trung-a", "nam-a")
SLOTS: Final = 12
LIMIT: Final = 13
"""Requests that may be in flight at an engine with these slots: one may wait in it."""
OVERSHOOT_MAX: Final = 4
"""Requests above the limit that are accepted: shares are drawn at random, loads known late."""
PROMPTS: Final = (1330, 1330, 1330, 827, 827, 647, 647, 647)
"""Prompt tokens of the deployment's streams, about as often as they come."""
DOWN_S: Final = 0.2
"""Seconds for which requests are queued before the engines return."""
SEEDS: Final = (1, 2, 3)


class ReturningEngineTest(unittest.TestCase):
    async def run_burst(self, entries: SimulatedEntries, queued: int) -> float:
        """Let every entry queue requests and the engines return; return when, 1.5 s after it."""
        entries.set_switching(True)
        await entries.start()
        await asyncio.sleep(0.1)
        for entry in entries.entries:
            for number in range(queued):
                entry.send(prompt_tokens=PROMPTS[number % len(PROMPTS)])
        await asyncio.sleep(DOWN_S)
        returned_at_s = time.monotonic()
        entries.set_switching(False)
        await asyncio.sleep(1.5)
        return returned_at_s

    def check_burst(self, count: int, zones: tuple[str, ...]) -> None:
        """Check that an engine gets about what it has places for and answers all of it soon."""

        async def scenario() -> None:
            fleet = SimulatedEntries(engines_in(zones, 1, slots=SLOTS), count, zones)
            returned_at_s = await self.run_burst(fleet, 4)
            engine = fleet.engines["i-1"]
            first = [at_s for at_s in engine.sent_at_s if at_s < returned_at_s + 0.12]
            self.assertLessEqual(len(first), LIMIT + OVERSHOOT_MAX)
            self.assertLessEqual(engine.most, LIMIT + OVERSHOOT_MAX)
            self.assertLess(engine.unanswered_most_s, STREAM_SILENCE_S)
            self.assertEqual(0, engine.refused)

        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulate(scenario(), seed)

    def test_an_engine_that_returns_is_not_flooded_by_the_entries_of_one_zone(self) -> None:
        """Guards against each of 12 entries taking all places of an engine that it sees free."""
        self.check_burst(12, ONE_ZONE)

    def test_an_engine_that_returns_is_not_flooded_by_the_entries_of_three_zones(self) -> None:
        """Guards against the same with 40 entries, which see each other's loads 0.12 s late."""
        self.check_burst(40, THREE_ZONES)

    def test_an_engine_that_returns_is_filled_soon(self) -> None:
        """Guards against free slots while requests wait, as each entry takes only its share.

        The engine needs 0.4 s to read the prompts that fill it.
        """

        async def scenario() -> None:
            fleet = SimulatedEntries(engines_in(THREE_ZONES, 1, slots=SLOTS), 40, THREE_ZONES)
            fleet.set_switching(True)
            await fleet.start()
            await fleet.send_for(0.5, 60.0, PROMPTS)
            returned_at_s = time.monotonic()
            fleet.set_switching(False)
            await fleet.send_for(1.0, 60.0, PROMPTS)
            self.assertLess(fleet.sent_after_s(returned_at_s)[SLOTS - 1], 0.4)

        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulate(scenario(), seed)


class FewWaitingTest(unittest.TestCase):
    """Entries have one request queued each, fewer in all than there are free places."""

    def check_wait(self, engine_count: int, slots: int, waiting: int) -> None:
        """Check that these requests are admitted as soon as the entries know of the places."""

        async def scenario() -> None:
            state = engines_in(THREE_ZONES, engine_count, slots=slots)
            fleet = SimulatedEntries(state, 40, THREE_ZONES)
            fleet.set_switching(True)
            await fleet.start()
            await asyncio.sleep(0.1)
            for entry in fleet.entries[:waiting]:
                entry.send(prompt_tokens=300)
            await asyncio.sleep(DOWN_S)
            fleet.set_switching(False)
            await asyncio.sleep(0.5)
            admitted_after_s = fleet.admitted_after_s()
            self.assertEqual(waiting, len(admitted_after_s))
            self.assertLess(admitted_after_s[-1], DOWN_S + 0.06)

        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulate(scenario(), seed)

    def test_few_requests_get_the_places_of_one_engine_at_once(self) -> None:
        """Guards against a share by the number of entries, most of which have nothing queued."""
        self.check_wait(1, SLOTS, 6)

    def test_few_requests_get_places_of_several_engines_at_once(self) -> None:
        """Guards against drawing each engine by itself, where an entry may draw none of many."""
        self.check_wait(9, 1, 12)


class LastingOverloadTest(unittest.TestCase):
    def test_lasting_overload_keeps_the_engines_busy(self) -> None:
        """Guards against places that stay free while requests wait for the next exchange."""

        async def scenario() -> None:
            fleet = SimulatedEntries(engines_in(THREE_ZONES, 12, slots=SLOTS), 9, THREE_ZONES)
            await fleet.start()
            await fleet.send_for(3.0, 230.0, PROMPTS)
            engines: list[SimulatedEngine] = list(fleet.engines.values())
            busy = sum(min(SLOTS, engine.in_flight) for engine in engines)
            self.assertGreater(busy, 0.95 * SLOTS * len(engines))

        simulate(scenario())

    def check_queues(self, entry_count: int, engine_count: int, per_s: float) -> None:
        """Check that requests wait at entries, not at engines, under more load than they take."""

        async def scenario() -> None:
            state = engines_in(THREE_ZONES, engine_count, slots=SLOTS)
            fleet = SimulatedEntries(state, entry_count, THREE_ZONES)
            await fleet.start()
            await fleet.send_for(1.5, per_s, PROMPTS)
            for engine in fleet.engines.values():
                engine.most = engine.in_flight
            await fleet.send_for(2.4, per_s, PROMPTS)
            most = max(engine.most for engine in fleet.engines.values())
            self.assertLessEqual(most, LIMIT + OVERSHOOT_MAX)

        simulate(scenario())

    # Guards against requests that nobody can take back as their engine stands still.
    def test_lasting_overload_of_nine_entries_waits_at_entries(self) -> None:
        self.check_queues(9, 6, 110.0)

    # Guards against the same in a deployment that has grown.
    def test_lasting_overload_of_forty_two_entries_waits_at_entries(self) -> None:
        self.check_queues(42, 20, 320.0)
