"""Tests of which copies the checker counts as cut by a graceful stop."""

import unittest

from misc.faulting.actions import Window
from misc.faulting.checker import cut_copies
from misc.faulting.sending import CUT, DONE, UNKNOWN, Copy

STOP = Window("stop_agent", "table-ops/bac-a/0", True, 20.0, 25.0)
KILL = Window("kill_agent", "lab-portal/bac-a/0", False, 1.0, 4.0)


def make_copy(key: str, sent_at_s: float, ended_at_s: float, told: str, code: str = "") -> Copy:
    """Return a copy of a keyed call."""
    return Copy("keyed", "entry/nam-a/1", key, b"", sent_at_s, ended_at_s, told, code)


class CutCopiesTest(unittest.TestCase):
    def test_a_copy_that_a_stop_leaves_without_an_outcome_counts(self) -> None:
        cut = make_copy("k", 21.0, 22.0, UNKNOWN, "key_outcome_unknown")
        self.assertEqual([cut], cut_copies([cut], [STOP, KILL]))
        answered = make_copy("k", 21.0, 22.0, DONE)
        self.assertEqual([], cut_copies([answered], [STOP, KILL]))

    def test_a_copy_that_reports_an_earlier_crash_does_not_count(self) -> None:
        """A key lost in a crash must not count when later copies report it during a stop.

        With seed 7, a copy of order-67, in flight from 1.7 to 5.8 s, was lost to a killed agent.
        Its four later copies, answered within 20 ms, were counted because a stop was in progress.
        """
        lost = make_copy("k", 1.7, 5.8, UNKNOWN, "outcome_unknown")
        repeated = make_copy("k", 21.0, 21.02, UNKNOWN, "key_outcome_unknown")
        self.assertEqual([], cut_copies([lost, repeated], [STOP, KILL]))

    def test_every_copy_counts_where_a_stop_lost_the_first(self) -> None:
        lost = make_copy("k", 21.0, 22.0, CUT, "no_answer")
        repeated = make_copy("k", 40.0, 40.02, UNKNOWN, "key_outcome_unknown")
        self.assertEqual([lost, repeated], cut_copies([lost, repeated], [STOP, KILL]))

    def test_a_copy_concurrent_with_the_lost_one_counts_by_its_own_time(self) -> None:
        lost = make_copy("k", 1.7, 21.5, UNKNOWN, "outcome_unknown")
        concurrent = make_copy("k", 21.0, 22.0, UNKNOWN, "key_outcome_unknown")
        self.assertEqual([concurrent], cut_copies([lost, concurrent], [STOP, KILL]))

    def test_a_caller_timeout_is_no_lost_outcome(self) -> None:
        timed_out = make_copy("k", 1.7, 1.9, CUT, "caller_timeout")
        cut = make_copy("k", 21.0, 22.0, UNKNOWN, "key_outcome_unknown")
        self.assertEqual([cut], cut_copies([timed_out, cut], [STOP, KILL]))

    def test_the_lost_outcome_of_another_key_does_not_matter(self) -> None:
        lost = make_copy("other", 1.7, 5.8, UNKNOWN, "outcome_unknown")
        cut = make_copy("k", 21.0, 22.0, UNKNOWN, "key_outcome_unknown")
        self.assertEqual([cut], cut_copies([lost, cut], [STOP, KILL]))
