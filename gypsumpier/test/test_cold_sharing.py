"""Tests that entries together keep to the allowance of cold upstreams, in virtual time.

Each test lets upstreams become cold under a burst and a load that would send far more than the
allowance, while something fails.  It checks every sliding second of every cold upstream.
"""

import asyncio
import random
import time
import unittest
from collections.abc import Awaitable, Callable
from typing import Final
from unittest import mock

from gypsumpier.coldstart import upstreams as upstreams_module
from gypsumpier.coldstart.seedproofs import KNOWN_MIN_S, LEASE_S
from gypsumpier.coldstart.zoneshares import JOIN_S
from gypsumpier.test.simulated_cold import (
    ALLOWANCE,
    COLD_S,
    RECORD_S,
    SILENCE_S,
    ZONES,
    ColdFleet,
    ColdUpstream,
    most_in_second,
)
from gypsumpier.test.simulated_entries import simulate

SETTLED_S: Final = KNOWN_MIN_S + 2.0
"""Seconds from the start of a fleet until its entries use their shares."""
BURST: Final = 12
"""Requests that each entry gets at the moment at which upstreams become cold."""
LOAD_PER_S: Final = 900.0
USED_MIN: Final = 0.55
"""Share of the allowance that is used in a zone whose entries all run and reach each other: 15
entries use 2 requests a second each, 30 of 44."""

Events = Callable[[ColdFleet], Awaitable[None]]


async def no_events(fleet: ColdFleet) -> None:
    """Let all entries run."""


class ColdSharingTest(unittest.TestCase):
    def cold(self, fleet: ColdFleet) -> list[ColdUpstream]:
        """Return the upstreams that were cold."""
        return [upstream for upstream in fleet.upstreams.values() if upstream.cold_s]

    def assert_kept(self, fleet: ColdFleet) -> None:
        """Check every sliding second of all cold upstreams."""
        for upstream in self.cold(fleet):
            self.assertLessEqual(most_in_second(upstream.cold_arrivals_s()), ALLOWANCE, upstream.id)

    def used_share(self, fleet: ColdFleet, zone: str = "") -> float:
        """Return the share of the allowance that was used in the last cold time, on average."""
        used = [
            sum(arrival.at_s >= upstream.cold_s[-1][0] for arrival in upstream.arrivals)
            - sum(arrival.at_s >= upstream.cold_s[-1][1] for arrival in upstream.arrivals)
            for upstream in self.cold(fleet)
            if zone in ("", upstream.zone)
        ]
        return sum(used) / len(used) / COLD_S / ALLOWANCE

    def keep(
        self,
        before: Events = no_events,
        events: Events = no_events,
        used_min: float = USED_MIN,
        zone: str = "",
        counts: tuple[int, ...] = (15, 15, 14),
        is_restart: bool = True,
    ) -> None:
        """Let all upstreams become cold at once and check what they get meanwhile.

        ``before`` happens before that moment, ``events`` begin with it.
        """

        async def scenario() -> None:
            fleet = ColdFleet(counts)
            await asyncio.sleep(SETTLED_S)
            if not is_restart:
                fleet.publish_warm()
                await asyncio.sleep(COLD_S + 1.0)
            await before(fleet)
            fleet.begin_cold(list(fleet.upstreams.values()), is_restart)
            happening = asyncio.ensure_future(events(fleet))
            # No entry can know of a running upstream that it is cold before the record arrives.
            await asyncio.sleep(0.0 if is_restart else RECORD_S)
            fleet.send(BURST)
            await fleet.load(COLD_S + 0.5, LOAD_PER_S)
            await happening
            self.assert_kept(fleet)
            self.assertGreaterEqual(self.used_share(fleet, zone), used_min)
            self.assertTrue(any(upstream.arrivals for upstream in fleet.upstreams.values()))

        simulate(scenario())

    # Guards against 44 entries that each fill upstreams which they learn of at the same moment.
    def test_twelve_upstreams_return_at_once_under_a_burst(self) -> None:
        self.keep()

    # Shows that the load of these tests is too much without the shares.
    def test_without_shares_the_allowance_is_exceeded(self) -> None:
        async def scenario() -> None:
            fleet = ColdFleet()
            for entry in fleet.entries.values():
                entry.selector.cold.shares = mock.Mock(share=lambda *_: ALLOWANCE)
            await asyncio.sleep(SETTLED_S)
            fleet.begin_cold(list(fleet.upstreams.values()))
            fleet.send(BURST)
            await fleet.load(2.0, LOAD_PER_S)
            most = [most_in_second(upstream.cold_arrivals_s()) for upstream in self.cold(fleet)]
            self.assertGreater(sum(count > ALLOWANCE for count in most), len(most) / 2, most)

        simulate(scenario())

    # Guards against requests that pile up at one of several cold upstreams.
    def test_cold_upstreams_of_a_zone_get_about_the_same(self) -> None:
        async def scenario() -> None:
            fleet = ColdFleet()
            await asyncio.sleep(SETTLED_S)
            fleet.begin_cold(list(fleet.upstreams.values()))
            await fleet.load(COLD_S, 200.0)
            self.assert_kept(fleet)
            for zone in ZONES:
                counts = [len(one.arrivals) for one in fleet.upstreams.values() if one.zone == zone]
                self.assertGreaterEqual(min(counts), 0.5 * max(counts), counts)

        simulate(scenario())

    # Guards against entries that use more because they are cut off from those that they counted.
    def test_a_third_of_the_entries_is_cut_off_from_the_others(self) -> None:
        async def cut(fleet: ColdFleet) -> None:
            fleet.cut([name for zone in ZONES for name in fleet.in_zone(zone)[::3]])
            await asyncio.sleep(1.0)

        self.keep(before=cut)

    # The same, long enough that those without the seeds use nothing any more.
    def test_a_third_of_the_entries_is_cut_off_for_long(self) -> None:
        async def cut(fleet: ColdFleet) -> None:
            fleet.cut([name for zone in ZONES for name in fleet.in_zone(zone)[1::3]])
            await asyncio.sleep(LEASE_S + 1.0)

        # 10 of 15 entries are left, which use 20 of 44.
        self.keep(before=cut, used_min=0.4)

    # Guards against entries that count only those of their side after a restart: 10 entries with 3
    # requests a second and 5 with 6 are 60.
    def test_entries_of_both_sides_of_a_cut_restart(self) -> None:
        async def cut_and_restart(fleet: ColdFleet) -> None:
            fleet.cut([name for zone in ZONES for name in fleet.in_zone(zone)[1::3]])
            await asyncio.sleep(1.0)
            fleet.restart(list(fleet.entries))
            await asyncio.sleep(SETTLED_S)

        self.keep(before=cut_and_restart, used_min=0.4)

    # Guards against seeds that count only those of their side after a restart, while others still
    # use what an earlier run told them: 8 entries with 4 requests a second and 7 with 2 are 46.
    def test_seeds_restart_beside_entries_that_were_just_cut_off(self) -> None:
        async def cut_and_restart(fleet: ColdFleet) -> None:
            fleet.cut([name for zone in ZONES for name in fleet.in_zone(zone)[1::2]])
            fleet.restart([name for name in fleet.entries if not fleet.sides[name]])
            await asyncio.sleep(JOIN_S + 1.5)

        # 7 of 15 entries go on with 2 requests a second.
        self.keep(before=cut_and_restart, used_min=0.25)

    # The same once the restarted seeds count again: what the earlier run told must have expired.
    def test_seeds_have_restarted_beside_entries_that_were_cut_off(self) -> None:
        async def cut_and_restart(fleet: ColdFleet) -> None:
            fleet.cut([name for zone in ZONES for name in fleet.in_zone(zone)[1::2]])
            fleet.restart([name for name in fleet.entries if not fleet.sides[name]])
            await asyncio.sleep(SETTLED_S)

        # 8 of 15 entries use 4 requests a second each.
        self.keep(before=cut_and_restart, used_min=0.6)

    # Guards against requests that were chosen for a warm upstream and reach it when it is cold.
    def test_upstreams_become_cold_while_requests_connect(self) -> None:
        async def slow(fleet: ColdFleet) -> None:
            fleet.connect_s = lambda: random.uniform(0.0, 0.4)
            fleet.send(BURST)

        self.keep(before=slow, used_min=0.4, is_restart=False)

    # Guards against entries on both sides that use shares of different counts after joins on one.
    def test_many_entries_join_on_one_side_of_a_cut(self) -> None:
        async def cut_and_join(fleet: ColdFleet) -> None:
            fleet.cut([name for zone in ZONES for name in fleet.in_zone(zone)[1::3]])
            for number in range(20):
                fleet.start(f"front-new-{number:02}", ZONES[0])
                await asyncio.sleep(0.2)

        self.keep(before=cut_and_join, used_min=0.0)

    # Guards against a restarted process that uses a share twice, or one that nobody counts.
    def test_a_third_of_the_entries_restarts_at_that_moment(self) -> None:
        async def restart(fleet: ColdFleet) -> None:
            for delay_s in (0.0, 0.3, 0.6):
                await asyncio.sleep(delay_s)
                fleet.restart([name for zone in ZONES for name in fleet.in_zone(zone)[1::3]])

        self.keep(events=restart, used_min=0.35)

    # Guards against restarted entries that each believe to be one of few.
    def test_all_entries_of_a_zone_restart_at_once(self) -> None:
        async def restart(fleet: ColdFleet) -> None:
            await asyncio.sleep(0.2)
            fleet.restart(fleet.in_zone(ZONES[0]))

        # The two other zones go on with what the two other seeds know.
        self.keep(events=restart, zone=ZONES[1])

    # The same before that moment: the other seeds have known the names for long.
    def test_all_entries_of_a_zone_have_restarted_a_while_ago(self) -> None:
        async def restart(fleet: ColdFleet) -> None:
            fleet.restart(fleet.in_zone(ZONES[0]))
            await asyncio.sleep(3.0)

        self.keep(before=restart, zone=ZONES[0])

    # Guards against seeds that vouch for what they can't know after a restart.
    def test_all_entries_restart_at_once(self) -> None:
        async def restart(fleet: ColdFleet) -> None:
            fleet.restart(list(fleet.entries))
            await asyncio.sleep(3.0)

        self.keep(before=restart, used_min=0.0)

    # Guards against all entries at once that send at full rate to an upstream that runs on.
    def test_upstreams_become_cold_without_a_restart(self) -> None:
        self.keep(is_restart=False)

    # Guards against an entry that sends what it chose before it froze, or as a message is unread.
    def test_entries_freeze_and_wake(self) -> None:
        async def freeze(fleet: ColdFleet) -> None:
            names = [name for zone in ZONES for name in fleet.in_zone(zone)[2::4]]
            seconds = (0.6, 1.2, 1.9, 2.5)
            await asyncio.gather(
                *(fleet.freeze(name, seconds[n % 4]) for n, name in enumerate(names))
            )

        self.keep(events=freeze, used_min=0.4)

    # Guards against an entry that wakes up without the news that upstreams have become cold.
    def test_entries_that_freeze_before_upstreams_become_cold_wake(self) -> None:
        async def freeze(fleet: ColdFleet) -> None:
            for zone in ZONES:
                for number, name in enumerate(fleet.in_zone(zone)[1:]):
                    asyncio.ensure_future(fleet.freeze(name, 0.8 + 0.1 * number))
            await asyncio.sleep(0.2)
            fleet.send(BURST)

        self.keep(before=freeze, used_min=0.2, is_restart=False)

    # Guards against entries that were frozen for longer than what the seeds told them counts.
    def test_an_entry_that_was_frozen_for_long_wakes(self) -> None:
        async def freeze(fleet: ColdFleet) -> None:
            names = [name for zone in ZONES for name in fleet.in_zone(zone)[1::2]]
            for name in names:
                asyncio.ensure_future(fleet.freeze(name, LEASE_S + SILENCE_S + 1.0))
            await asyncio.sleep(LEASE_S + SILENCE_S)

        self.keep(before=freeze, used_min=0.25)

    # Guards against shares by a number of entries that is out of date.
    def test_entries_join(self) -> None:
        async def join(fleet: ColdFleet) -> None:
            for number in range(15):
                fleet.start(f"front-new-{number:02}", ZONES[number % 3])
                await asyncio.sleep(0.2)

        self.keep(events=join, used_min=0.3)

    # Guards against a share that is too large for entries that have joined a while ago.
    def test_entries_have_joined(self) -> None:
        async def join(fleet: ColdFleet) -> None:
            for number in range(15):
                fleet.start(f"front-new-{number:02}", ZONES[number % 3])
            await asyncio.sleep(SETTLED_S)

        self.keep(before=join, used_min=0.45)

    # Guards against an entry that uses nothing as it finds no other.
    def test_one_entry_alone(self) -> None:
        # floor(44 / 3) = 14 of 44.
        self.keep(counts=(1,), used_min=0.28)

    # Guards against a count that is lost with the way between two zones.
    def test_two_zones_are_cut_off_from_each_other(self) -> None:
        async def scenario() -> None:
            fleet = ColdFleet()
            await asyncio.sleep(SETTLED_S)
            connected = fleet.are_connected

            def are_connected(one: str, two: str) -> bool:
                zones = {fleet.entries[name].zone for name in (one, two) if name in fleet.entries}
                return zones != set(ZONES[:2]) and connected(one, two)

            fleet.are_connected = are_connected  # type: ignore[method-assign]
            await asyncio.sleep(LEASE_S + 1.0)
            fleet.begin_cold(list(fleet.upstreams.values()))
            fleet.send(BURST)
            await fleet.load(COLD_S + 0.5, LOAD_PER_S)
            self.assert_kept(fleet)
            # Both zones reach the third one, so two of three seeds.
            self.assertGreaterEqual(self.used_share(fleet), USED_MIN)

        simulate(scenario())

    # Guards against two seconds' worth of requests in one, as connections take long.
    def test_requests_are_sent_long_after_they_were_chosen(self) -> None:
        async def slow(fleet: ColdFleet) -> None:
            fleet.connect_s = lambda: random.uniform(0.0, 0.4)

        self.keep(before=slow, used_min=0.4)

    # Guards against connections that were slow in one second and are fast in the next.
    def test_slow_connections_become_fast(self) -> None:
        async def slow(fleet: ColdFleet) -> None:
            fleet.connect_s = lambda: max(0.0, 1.5 - time.monotonic() % 1.5)

        self.keep(before=slow, used_min=0.2)

    # Guards against an upstream that counts as warm, as its record is the one before its crash.
    def test_an_upstream_restarts_under_its_old_record(self) -> None:
        async def scenario() -> None:
            fleet = ColdFleet()
            await asyncio.sleep(SETTLED_S)
            fleet.publish_warm()
            await asyncio.sleep(COLD_S + 1.0)
            loading = asyncio.ensure_future(fleet.load(COLD_S + 1.5, LOAD_PER_S))
            await asyncio.sleep(0.5)
            crashed = list(fleet.upstreams.values())[:2]
            for upstream in crashed:
                upstream.is_up = False
            await asyncio.sleep(0.8)
            for upstream in crashed:
                upstream.born += 1
                upstream.is_up = True
                upstream.become_cold()
            await loading
            self.assert_kept(fleet)
            self.assertTrue(all(upstream.cold_arrivals_s() for upstream in crashed))

        simulate(scenario())

    # Guards against entries that can't learn of a cold start and send at full rate.
    def test_entries_without_the_store_keep_to_their_share(self) -> None:
        async def scenario() -> None:
            fleet = ColdFleet()
            await asyncio.sleep(SETTLED_S)
            fleet.publish_warm()
            await asyncio.sleep(COLD_S + 1.0)
            fleet.without_store = {name for zone in ZONES for name in fleet.in_zone(zone)[::2]}
            await asyncio.sleep(upstreams_module.FRESH_S + 0.2)
            fleet.begin_cold(list(fleet.upstreams.values()), is_restart=False)
            fleet.send(BURST)
            await fleet.load(COLD_S, LOAD_PER_S)
            self.assert_kept(fleet)
            self.assertGreaterEqual(self.used_share(fleet), 0.45)

        simulate(scenario())

    # Guards against larger shares of those that stay, beside what those that leave have just sent.
    def test_most_entries_of_a_zone_say_goodbye_at_once(self) -> None:
        async def leave(fleet: ColdFleet) -> None:
            await asyncio.sleep(0.7)
            for name in fleet.in_zone(ZONES[0])[3:]:
                fleet.entries[name].names.say_goodbye()

        self.keep(events=leave, zone=ZONES[1])


if __name__ == "__main__":
    unittest.main()
