"""Tests of a large fleet in virtual time: what an entry says, hears and looks at stays bounded.

The pattern: nearly a hundred entries in five zones before sixty engines, and the target's size of
380 entries in 36 zones, where every entry's loads change all the time.
"""

import asyncio
import random
import time
import unittest
from typing import Final
from unittest import mock

from gypsumpier.fleet.state import FleetState
from gypsumpier.gateway import loadshare
from gypsumpier.test.builders_gateway import admission_of, engines_in, request_of, selector_of
from gypsumpier.test.simulated_entries import SimulatedEntries, simulate
from gypsumpier.upstream import selector as selector_module
from gypsumpier.upstream.peerloads import Load
from gypsumpier.upstream.selector import UpstreamSelector

ZONES: Final = tuple(f"zone-{number:02}" for number in range(5))
TARGET_ZONES: Final = tuple(f"zone-{number:02}" for number in range(36))
MESSAGES_PER_S: Final = 500.0
"""Messages with loads that an entry may send or get in a second: those within its zone, and those
with the sums of zones."""
SILENT_KNOWN_S: Final = 1.6
"""Age in seconds that another zone's loads may have while its first entry is silent: less than the
2 s after which they are dropped."""
KNOWN_S: Final = 0.4
"""The same while all entries run, and while one that passes them on is silent."""
ARRIVALS_PER_S: Final = 560.0
"""Requests a second that take 97 in 100 of the engines' time."""
PROMPTS: Final = (1330, 1330, 1330, 827, 827, 647, 647, 647)
"""Prompt tokens of the deployment's streams, about as often as they come."""
AIM_S: Final = 0.505
"""The shortest time within which a first event of the deployment is due, in seconds."""
IN_TIME_SHARE: Final = 0.95
"""Share of the requests whose first event the users want in time."""
LOADS: Final = 3
"""Engines at which each entry has requests."""
CHANGE_S: Final = 0.02
"""Seconds between two changes of each entry's loads."""


class LargeFleetTest(unittest.TestCase):
    def fleet(self, entry_count: int, zones: tuple[str, ...]) -> SimulatedEntries:
        """Return a fleet with sixty engines."""
        fleet = SimulatedEntries(engines_in(zones, 60, slots=8), entry_count, zones)
        self.addCleanup(fleet.entries.clear)
        return fleet

    async def change_loads(self, fleet: SimulatedEntries, seconds: float) -> None:
        """Change the loads of every entry all the time."""
        names = sorted(fleet.state.upstreams)
        for step in range(round(seconds / CHANGE_S)):
            for entry in fleet.entries:
                loads = {name: Load(1 + step % 3, 300) for name in random.sample(names, LOADS)}
                entry.selector.own_loads = loads
            await asyncio.sleep(CHANGE_S)

    def check_messages(self, entry_count: int, zones: tuple[str, ...], seconds: float) -> None:
        """Check how many messages each entry sends and gets."""

        async def scenario() -> None:
            fleet = self.fleet(entry_count, zones)
            received = dict.fromkeys(fleet.meshes, 0)
            for name, mesh in fleet.meshes.items():
                handle = mesh.receive

                def count(*message: object, name: str = name, handle: object = handle) -> None:
                    received[name] += 1
                    handle(*message)  # type: ignore[operator]

                mesh.receive = count  # type: ignore[method-assign, assignment]
            await fleet.start()
            await self.change_loads(fleet, seconds)
            most_sent = max(mesh.sent for mesh in fleet.meshes.values())
            self.assertLess(most_sent / seconds, MESSAGES_PER_S)
            self.assertLess(max(received.values()) / seconds, MESSAGES_PER_S)

        simulate(scenario())

    def test_messages_are_bounded_in_a_large_fleet(self) -> None:
        self.check_messages(99, ZONES, 1.0)

    def test_messages_are_bounded_at_the_size_of_the_target(self) -> None:
        self.check_messages(380, TARGET_ZONES, 1.0)

    def test_messages_are_bounded_in_one_large_zone(self) -> None:
        self.check_messages(100, ("zone-00",), 1.0)

    def oldest_s(self, fleet: SimulatedEntries, zones: tuple[str, ...]) -> float:
        """Return the largest age of another zone's loads that an entry believes."""
        return max(
            entry.selector.load_age_s(zone)
            for entry in fleet.entries
            if not entry.mesh.is_silent
            for zone in zones
            if zone != entry.selector.zone
        )

    def check_known(self, rank: int, is_noticed: bool, limit_s: float) -> None:
        """Check what entries know of other zones once the entry of that rank says nothing."""

        async def scenario() -> None:
            fleet = self.fleet(99, ZONES)
            await fleet.start()
            await self.change_loads(fleet, 0.6)
            self.assertLess(self.oldest_s(fleet, ZONES), KNOWN_S)
            name = fleet.peers(ZONES[0])[rank].name
            if is_noticed:
                fleet.disconnect(name)
            else:
                fleet.meshes[name].is_silent = True
            for _ in range(16):
                await self.change_loads(fleet, 0.1)
                self.assertLess(self.oldest_s(fleet, ZONES), limit_s)

        simulate(scenario())

    # Guards against a zone that is unknown to others until the silence of one entry is noticed.
    def test_the_first_entry_of_a_zone_goes_silent(self) -> None:
        self.check_known(0, False, SILENT_KNOWN_S)

    def test_the_first_entry_of_a_zone_ends(self) -> None:
        self.check_known(0, True, KNOWN_S)

    # Guards against loads that are passed on by one entry alone.
    def test_an_entry_that_passes_on_goes_silent(self) -> None:
        self.check_known(1, False, KNOWN_S)

    # Guards against states of engines that don't reach the entries behind the first ones.
    def test_states_of_engines_reach_every_entry(self) -> None:
        async def scenario() -> None:
            fleet = self.fleet(99, ZONES)
            await fleet.start()
            fleet.meshes[fleet.peers(ZONES[0])[1].name].is_silent = True
            fleet.meshes[fleet.peers(ZONES[1])[0].name].is_silent = True
            engine = next(iter(fleet.engines.values())).record
            state = fleet.engine_state(engine, True)
            for peer in fleet.peers(engine.zone):
                share = fleet.meshes[peer.name].listeners[loadshare.ENGINE]
                share(peer, {"state": state.as_list()})
            await asyncio.sleep(0.2)
            for entry in fleet.entries:
                if not entry.mesh.is_silent:
                    self.assertTrue(entry.selector.is_switching(engine))

        simulate(scenario())

    # Guards against an engine that a zone never uses again, as both entries that pass on ended.
    def test_a_state_that_no_entry_has_passed_on_arrives_later(self) -> None:
        async def scenario() -> None:
            fleet = self.fleet(25, ZONES)
            await fleet.start()
            engine = next(iter(fleet.engines.values())).record
            relays = [peer.name for peer in fleet.peers(ZONES[1])[: loadshare.RELAYS_PER_ZONE]]
            for name in relays:
                fleet.meshes[name].is_silent = True
            state = fleet.engine_state(engine, True)
            for peer in fleet.peers(engine.zone):
                fleet.meshes[peer.name].listeners[loadshare.ENGINE](
                    peer, {"state": state.as_list()}
                )
            await asyncio.sleep(0.2)
            for name in relays:
                fleet.disconnect(name)
            await asyncio.sleep(loadshare.STATES_INTERVAL_S + 0.1)
            for peer in fleet.peers(ZONES[1]):
                entry = next(one for one in fleet.entries if one.mesh.own == peer)
                self.assertTrue(entry.selector.is_switching(engine))

        simulate(scenario())


class LateLoadsTest(unittest.TestCase):
    """The pattern: many entries choose among the same engines at once, by loads known late."""

    def first_events_in_time(self) -> float:
        """Return the share of requests whose first event came within the aim."""
        found: list[float] = []

        async def scenario() -> None:
            fleet = SimulatedEntries(engines_in(ZONES, 60, slots=8), 99, ZONES)
            await fleet.start()
            await fleet.send_for(1.0, ARRIVALS_PER_S, PROMPTS)
            for entry in fleet.entries:
                entry.first_event_after_s.clear()
            await fleet.send_for(2.0, ARRIVALS_PER_S, PROMPTS)
            found.extend(fleet.first_event_after_s())

        simulate(scenario())
        return sum(after_s < AIM_S for after_s in found) / len(found)

    # Guards against engines with a queue beside engines with free slots.
    def test_entries_do_not_send_to_the_same_engine_at_once(self) -> None:
        self.assertGreater(self.first_events_in_time(), IN_TIME_SHARE)

    def test_the_least_loaded_of_all_engines_is_a_worse_choice(self) -> None:
        with mock.patch.object(selector_module, "UPSTREAMS_COMPARED", 60):
            self.assertLess(self.first_events_in_time(), IN_TIME_SHARE)


class DecisionWorkTest(unittest.TestCase):
    """Counts looks at engines and reports, not seconds."""

    def looks(self, engine_count: int, report_count: int) -> tuple[int, int]:
        """Return the looks at loads of one admission, and at the weights of engines."""
        state = engines_in(ZONES, engine_count)
        selector = selector_of(state, ZONES[0])
        admission = admission_of(state, selector)
        for number in range(report_count):
            selector.record_peer_loads(f"entry {number}", {"i-1": Load(1, 300)})
        request = request_of(state)
        admission.try_admit(request)
        with (
            mock.patch.object(
                UpstreamSelector, "load", autospec=True, side_effect=UpstreamSelector.load
            ) as loads,
            mock.patch.object(
                UpstreamSelector, "version", autospec=True, side_effect=UpstreamSelector.version
            ) as versions,
        ):
            admission.try_admit(request)
        return loads.call_count, versions.call_count

    def test_an_admission_looks_at_the_engines_of_its_zone_alone(self) -> None:
        for engine_count, report_count in ((10, 9), (60, 24), (240, 96)):
            with self.subTest(engines=engine_count):
                loads, versions = self.looks(engine_count, report_count)
                self.assertLessEqual(loads, 4 * engine_count / len(ZONES))
                self.assertEqual(0, versions)

    def test_the_sums_are_those_of_the_reports(self) -> None:
        selector = selector_of(engines_in(ZONES, 10))
        names = sorted(selector.fleet_state.upstreams)
        random.seed(1)
        for step in range(300):
            loads = {name: Load(random.randint(0, 3), 0) for name in random.sample(names, 4)}
            waiting = {"a": random.randint(0, 3)}
            selector.record_peer_loads(f"entry {step % 7}", loads, waiting)
            if step % 50 == 49:
                selector.peer_loads.drop_before(time.monotonic() - 1.0)
                selector.peer_loads.drop(f"entry {step % 7}")
        reports = selector.peer_loads.reports.values()
        for name, record in selector.fleet_state.upstreams.items():
            expected = sum(report.loads.get(name, Load()).in_flight for report in reports)
            self.assertEqual(expected, selector.load(record))
        expected = sum(report.waiting["a"] for report in reports)
        self.assertEqual(expected, selector.peer_loads.waiting.get("a", 0))

    def test_candidates_follow_every_change(self) -> None:
        state: FleetState = engines_in(ZONES, 3)
        selector = selector_of(state)
        service = next(iter(state.upstreams.values())).service
        self.assertEqual(3, len(selector.candidates(service)))
        first, second, third = state.upstreams.values()
        selector.statements.leaving.record_news(first.run_key(), "answer")
        self.assertEqual([second, third], selector.candidates(service))
        del state.upstreams[third.id]
        self.assertEqual([second], selector.candidates(service))


if __name__ == "__main__":
    unittest.main()
