"""Tests of the detection of stalls of the process."""

import unittest
from unittest import mock

from gypsumpier.fleet import stall
from gypsumpier.fleet.stall import BACKLOG_MAX_S, STALL_MIN_S, TICK_S, StallMonitor
from gypsumpier.log import LOGGER, record_fields


class StallMonitorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 100.0
        patch = mock.patch.object(stall, "boot_time_s", lambda: self.now_s)
        patch.start()
        self.addCleanup(patch.stop)
        self.monitor = StallMonitor()

    def tick_at(self, seconds: float) -> None:
        """Tick ``seconds`` after the start of the test."""
        self.now_s = 100.0 + seconds
        self.monitor.tick()

    def test_a_process_that_runs_reads_data_as_it_arrives(self) -> None:
        self.tick_at(TICK_S)
        self.tick_at(TICK_S + STALL_MIN_S - 0.01)
        self.now_s += TICK_S
        self.assertEqual(self.now_s, self.monitor.running_since_s())

    def test_data_that_is_read_after_a_stall_may_have_waited_since_its_begin(self) -> None:
        """Guards against taking the end of a stall for the time at which data arrived."""
        self.tick_at(1.0 * TICK_S)
        with self.assertLogs(LOGGER, "INFO") as logged:
            self.tick_at(4.0)
        fields = record_fields(logged.records[0])
        self.assertEqual(("process_stalled", 3.95), (fields["event"], fields["stalled_s"]))
        for later_s in (4.0, 4.0 + BACKLOG_MAX_S):
            self.now_s = 100.0 + later_s
            self.assertAlmostEqual(100.0 + TICK_S, self.monitor.running_since_s())

    def test_data_that_is_read_before_the_first_tick_after_a_stall_may_have_waited(self) -> None:
        """Guards against relying on the order in which timers and sockets are handled."""
        self.now_s = 103.0
        self.assertEqual(100.0, self.monitor.running_since_s())

    def test_stalls_in_quick_succession_count_as_one(self) -> None:
        """Guards against news that waited through two stalls and seems to be of the second."""
        self.tick_at(2.0)
        self.tick_at(2.5)
        self.assertEqual(100.0, self.monitor.running_since_s())

    def test_a_stall_that_is_over_for_long_has_no_effect(self) -> None:
        self.tick_at(2.0)
        for number in range(1, round((BACKLOG_MAX_S + 1.0) / TICK_S)):
            self.tick_at(2.0 + number * TICK_S)
        self.assertEqual(self.now_s, self.monitor.running_since_s())


if __name__ == "__main__":
    unittest.main()
