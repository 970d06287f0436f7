"""Tests of how entries share the limits that upstreams state, as entries come and go."""

import asyncio
import time
import unittest
from collections.abc import Awaitable, Callable
from typing import Final

from gypsumpier.test.builders_gateway import engines_in
from gypsumpier.test.builders_platform import configuration_record
from gypsumpier.test.limitcheck import (
    EXCESS_REQUESTS,
    STABLE_S,
    allowed_in_window,
    most_in_window,
)
from gypsumpier.test.simulated_entries import simulate
from gypsumpier.test.simulated_limits import LimitedFleet

ZONES: Final = ("bac-a", "nam-a", "trung-a")
USED_MIN: Final = 0.8
"""Share of the limits that must be used where far more is asked for."""
AT_ONCE_S: Final = 0.5
"""Seconds within which nearly all refusals must come."""
AT_ONCE_SHARE: Final = 0.95
LOAD_PER_S: Final = 40.0
SMALL_SERVED_MIN: Final = 0.5
"""Share of the requests of a workspace to be served that asks for less than its part."""
SHORT_WAIT_S: Final = 0.1
"""A wait in seconds that is far shorter than the backoff of an upstream that has just failed."""
ALONE_S: Final = 4.0
DOWN_S: Final = 1.0
"""Seconds for which an entry that is restarted is away."""

Events = Callable[[LimitedFleet], Awaitable[None]]


async def no_events(fleet: LimitedFleet) -> None:
    """Let all entries run."""


async def restart_in_turn(fleet: LimitedFleet) -> None:
    """Restart one entry after the other, some of them twice."""
    for number in range(8):
        await asyncio.sleep(1.5)
        name = f"front-{number % 5:02}"
        zone = fleet.stop(name)
        await asyncio.sleep(DOWN_S)
        fleet.start(name, zone)


async def restart_together(fleet: LimitedFleet) -> None:
    """Kill all entries but one at the same moment, and start them again."""
    await asyncio.sleep(6.0)
    zones = {name: fleet.stop(name) for name in list(fleet.entries)[1:]}
    await asyncio.sleep(DOWN_S)
    for name, zone in zones.items():
        fleet.start(name, zone)


async def add_entries(fleet: LimitedFleet) -> None:
    """Double the number of entries, one after the other."""
    for number in range(7):
        await asyncio.sleep(1.5)
        fleet.start(f"front-{20 + number}", ZONES[number % len(ZONES)])


async def cut_zone_off(fleet: LimitedFleet) -> None:
    """Cut a zone off from both others for a while."""
    await asyncio.sleep(5.0)
    fleet.cut = {frozenset((ZONES[0], zone)) for zone in ZONES[1:]}
    await asyncio.sleep(8.0)
    fleet.heal()


class LimitSharingTest(unittest.TestCase):
    def keep(
        self,
        limit: str,
        events: Events = no_events,
        entries: int = 7,
        upstreams: int = 5,
        weights: dict[str, float] | None = None,
        load_per_s: float = LOAD_PER_S,
    ) -> None:
        """Check a limit of all upstreams under far more requests than they take."""

        async def scenario() -> None:
            fleet = LimitedFleet(engines_in(ZONES, upstreams), entries, ZONES)
            await fleet.load(1.0, load_per_s, weights or {})
            fleet.state_limit(limit)
            stated_at_s = time.monotonic()
            happening = asyncio.ensure_future(events(fleet))
            await fleet.load(20.0, load_per_s, weights or {})
            await happening
            self.assert_kept(fleet, float(limit), stated_at_s + STABLE_S)
            at_once = [s for s in fleet.refused_after_s if s < AT_ONCE_S]
            self.assertGreaterEqual(len(at_once), AT_ONCE_SHARE * len(fleet.refused_after_s))

        simulate(scenario())

    def assert_kept(self, fleet: LimitedFleet, per_s: float, from_s: float) -> None:
        """Check what each upstream got from then on: no more than its limit, and not far less."""
        seconds = time.monotonic() - from_s
        counts = []
        for name in fleet.upstreams:
            arrivals_s = fleet.arrivals_s(name, from_s)
            self.assertLessEqual(most_in_window(arrivals_s), allowed_in_window(per_s), name)
            counts.append(len(arrivals_s))
        self.assertGreaterEqual(sum(counts), USED_MIN * seconds * per_s * len(counts))

    # Guards against entries that each send as much as the limit allows all of them.
    def test_entries_of_three_zones_share_a_limit_and_use_it(self) -> None:
        self.keep("1.5")

    # Guards against a fixed part for each entry, of which a quiet one makes no use.
    def test_a_limit_is_used_where_most_callers_are_at_two_entries(self) -> None:
        self.keep("1.5", weights={"front-00": 12.0, "front-01": 6.0})

    # Guards against a first request of each of many entries, together far beyond a low limit.
    def test_a_limit_far_below_the_number_of_entries_is_kept(self) -> None:
        self.keep("1", entries=30, upstreams=4, load_per_s=60.0)

    # Guards against a share that a new process takes before it knows the others.
    def test_a_limit_is_kept_while_entries_restart_one_after_the_other(self) -> None:
        self.keep("1.5", restart_in_turn)

    # Guards against limits that are forgotten, or shares that are too large, after a crash of most.
    def test_a_limit_is_kept_after_most_entries_restart_together(self) -> None:
        self.keep("1.5", restart_together)

    # Guards against shares by a number of entries that is out of date.
    def test_a_limit_is_kept_while_entries_are_added(self) -> None:
        self.keep("1.5", add_entries)

    # Guards against zones that each take the whole limit as soon as they are cut off.
    def test_a_limit_is_kept_while_a_zone_is_cut_off(self) -> None:
        self.keep("1.5", cut_zone_off)

    # Guards against entries that go on by an old limit, or by none, as it changes.
    def test_a_limit_that_is_lowered_raised_and_lifted_is_followed(self) -> None:
        async def scenario() -> None:
            fleet = LimitedFleet(engines_in(ZONES, 5), 7, ZONES)
            for limit in ("5", "1", "3"):
                fleet.state_limit(limit)
                changed_at_s = time.monotonic()
                await fleet.load(STABLE_S + 8.0, LOAD_PER_S, {})
                self.assert_kept(fleet, float(limit), changed_at_s + STABLE_S)
            fleet.state_limit(None)
            await fleet.load(STABLE_S, LOAD_PER_S, {})
            fleet.refused_after_s.clear()
            await fleet.load(STABLE_S, LOAD_PER_S, {})
            self.assertEqual([], fleet.refused_after_s)

        simulate(scenario())

    # Guards against a limit for good where hardly a request comes that could tell of its end.
    def test_a_limit_of_nothing_is_lifted_although_hardly_any_request_comes(self) -> None:
        async def scenario() -> None:
            fleet = LimitedFleet(engines_in(ZONES, 5), 7, ZONES)
            fleet.state_limit("0")
            await fleet.load(STABLE_S + 8.0, LOAD_PER_S, {})
            sent = [len(fleet.arrivals_s(name, time.monotonic() - 8.0)) for name in fleet.upstreams]
            self.assertLessEqual(max(sent), EXCESS_REQUESTS)
            fleet.state_limit(None)
            await fleet.load(3.0 * ALONE_S, 1.0, {})
            fleet.refused_after_s.clear()
            await fleet.load(STABLE_S, LOAD_PER_S, {})
            self.assertEqual([], fleet.refused_after_s)

        simulate(scenario())

    # Guards against refusals while other upstreams have places, and against limits of these.
    def test_a_limit_of_few_refuses_nobody_while_the_others_have_places(self) -> None:
        async def scenario() -> None:
            fleet = LimitedFleet(engines_in(ZONES, 5), 7, ZONES)
            limited = list(fleet.upstreams)[:2]
            fleet.state_limit("1", limited)
            stated_at_s = time.monotonic()
            await fleet.load(10.0, LOAD_PER_S, {})
            for name in limited:
                arrivals_s = fleet.arrivals_s(name, stated_at_s + STABLE_S)
                self.assertLessEqual(most_in_window(arrivals_s), allowed_in_window(1.0))
                self.assertTrue(arrivals_s)
            self.assertEqual([], fleet.refused_after_s)

        simulate(scenario())

    # Guards against refusals where upstreams without a limit are in backoff for a moment.
    def test_requests_wait_for_upstreams_without_a_limit_that_have_just_failed(self) -> None:
        async def scenario() -> None:
            fleet = LimitedFleet(engines_in(ZONES, 5), 7, ZONES)
            fleet.state_limit("1", list(fleet.upstreams)[:2])
            await fleet.load(5.0, LOAD_PER_S, {})
            for entry in fleet.entries.values():
                for upstream in list(fleet.upstreams.values())[2:]:
                    entry.selector.health.record_failure(upstream.record.run_key())
            await fleet.load(2.0, LOAD_PER_S, {})
            self.assertEqual([], [s for s in fleet.refused_after_s if s < SHORT_WAIT_S])
            self.assertLess(len(fleet.refused_after_s), 0.1 * 2.0 * LOAD_PER_S)

        simulate(scenario())

    # Guards against one workspace that takes the places of all others by asking for far more.
    def test_a_small_workspace_is_served_beside_one_that_asks_for_far_more(self) -> None:
        async def scenario() -> None:
            state = engines_in(ZONES, 5)
            tenants = [
                {"name": name, "api_keys": [f"key-of-{name}"]} for name in ("large", "small")
            ]
            record = configuration_record(50, version=2, tenants=tenants)
            state.apply_record(record, "test")
            fleet = LimitedFleet(state, 7, ZONES)
            fleet.state_limit("2")
            large = asyncio.ensure_future(fleet.load(20.0, 50.0, {}, key="key-of-large"))
            await fleet.load(20.0, 2.0, {}, key="key-of-small")
            await large
            shares = {
                name: fleet.ends[name, "served"]
                / (fleet.ends[name, "served"] + fleet.ends[name, "refused"])
                for name in ("large", "small")
            }
            self.assertGreaterEqual(shares["small"], SMALL_SERVED_MIN)
            self.assertGreaterEqual(shares["small"], 2.0 * shares["large"])

        simulate(scenario())


if __name__ == "__main__":
    unittest.main()
