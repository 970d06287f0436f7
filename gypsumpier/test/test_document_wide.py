"""A test of replication over the target number of zones, in virtual time."""

import asyncio
import unittest
from typing import Final

from gypsumpier.test.builders_document import revised
from gypsumpier.test.builders_spread import Fleet
from gypsumpier.test.virtual import run

NAME: Final = "gypsum-llm"
ZONES: Final = 36
ENTRIES_PER_ZONE: Final = 3
STREAMS_MAX: Final = 8
ONE_WAY_S: Final = 0.002


class WideTest(unittest.TestCase):
    def test_one_zone_with_the_platform_supplies_all_others(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            fleet.network.delay_s = ONE_WAY_S
            for zone in range(ZONES):
                for number in range(ENTRIES_PER_ZONE):
                    fleet.add("entry", f"zone-{zone}", number)
            for instance in fleet.instances.values():
                await instance.start()
            await asyncio.sleep(10.0)
            self.check_cost(fleet)
            for zone in range(1, ZONES):
                cut_off = (one.options.host for one in fleet.in_zone(f"zone-{zone}"))
                fleet.platform.cut_hosts.update(cut_off)
            await asyncio.sleep(6.0)
            fleet.platform.put(revised(NAME, 1))
            await fleet.settle(NAME, 1, 1.0)
            await fleet.stop()

        run(scenario())

    def check_cost(self, fleet: Fleet) -> None:
        """Check that two entries of each zone watch and none has more than STREAMS_MAX streams."""
        instances = fleet.instances.values()
        self.assertEqual(2 * ZONES, sum(one.spread.is_watcher for one in instances))
        streams = [len(one.streams.links) + len(one.streams.accepted) for one in instances]
        self.assertLessEqual(max(streams), STREAMS_MAX)
