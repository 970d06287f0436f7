"""The ledger's memory limits, and when a recovering home may run a key that it doesn't know."""

import unittest
import uuid

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpier.idempotency.key import KeyId, created_at_s
from gypsumpier.idempotency.ledger import RECORD_OVERHEAD_BYTES, Ledger
from gypsumpier.idempotency.record import StoredAnswer, Verdict
from gypsumpier.idempotency.recovery import EntryId, HomeRecovery, RecoveryLimits

LIMITS = RecoveryLimits(horizon_s=100.0, settle_s=3.0, clock_skew_s=1.0)
ONE, OTHER = EntryId("entry/a/0", "1"), EntryId("entry/a/1", "1")
WALL_S = 1_700_000_000.0


def key_created_at(wall_s: float) -> str:
    """Return a time-ordered UUID of that time."""
    return str(uuid.UUID(int=(int(wall_s * 1000) << 80) | (7 << 76) | (2 << 62)))


def recovery_with_reports(started_at_s: float = 0.0) -> HomeRecovery:
    """Return a recovery in which both entries are listed after settling and have reported."""
    recovery = HomeRecovery(LIMITS, started_at_s)
    recovery.record_member_list(ONE, frozenset([ONE, OTHER]), started_at_s + LIMITS.settle_s)
    recovery.record_report(ONE, 0)
    recovery.record_report(OTHER, 0)
    return recovery


class RecoveryTest(unittest.TestCase):
    def test_a_member_list_read_before_settling_does_not_complete_recovery(self) -> None:
        recovery = HomeRecovery(LIMITS, 0.0)
        recovery.record_member_list(ONE, frozenset([ONE]), 1.0)
        recovery.record_report(ONE, 0)
        self.assertGreater(recovery.wait_s("opaque", 4.0, WALL_S), 0)
        recovery.record_member_list(ONE, frozenset([ONE, OTHER]), 4.0)
        self.assertGreater(recovery.wait_s("opaque", 4.0, WALL_S), 0)
        recovery.record_report(OTHER, 0)
        self.assertEqual(0, recovery.wait_s("opaque", 4.0, WALL_S))

    def test_a_report_for_earlier_homes_does_not_count(self) -> None:
        recovery = recovery_with_reports()
        recovery.restart(7, 10.0)
        recovery.record_member_list(ONE, frozenset([ONE, OTHER]), 14.0)
        recovery.record_report(ONE, 7)
        self.assertGreater(recovery.wait_s("opaque", 14.0, WALL_S), 0)
        recovery.record_report(OTHER, 7)
        self.assertEqual(0, recovery.wait_s("opaque", 14.0, WALL_S))

    def test_after_a_loss_only_keys_that_are_provably_younger_run(self) -> None:
        recovery = recovery_with_reports()
        recovery.record_loss(EntryId("entry/a/2", "1"), 2.0)
        wall_s = WALL_S + 20.0
        self.assertGreater(recovery.wait_s("opaque", 20.0, wall_s), 0)
        self.assertGreater(recovery.wait_s(key_created_at(WALL_S + 5.0), 20.0, wall_s), 0)
        self.assertEqual(0, recovery.wait_s(key_created_at(WALL_S + 7.0), 20.0, wall_s))
        self.assertGreater(recovery.wait_s(key_created_at(WALL_S + 60.0), 20.0, wall_s), 0)
        self.assertEqual(0, recovery.wait_s("opaque", 102.0, wall_s + 82.0))

    def test_recovery_needs_a_member_list(self) -> None:
        recovery = HomeRecovery(LIMITS, 0.0)
        recovery.record_report(ONE, 0)
        self.assertGreater(recovery.wait_s("opaque", 6.0, WALL_S), 0)

    def test_an_entry_that_only_one_other_lists_is_waited_for(self) -> None:
        recovery = recovery_with_reports()
        recovery.record_member_list(OTHER, frozenset([ONE, OTHER, EntryId("entry/a/2", "1")]), 5.0)
        self.assertGreater(recovery.wait_s("opaque", 6.0, WALL_S), 0)

    @given(st.uuids(version=4))
    @settings(derandomize=True, deadline=None, max_examples=50)
    def test_only_time_ordered_keys_prove_their_age(self, other: uuid.UUID) -> None:
        self.assertIsNone(created_at_s(str(other)))
        self.assertAlmostEqual(WALL_S, created_at_s(key_created_at(WALL_S)) or 0.0, delta=0.01)


class LedgerTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 3000)), max_size=60))
    @settings(derandomize=True, deadline=None, max_examples=100)
    def test_memory_is_bounded_and_no_key_in_retention_runs_again(
        self, calls: list[tuple[int, int]]
    ) -> None:
        ledger = Ledger(20 * RECORD_OVERHEAD_BYTES, 8000, 100.0)
        ran: set[int] = set()
        for number, size in calls:
            key_id = KeyId("lab", str(number))
            verdict = ledger.claim(key_id, "f", 1.0, 1.0).verdict
            if verdict is Verdict.RUN:
                self.assertNotIn(number, ran)
                ran.add(number)
                ledger.finish(key_id, StoredAnswer(b"x" * size), 1.0)
            elif number in ran:
                self.assertIn(verdict, (Verdict.DONE, Verdict.ANSWER_GONE))
            else:
                self.assertIs(Verdict.FULL, verdict)
            self.assertLessEqual(len(ledger.records), 20)
            self.assertLessEqual(ledger.answer_bytes, 8000)
        kept = [record.answer for record in ledger.records.values() if record.answer]
        self.assertEqual(len(kept), len(ledger.answers))

    def test_a_running_key_outlives_its_retention(self) -> None:
        ledger = Ledger(10_000, 10_000, 10.0)
        key_id = KeyId("lab", "k")
        ledger.claim(key_id, "f", 0.0, 0.0)
        self.assertIs(Verdict.JOIN, ledger.claim(key_id, "f", 50.0, 50.0).verdict)

    def test_what_may_have_run_is_never_refused(self) -> None:
        ledger = Ledger(10_000, 10_000, 100.0)
        key_id = KeyId("lab", "k")
        ledger.claim(key_id, "f", 0.0, 0.0)
        ledger.fail(key_id, 1.0)
        self.assertFalse(ledger.refuse(key_id, "f", 2.0))
        self.assertIs(Verdict.UNKNOWN, ledger.claim(key_id, "f", 3.0, 3.0).verdict)


if __name__ == "__main__":
    unittest.main()
