"""Tests of the retry budget, which all entries share."""

import unittest

from gypsumpier.gateway.retries import ENTRIES_PER_ZONE, RetryBudget
from gypsumpier.test.builders_platform import BOUNDS


class RetryBudgetTest(unittest.TestCase):
    def spent(self, budget: RetryBudget) -> int:
        """Spend the budget and return how many retries it allowed."""
        count = 0
        while budget.spend("engines"):
            count += 1
        return count

    def test_all_entries_together_stay_within_the_budget(self) -> None:
        for entries in (3, 9, 42):
            with self.subTest(entries=entries):
                total = 0
                for _ in range(entries):
                    budget = RetryBudget(BOUNDS, 1)
                    budget.set_entry_count(entries)
                    for _ in range(100):
                        budget.record_request("engines")
                    total += self.spent(budget)
                allowed = BOUNDS.retry_share * 100 * entries + BOUNDS.retry_slack
                self.assertLessEqual(total, allowed)

    def test_an_entry_that_knows_no_other_takes_no_more_than_its_part(self) -> None:
        """Guards against exceeding the budget after a restart of everything.

        Each entry knows no other entry for a moment.
        """
        zones = 3
        budget = RetryBudget(BOUNDS, zones)
        budget.set_entry_count(1)
        share = self.spent(budget)
        self.assertLessEqual(share * zones * ENTRIES_PER_ZONE, BOUNDS.retry_slack)

    def test_services_do_not_share_their_requests(self) -> None:
        budget = RetryBudget(BOUNDS, 3)
        for _ in range(1000):
            budget.record_request("plain")
        self.assertLess(self.spent(budget), 20)
