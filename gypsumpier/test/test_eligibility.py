"""Tests of the momentary constraints: what keeps a request from an upstream now, and until when."""

import time
import unittest
from unittest import mock

from gypsumpier.eligibility.needs import Needs
from gypsumpier.eligibility.obstacle import Obstacle, Reason
from gypsumpier.ratelimit.limits import LimitNews
from gypsumpier.test.builders_gateway import engines_in, selector_of
from gypsumpier.test.builders_platform import ENGINES
from gypsumpier.upstream.peerloads import Load


class MomentaryConstraintTest(unittest.TestCase):
    """i-1 is in the entry's zone, i-2 in another one."""

    def setUp(self) -> None:
        self.now_s = 1000.0
        clock = mock.patch.object(time, "monotonic", lambda: self.now_s)
        clock.start()
        self.addCleanup(clock.stop)
        self.state = engines_in(("bac-a", "nam-a"), 2)
        self.selector = selector_of(self.state)
        self.near, self.far = self.state.upstreams["i-1"], self.state.upstreams["i-2"]

    def obstacle(self, name: str = "i-1") -> Obstacle | None:
        """Return the first momentary obstacle of an engine."""
        record = self.state.upstreams[name]
        return self.selector.eligibility.momentary_obstacle(record, Needs(ENGINES))

    def check(self, is_chosen: bool, is_usable: bool, is_kept: bool) -> None:
        """Check what may become of requests at i-1: a new one, one in a wait, one just chosen."""
        selector = self.selector
        self.assertEqual(is_chosen, bool(selector.with_capacity([self.near], set())))
        self.assertEqual(is_usable, selector.is_usable(self.near))
        self.assertEqual(is_kept, selector.may_still_serve(self.near, 0))

    # Guards against obstacles where nothing is known.
    def test_nothing_known_is_no_obstacle(self) -> None:
        self.assertIsNone(self.obstacle())
        self.check(True, True, True)

    # Guards against requests during a rest, and against more than are permitted after it.
    def test_a_rest_recalls_requests_and_what_follows_it_does_not(self) -> None:
        rests = self.selector.statements.rests
        rests.begin_rest(self.near, 3.0)
        self.assertEqual(Obstacle(Reason.REST, 1003.0), self.obstacle())
        self.check(False, False, False)
        self.now_s = 1003.0
        self.check(True, True, True)
        rests.take(self.near)
        self.assertEqual(Obstacle(Reason.REST), self.obstacle())
        self.check(False, True, True)

    # Guards against a limit that makes its upstream count as failed.
    def test_a_limit_spaces_requests_out(self) -> None:
        limits = self.selector.statements.limits
        limits.record_news(LimitNews(self.near.run_key(), 2.0, self.now_s), "test")
        limits.take(self.near)
        found = self.obstacle()
        assert found is not None and found.ends_at_s is not None
        self.assertIs(Reason.LIMIT, found.reason)
        self.check(False, True, True)
        self.now_s = found.ends_at_s
        self.assertIsNone(self.obstacle())

    # Guards against a backoff without an end, and one of an own zone as a whole.
    def test_a_backoff_of_the_upstream_or_of_another_zone(self) -> None:
        selector = self.selector
        selector.health.record_failure(self.near.run_key())
        self.assertEqual(Obstacle(Reason.BACKOFF, 1000.5), self.obstacle())
        self.check(False, False, True)
        selector.zone_health.record_failure(("nam-a", 0))
        selector.zone_health.record_failure(("bac-a", 0))
        self.assertEqual(Obstacle(Reason.BACKOFF, 1000.5), self.obstacle("i-2"))
        self.now_s = 1000.5
        self.assertEqual([None, None], [self.obstacle("i-1"), self.obstacle("i-2")])
        selector.health.begin(self.near.run_key())
        self.assertEqual(Obstacle(Reason.BACKOFF), self.obstacle())

    # Guards against an upstream whose address another one has taken, with an end of its backoff.
    def test_the_end_for_a_replaced_upstream_is_not_known(self) -> None:
        self.selector.health.record_replaced(self.near.run_key())
        self.assertEqual(Obstacle(Reason.BACKOFF), self.obstacle())

    # Guards against requests at an engine that other entries find silent.
    def test_a_silent_engine(self) -> None:
        self.selector.silences.known = frozenset({self.near.run_key()})
        self.assertIsNone(self.obstacle())
        self.selector.record_peer_loads("other", {"i-1": Load(1, 0)})
        self.assertEqual(Obstacle(Reason.SILENT), self.obstacle())
        self.check(False, False, True)
