"""Tests of replication in virtual time: which instances get a revision, when, at how many calls."""

import asyncio
import unittest

from gypsumpier.test.builders_document import refused_revision, revised
from gypsumpier.test.builders_spread import Fleet
from gypsumpier.test.virtual import run

NAME = "gypsum-llm"
ENTRIES = {"bac-a": 3, "trung-a": 3, "nam-a": 3}
AGENTS = {"bac-a": 2, "trung-a": 2, "nam-a": 2}


class SpreadTest(unittest.TestCase):
    def test_an_edit_reaches_all_with_few_calls(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            await fleet.start({"bac-a": 6, "trung-a": 6}, AGENTS | {"nam-a": 0}, NAME)
            fleet.platform.put(revised(NAME, 1))
            await fleet.settle(NAME, 1, 6.0)
            calls = fleet.platform.calls
            for number in range(2, 12):
                fleet.platform.put(revised(NAME, number, max_unavailable=number))
                await fleet.settle(NAME, number, 1.0)
            watchers = [one for one in fleet.instances.values() if one.spread.is_watcher]
            self.assertEqual(4, len(watchers))
            # Each change completes one watch call per watcher, and some watches time out meanwhile.
            self.assertLessEqual(fleet.platform.calls - calls, 10 * 4 * 2)
            await fleet.stop()

        run(scenario())

    def test_agents_get_only_their_own_document(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            await fleet.start(ENTRIES, AGENTS, NAME)
            fleet.platform.put(revised(NAME, 1))
            fleet.platform.put(revised("table-ops", 2))
            await fleet.settle(NAME, 1, 6.0)
            for instance in fleet.instances.values():
                expected = {NAME} if instance.options.role == "agent" else {NAME, "table-ops"}
                self.assertEqual(expected, set(instance.documents.accepted))
            await fleet.stop()

        run(scenario())

    def test_a_refusal_is_shown_everywhere_and_changes_nothing(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            await fleet.start(ENTRIES, AGENTS, NAME)
            fleet.platform.put(revised(NAME, 1))
            await fleet.settle(NAME, 1, 6.0)
            fleet.platform.put(refused_revision(NAME, 2))
            await asyncio.sleep(2.0)
            for instance in fleet.instances.values():
                self.assertEqual(1, instance.revision(NAME))
                refusal = instance.documents.refused[NAME]
                self.assertEqual((2, 5010), (refusal.rank.revision, refusal.code_number))
            await fleet.stop()

        run(scenario())

    def test_two_operators_at_once_end_at_the_same_revision(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            await fleet.start(ENTRIES, AGENTS, NAME)
            await asyncio.sleep(3.0)
            for number in range(1, 20, 2):
                fleet.platform.put(revised(NAME, number, max_unavailable=1))
                await asyncio.sleep(0.005)
                fleet.platform.put(revised(NAME, number + 1, max_unavailable=2))
                await asyncio.sleep(0.06)
            await fleet.settle(NAME, 20, 1.0)
            await fleet.stop()

        run(scenario())
