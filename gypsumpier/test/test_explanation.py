"""Tests of the explanation of a choice: it names the chosen upstream, and changes nothing."""

import copy
import random
import time
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpier.eligibility.explanation import Explanation, explain
from gypsumpier.eligibility.needs import Needs
from gypsumpier.eligibility.obstacle import Reason
from gypsumpier.ratelimit.limits import LimitNews
from gypsumpier.test.builders_gateway import selector_of
from gypsumpier.test.builders_platform import ENGINES, PLAIN, ZONE
from gypsumpier.test.builders_regions import REGIONS_BY_ZONE, regional_fleet
from gypsumpier.upstream.peerloads import Load
from gypsumpier.upstream.selector import UpstreamSelector

FULL = 17
UNREAD = 30_000
"""Tokens of prompts that an engine takes most of a second to read."""


def regional_selector(zones: list[str]) -> UpstreamSelector:
    """Return the selector of an entry with one engine in each of the zones."""
    selector = selector_of(regional_fleet(zones))
    selector.set_regions(REGIONS_BY_ZONE)
    return selector


class ExplanationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.selector = regional_selector(["bac-a", "bac-b", "nam-a", "new-a", "bac-a", "bac-a"])

    def explanation(self, regions: frozenset[str] | None = None, zone: str = ZONE) -> Explanation:
        """Return the explanation for a request to the engines."""
        return explain(self.selector, Needs(ENGINES, 0, regions), zone)

    # Guards against an upstream that is left out, or that has the reason of another one.
    def test_each_upstream_has_its_obstacle_or_its_delay(self) -> None:
        records = self.selector.fleet_state.upstreams
        self.selector.health.record_failure(records["i-2"].run_key())
        loads = {"i-5": Load(FULL, 0), "i-6": Load(1, UNREAD)}
        self.selector.record_peer_loads("other", loads)
        found = self.explanation(frozenset({"bac"}))
        reasons = [it.obstacle.reason if it.obstacle else None for it in found.upstreams]
        expected = [None, Reason.BACKOFF, Reason.REGION, Reason.REGION, Reason.FULL, Reason.PROMPTS]
        self.assertEqual(expected, reasons)
        self.assertEqual(
            [reason is None for reason in expected],
            [it.delay_s is not None for it in found.upstreams],
        )
        self.assertEqual(
            ["bac", "bac", "nam", "", "bac", "bac"], [it.region for it in found.upstreams]
        )
        self.assertEqual("i-1", found.chosen)

    def test_no_upstream_is_chosen_where_none_may_serve(self) -> None:
        found = self.explanation(frozenset())
        self.assertIsNone(found.chosen)
        self.assertEqual({Reason.REGION}, {it.obstacle and it.obstacle.reason for it in found[2]})
        self.assertEqual([], explain(self.selector, Needs(PLAIN), ZONE).upstreams)

    def test_the_zone_that_is_asked_for_is_preferred(self) -> None:
        self.assertEqual("i-3", self.explanation(zone="nam-a").chosen)

    # Guards against a question that costs a request its turn, or that warms a cache or a bucket.
    def test_nothing_changes(self) -> None:
        now_s = time.monotonic()
        run = self.selector.fleet_state.upstreams["i-1"].run_key()
        limits = self.selector.statements.limits
        limits.record_news(LimitNews(run, 2.0, now_s), "test")
        self.selector.statements.rests.begin_rest(self.selector.fleet_state.upstreams["i-2"], 30.0)
        before, drawn = self.state(), random.getstate()
        with mock.patch.object(self.selector, "begin") as begin:
            self.explanation()
        begin.assert_not_called()
        self.assertIsNone(limits.known[run].bucket)
        self.assertEqual((before, drawn), (self.state(), random.getstate()))

    def state(self) -> list[object]:
        """Return a copy of what the selector knows."""
        selector = self.selector
        return copy.deepcopy(
            [
                selector.own_loads,
                selector.health.health_by_run,
                selector.known_candidates,
                selector.statements.rests.known,
                selector.statements.limits.known,
                selector.claims.__dict__,
            ]
        )

    # Guards against an explanation that differs from the choice it explains.
    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(st.data())
    def test_it_names_the_one_that_is_chosen(self, data: st.DataObject) -> None:
        zones = data.draw(st.lists(st.sampled_from(["bac-a", "bac-b", "nam-a"]), min_size=1))
        selector = regional_selector(zones)
        records = list(selector.fleet_state.upstreams.values())
        some = st.lists(st.sampled_from(records), max_size=len(records))
        loads = {it.id: Load(data.draw(st.integers(0, FULL)), 0) for it in data.draw(some)}
        selector.record_peer_loads("other", loads)
        for record in data.draw(some):
            selector.health.record_outcome(record.run_key(), failed=True)
            selector.health.record_outcome(record.run_key(), failed=True)
        for record in data.draw(some):
            selector.health.record_failure(record.run_key())
        regions = data.draw(st.sampled_from([None, frozenset({"bac"}), frozenset({"nam"})]))
        chosen = selector.choose(selector.candidates(ENGINES, 0, regions), set())
        found = explain(selector, Needs(ENGINES, 0, regions), ZONE)
        self.assertEqual(chosen.id if chosen else None, found.chosen)
