"""Tests of documents under faults, in virtual time: partitions, platform outages, pauses."""

import asyncio
import unittest

from gypsumpier.external.configuration import DocumentRevision
from gypsumpier.test.builders_document import revised
from gypsumpier.test.builders_spread import Fleet, Instance
from gypsumpier.test.virtual import run

NAME = "gypsum-llm"
ENTRIES = {"bac-a": 3, "trung-a": 3, "nam-a": 3}
AGENTS = {"bac-a": 2, "trung-a": 2, "nam-a": 2}
IN_FORCE_S = 4.0


async def started_fleet() -> Fleet:
    """Return a fleet in which the first revision is in force everywhere."""
    fleet = Fleet()
    await fleet.start(ENTRIES, AGENTS, NAME)
    fleet.platform.put(revised(NAME, 1))
    await fleet.settle(NAME, 1, 6.0)
    return fleet


class CutZoneTest(unittest.TestCase):
    def test_a_zone_cut_off_from_the_platform_is_served_by_other_zones(self) -> None:
        async def scenario() -> None:
            fleet = await started_fleet()
            fleet.platform.cut_hosts |= {one.options.host for one in fleet.in_zone("nam-a")}
            for number in range(2, 6):
                fleet.platform.put(revised(NAME, number))
                await fleet.settle(NAME, number, 1.0)
                await asyncio.sleep(5.0)
            await fleet.stop()

        run(scenario())

    def test_a_zone_cut_off_from_other_zones_reads_the_platform(self) -> None:
        async def scenario() -> None:
            fleet = await started_fleet()
            fleet.cut_zone("nam-a", from_platform=False)
            await asyncio.sleep(10.0)
            fleet.platform.put(revised(NAME, 2))
            await fleet.settle(NAME, 2, 1.0)
            await fleet.stop()

        run(scenario())

    def test_a_zone_cut_off_from_all_keeps_its_documents_and_catches_up(self) -> None:
        async def scenario() -> None:
            for cut_s in (1.0, 2.9, 20.0, 70.0):
                fleet = await started_fleet()
                fleet.cut_zone("nam-a", from_platform=True)
                await asyncio.sleep(cut_s / 2)
                fleet.platform.put(DocumentRevision(NAME, 2, None))
                fleet.platform.put(revised(NAME, 3))
                await asyncio.sleep(cut_s / 2)
                for instance in fleet.in_zone("nam-a"):
                    self.assertEqual(1, instance.revision(NAME))
                fleet.heal_zone("nam-a")
                await fleet.settle(NAME, 3, IN_FORCE_S)
                await fleet.stop()

        run(scenario())


class PlatformDownTest(unittest.TestCase):
    def test_edits_after_a_long_outage_are_soon_in_force(self) -> None:
        async def scenario() -> None:
            fleet = await started_fleet()
            fleet.platform.is_down = True
            await asyncio.sleep(60.0)
            self.assertEqual({1}, set(fleet.revisions(NAME).values()))
            fleet.platform.put(revised(NAME, 2))
            fleet.platform.is_down = False
            await fleet.settle(NAME, 2, IN_FORCE_S)
            await fleet.stop()

        run(scenario())

    def test_instances_started_during_an_outage_fetch_from_peers(self) -> None:
        async def scenario() -> None:
            fleet = await started_fleet()
            fleet.platform.history.clear()
            fleet.platform.is_down = True
            await asyncio.sleep(10.0)
            for zone in ENTRIES:
                await replace(fleet, "entry", zone, 0)
                await replace(fleet, "agent", zone, 0)
            await fleet.settle(NAME, 1, 6.0)
            await fleet.stop()

        run(scenario())

    def test_a_starting_instance_never_puts_a_stale_answer_in_force(self) -> None:
        async def scenario() -> None:
            fleet = await started_fleet()
            fleet.platform.put(revised(NAME, 2))
            fleet.platform.put(DocumentRevision("table-ops", 3, None))
            await fleet.settle(NAME, 2, IN_FORCE_S)
            fleet.platform.stale_position = 1
            seen: list[int] = []
            for zone in ENTRIES:
                for role in ("entry", "agent"):
                    instance = await replace(fleet, role, zone, 1)
                    instance.documents.subscribe(lambda accepted: seen.append(accepted.revision))
            await fleet.settle(NAME, 2, 6.0)
            self.assertNotIn(1, seen)
            await fleet.stop()

        run(scenario())

    def test_an_outage_does_not_overload_the_service_with_calls(self) -> None:
        async def scenario() -> None:
            fleet = await started_fleet()
            fleet.platform.is_down = True
            await asyncio.sleep(20.0)
            calls = fleet.platform.calls
            await asyncio.sleep(20.0)
            # All 15 instances now read the service themselves, each about once in two seconds.
            self.assertLessEqual(fleet.platform.calls - calls, 15 * 20)
            await fleet.stop()

        run(scenario())


class PausedWatcherTest(unittest.TestCase):
    def test_a_zone_still_gets_updates_when_all_its_watchers_are_paused(self) -> None:
        async def scenario() -> None:
            fleet = await started_fleet()
            await asyncio.sleep(3.0)
            paused = [one for one in fleet.in_zone("nam-a") if one.spread.is_watcher]
            self.assertEqual(2, len(paused))
            for instance in paused:
                silence(fleet, instance)
            await asyncio.sleep(0.1)
            fleet.platform.put(revised(NAME, 2))
            await asyncio.sleep(IN_FORCE_S)
            for instance in fleet.instances.values():
                if instance not in paused:
                    self.assertEqual(2, instance.revision(NAME), instance.options.name)
            for instance in paused:
                wake(fleet, instance)
            await fleet.settle(NAME, 2, IN_FORCE_S)
            await asyncio.sleep(5.0)
            watchers = [one for one in fleet.in_zone("nam-a") if one.spread.is_watcher]
            self.assertEqual(set(paused), set(watchers))
            await fleet.stop()

        run(scenario())


async def replace(fleet: Fleet, role: str, zone: str, number: int) -> Instance:
    """Stop an instance and start a new incarnation of it."""
    service = NAME if role == "agent" else ""
    name = f"{service or 'entry'}/{zone}/{number}"
    await fleet.instances[name].stop()
    instance = fleet.add(role, zone, number, service)
    await instance.start()
    return instance


def others(fleet: Fleet, instance: Instance) -> list[str]:
    """Return the hosts of all other instances."""
    return [one.options.host for one in fleet.instances.values() if one is not instance]


def silence(fleet: Fleet, instance: Instance) -> None:
    """Cut an instance off from the platform and all others, as if it were paused."""
    host = instance.options.host
    fleet.platform.cut_hosts.add(host)
    for other in others(fleet, instance):
        fleet.network.partition(host, other)


def wake(fleet: Fleet, instance: Instance) -> None:
    """Undo ``silence``."""
    host = instance.options.host
    fleet.platform.cut_hosts.discard(host)
    for other in others(fleet, instance):
        fleet.network.heal(host, other)
