"""Tests of the member table: stale, empty and contradictory lists with live connections."""

import unittest

from gypsumpier.member.table import LIVENESS_WINDOW_S, UNLISTED_GROUP_RETENTION_S, MemberTable
from gypsumpier.options import Options
from gypsumpier.test.builders_member import agent, entry_options


class ManualClock:
    """A clock that the test moves."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s

    def wall(self) -> float:
        return self.now_s

    async def sleep(self, seconds: float) -> None:
        self.now_s += seconds


class MemberTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.options = entry_options()
        self.table = MemberTable(self.options, self.clock)
        self.table.merge_list([agent(0), agent(1)])

    def pass_time(self, seconds: float) -> None:
        """Advance the clock and let the table drop expired members."""
        self.clock.now_s += seconds
        self.table.sweep()

    def test_an_empty_list_changes_nothing(self) -> None:
        self.table.merge_list([])
        self.pass_time(UNLISTED_GROUP_RETENTION_S * 2)
        self.assertEqual([agent(0), agent(1)], self.table.agents("gypsum-llm"))

    def test_an_unlisted_member_is_dropped_only_after_its_connection_is_lost(self) -> None:
        self.table.merge_list([agent(0)])
        for _ in range(10):
            self.table.mark_alive(agent(1).name, agent(1).incarnation)
            self.pass_time(self.options.missing_s - 1.0)
        self.assertIn(agent(1).name, self.table.members)
        self.pass_time(1.0)
        self.assertEqual([agent(0)], self.table.agents("gypsum-llm"))

    def test_a_list_without_any_member_of_a_service_keeps_them_all(self) -> None:
        self.table.merge_list([agent(0, service="table-ops")])
        self.pass_time(UNLISTED_GROUP_RETENTION_S - 1.0)
        self.assertEqual([agent(0), agent(1)], self.table.agents("gypsum-llm"))
        self.pass_time(1.0)
        self.assertEqual([], self.table.agents("gypsum-llm"))

    def test_a_member_that_is_listed_again_is_not_dropped(self) -> None:
        self.table.merge_list([agent(0)])
        self.pass_time(self.options.missing_s - 1.0)
        self.table.merge_list([agent(0), agent(1)])
        self.pass_time(2.0)
        self.assertEqual([agent(0), agent(1)], self.table.agents("gypsum-llm"))

    def test_a_stale_list_does_not_restore_a_replaced_incarnation(self) -> None:
        self.table.merge_self_report(agent(0, run=2))
        self.table.merge_list([agent(0, run=1), agent(1)])
        self.assertEqual("run-2", self.table.members[agent(0).name].incarnation)
        self.clock.now_s += LIVENESS_WINDOW_S
        self.table.merge_list([agent(0, run=1), agent(1)])
        self.assertEqual("run-1", self.table.members[agent(0).name].incarnation)

    def test_a_connection_to_an_old_incarnation_does_not_mark_the_new_one_alive(self) -> None:
        self.table.merge_list([agent(0, run=2), agent(1)])
        self.table.mark_alive(agent(0).name, "run-1")
        self.assertFalse(self.table.is_alive(agent(0).name))

    def test_a_member_that_reports_leaving_is_leaving_until_it_is_replaced(self) -> None:
        self.table.merge_self_report(agent(0, leaving=True))
        self.table.merge_list([agent(0), agent(1)])
        self.assertTrue(self.table.members[agent(0).name].leaving)
        self.clock.now_s += LIVENESS_WINDOW_S
        self.table.merge_list([agent(0, run=2), agent(1)])
        self.assertFalse(self.table.members[agent(0).name].leaving)

    def test_a_member_that_could_not_be_sent_to_peers_is_refused(self) -> None:
        odd = [agent(2)._replace(host="\ud800"), agent(3)._replace(port=65_536)]
        self.table.merge_list([agent(0), agent(1), *odd])
        self.assertEqual([agent(0), agent(1)], self.table.agents("gypsum-llm"))

    def test_an_agent_keeps_only_its_own_service(self) -> None:
        options = Options(role="agent", service="gypsum-llm")
        table = MemberTable(options, self.clock)
        table.merge_list([agent(0), agent(0, service="table-ops")])
        self.assertEqual([agent(0)], list(table.members.values()))
