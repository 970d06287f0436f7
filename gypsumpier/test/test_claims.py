"""Tests of the share of an upstream's free places that one entry takes, at a time that is set."""

import random
import time
import unittest
from unittest import mock

from gypsumpier.test.builders_gateway import engines, selector_of
from gypsumpier.upstream.claims import CLAIM_PERIOD_S, Claims


class ClaimsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 1000.0
        patch = mock.patch.object(time, "monotonic", lambda: self.now_s)
        patch.start()
        self.addCleanup(patch.stop)
        random.seed(1)

    # Guards against entries with equal shares that together take many more places than are free.
    def test_the_claims_of_many_entries_add_up_to_the_free_places(self) -> None:
        most = [Claims().most("i-1", 0, 12, 1 / 40) for _ in range(400)]
        self.assertAlmostEqual(12 * 400 / 40, sum(most), delta=30)
        self.assertLessEqual(max(most), 1)

    # Guards against a small share that never gets a place.
    def test_what_is_not_claimed_is_carried_over(self) -> None:
        claims, taken = Claims(), 0
        for _ in range(100):
            taken += claims.most("i-1", 0, 2, 1 / 20)
            self.now_s += CLAIM_PERIOD_S
        self.assertIn(taken, (9, 10, 11))

    # Guards against a second share of the same places before others can be known to take them.
    def test_a_claim_holds_until_loads_have_been_exchanged(self) -> None:
        claims = Claims()
        claims.remainder = 0.0
        self.assertEqual(3, claims.most("i-1", 0, 6, 0.5))
        self.assertEqual(3, claims.most("i-1", 3, 6, 0.5))
        self.assertEqual(3, claims.most("i-1", 2, 7, 0.5))
        self.now_s += CLAIM_PERIOD_S
        self.assertEqual(4, claims.most("i-1", 3, 2, 0.5))

    def test_claims_on_upstreams_that_are_gone_are_dropped(self) -> None:
        claims = Claims()
        claims.most("i-1", 0, 6, 0.5)
        claims.retain({"i-2"})
        self.assertEqual({}, claims.claims)

    # Guards against an entry that waits although nobody else does, or counts one that has gone.
    def test_an_entry_shares_with_those_that_report_queued_requests(self) -> None:
        selector = selector_of(engines(1))
        self.assertEqual(1.0, selector.waiting_share("gypsum-llm"))
        selector.record_waiting("gypsum-llm", 2)
        self.assertEqual(1.0, selector.waiting_share("gypsum-llm"))
        selector.record_peer_loads("front-bac-a-2", {}, {"gypsum-llm": 6})
        selector.record_peer_loads("front-bac-a-3", {})
        self.assertEqual(0.25, selector.waiting_share("gypsum-llm"))
        self.now_s += 10.0
        selector.drop_expired()
        self.assertEqual(1.0, selector.waiting_share("gypsum-llm"))


if __name__ == "__main__":
    unittest.main()
