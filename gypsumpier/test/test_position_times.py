"""Tests of the times by which what the store records is dated."""

import unittest

from gypsumpier.fleet.position import Position
from gypsumpier.fleet.positiontimes import TIMES_KEPT, PositionTimes


class PositionTimesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.times = PositionTimes()

    def record(self, *readings: tuple[int, float]) -> None:
        """Record revisions of era 0 with their times."""
        for revision, at_s in readings:
            self.times.record(Position(0, revision), at_s)

    def last_before(self, revision: int, era: int = 0) -> float:
        return self.times.last_before(Position(era, revision))

    def test_a_record_is_dated_by_the_last_reading_of_an_earlier_position(self) -> None:
        """Guards against a version that counts from a reading which already tells of it."""
        self.record((5, 1.0), (5, 2.0), (8, 3.0))
        self.assertEqual([2.0, 2.0, 3.0], [self.last_before(found) for found in (6, 8, 9)])
        self.assertEqual(float("-inf"), self.last_before(5))

    def test_a_reading_that_is_overtaken_does_not_take_the_time_back(self) -> None:
        """Guards against a bound that is earlier than need be: answers come out of order."""
        self.record((5, 2.0), (5, 1.0), (4, 1.5))
        self.assertEqual(2.0, self.last_before(6))

    def test_a_newer_era_is_later_than_all_revisions_of_an_older_one(self) -> None:
        """Guards against dating by revisions that the store has given out twice."""
        self.record((90, 1.0))
        self.assertEqual(1.0, self.last_before(7, era=1))
        self.times.record(Position(1, 6), 2.0)
        self.assertEqual([1.0, 2.0], [self.last_before(91), self.last_before(7, era=1)])

    def test_known_positions_leave_one_time(self) -> None:
        """Guards against a table that grows with each change, and against losing the bound."""
        self.record(*((revision, float(revision)) for revision in range(1, 20)))
        self.times.forget_before(Position(0, 20))
        self.assertEqual((1, 19.0), (len(self.times.latest_s), self.last_before(20)))

    def test_the_first_bound_outlives_many_unknown_positions(self) -> None:
        """Guards against a version due at once, where changes are read late."""
        self.record(*((revision, float(revision)) for revision in range(1, 3 * TIMES_KEPT)))
        self.assertEqual(TIMES_KEPT, len(self.times.latest_s))
        self.assertEqual(1.0, self.last_before(2))
        self.assertEqual(3.0 * TIMES_KEPT - 1, self.last_before(3 * TIMES_KEPT))


if __name__ == "__main__":
    unittest.main()
