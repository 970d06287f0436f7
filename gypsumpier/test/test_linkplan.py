"""Tests of the link plan and of the links that follow it."""

import asyncio
import unittest
from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpier.document.service import ServiceDocument
from gypsumpier.document.table import DocumentTable
from gypsumpier.document.validator import parse
from gypsumpier.entry.linkplan import ENTRIES_PER_AGENT_MIN, plan_links
from gypsumpier.entry.links import Links
from gypsumpier.external.membership import Member
from gypsumpier.member.table import MemberTable
from gypsumpier.options import Options
from gypsumpier.test.builders_document import document_body, revised
from gypsumpier.test.network import Network
from gypsumpier.test.virtual import VirtualClock, run

ZONE = "zone-0"
SERVICE = "gypsum-llm"
OWN_OPTIONS = Options(name=f"entry/{ZONE}/0", zone=ZONE)
HOUR_S = 3600.0


def member(name: str, role: str, zone: str, service: str = "") -> Member:
    """Return a fleet member with a fixed address."""
    return Member(name, "1", role, service, "region", zone, "127.0.0.1", 1, 2, False)


def fleet(entries: int, agents: int, zones: int = 1, service: str = SERVICE) -> list[Member]:
    """Return a fleet with that many entries and agents in each zone."""
    names = [f"zone-{number}" for number in range(zones)]
    return [
        member(f"{kind}/{zone}/{number}", role, zone, own)
        for zone in names
        for kind, role, own, count in (
            ("entry", "entry", "", entries),
            (service, "agent", service, agents),
        )
        for number in range(count)
    ]


def documents(**fields: object) -> dict[str, ServiceDocument]:
    """Return the documents by service: one model service with these fields."""
    return {SERVICE: parse(document_body(service=SERVICE, **fields))}


def plans(members: list[Member], **fields: object) -> dict[str, set[str]]:
    """Return the planned agents of every entry in the zone."""
    entries = [m.name for m in members if m.role == "entry" and m.zone == ZONE]
    return {
        name: plan_links(Options(name=name, zone=ZONE), members, documents(**fields))
        for name in entries
    }


class LinkPlanTest(unittest.TestCase):
    @given(st.integers(2, 12), st.integers(1, 400))
    @settings(derandomize=True, deadline=None, max_examples=30)
    def test_each_agent_has_its_entries_and_each_entry_a_bounded_share(
        self, entries: int, agents: int
    ) -> None:
        chosen = plans(fleet(entries, agents))
        holders = Counter(name for names in chosen.values() for name in names)
        self.assertEqual(agents, len(holders))
        self.assertGreaterEqual(min(holders.values()), min(ENTRIES_PER_AGENT_MIN, entries))
        mean = sum(holders.values()) / entries
        self.assertLessEqual(
            mean, max(Options().zone_links, ENTRIES_PER_AGENT_MIN * agents / entries)
        )

    def test_an_entry_that_leaves_moves_only_its_own_links(self) -> None:
        members = fleet(10, 333)
        leaving_entry = f"entry/{ZONE}/3"
        before = plans(members)
        after = plans([m for m in members if m.name != leaving_entry])
        for name, names in after.items():
            self.assertLessEqual(before[name] - names, set(), name)
            self.assertLessEqual(names - before[name], before[leaving_entry], name)

    def test_all_other_zones_get_a_few_links_of_each_service(self) -> None:
        members = fleet(10, 50, zones=4)
        chosen: set[str] = set()
        for names in plans(members).values():
            by_zone = Counter(name.split("/")[1] for name in names)
            self.assertEqual(50, by_zone.pop(ZONE))
            self.assertEqual(Options().other_zone_links, sum(by_zone.values()))
            self.assertEqual(3, len(by_zone), "a zone has no link although there are enough")
            chosen |= names
        # Ten entries that choose independently reach many more agents than a single entry.
        others = [name for name in chosen if name.split("/")[1] != ZONE]
        self.assertGreater(len(others), 5 * Options().other_zone_links)

    def test_links_do_not_grow_with_the_zones(self) -> None:
        counts = {
            zones: len(plans(fleet(2, 8, zones))[OWN_OPTIONS.name]) for zones in (2, 4, 8, 16)
        }
        self.assertEqual({8 + Options().other_zone_links}, set(counts.values()))

    def test_a_service_whose_requests_may_not_run_twice_links_to_all_agents(self) -> None:
        routes = [{"prefix": "/", "methods": ["POST"], "idempotent": False, "priority": 0}]
        for names in plans(fleet(4, 200, zones=2), routes=routes).values():
            self.assertEqual(400, len(names))

    def test_an_entry_without_documents_dials_a_share_only(self) -> None:
        options = Options(name=f"entry/{ZONE}/0", zone=ZONE)
        unknown = plan_links(options, fleet(4, 200, zones=36), {})
        self.assertEqual(plans(fleet(4, 200, zones=36))[options.name], unknown)


class LinksTest(unittest.TestCase):
    def test_links_follow_the_plan_and_end_once_idle(self) -> None:
        async def scenario() -> None:
            network, members, table = (
                Network(),
                MemberTable(OWN_OPTIONS, VirtualClock()),
                documents_table(),
            )
            network.listen("127.0.0.1", 1, lambda stream: asyncio.sleep(HOUR_S))
            dialer = network.dialer("entry")
            links = Links(OWN_OPTIONS, VirtualClock(), dialer, Random(1), members, None, table)
            members.merge_list(fleet(1, 100))
            await links.start()
            await asyncio.sleep(1)
            self.assertEqual(100, len(links.links))
            members.merge_list(fleet(10, 100))
            await asyncio.sleep(1)
            self.assertEqual(plan_links(OWN_OPTIONS, fleet(10, 100), documents()), set(links.links))
            self.assertLess(len(links.links), 100)
            self.assertFalse(links.unplanned)
            await links.stop()

        run(scenario())


def documents_table() -> DocumentTable:
    """Return a table with the model service's document in force."""
    table = DocumentTable(VirtualClock())
    table.offer(revised(SERVICE), "test")
    return table


if __name__ == "__main__":
    unittest.main()
