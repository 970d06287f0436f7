"""Tests of many versions of a model that are named within the time limit of the first."""

import unittest
from typing import Final

from hypothesis import given
from hypothesis import strategies as st

from gypsumpier.fleet.wantedversion import Evidence, WantedVersion, condensed
from gypsumpier.test.builders_platform import MODEL
from gypsumpier.test.test_version_times import VersionTimesTest
from gypsumpier.test.versionprocess import OWN, START_S, ZONE_PEER, Process

LIMIT_S: Final = 8.0
NOT_SETTLED: Final = float("-inf")


class ManyVersionsTest(VersionTimesTest):
    # Guards against requests on replaced weights: the ninth version made the first one forgotten.
    def test_every_version_is_due_at_its_time_whatever_follows(self) -> None:
        for count in (9, 20, 100):
            for spacing_s in (0.01, 0.5, 3.0):
                with self.subTest(count=count, spacing_s=spacing_s):
                    self.check_namings(count, spacing_s)

    def check_namings(self, count: int, spacing_s: float) -> None:
        """Name versions; check what is due at each time here and at a process that just started."""
        self.at(0.0)
        own = Process(OWN)
        for number in range(count):
            self.at(number * spacing_s)
            own.state.record_proof(self.now_s)
            own.read_version(2 + number)
        started = Process(ZONE_PEER)
        started.feed.handle_feed(own.own, own.feed_message())
        for number in range(count):
            just_after_s = START_S + number * spacing_s + 0.001
            self.assertEqual(2 + number, own.state.due_version(MODEL, just_after_s))
        self.assertEqual(0, own.state.due_version(MODEL, START_S - 1.0))


class CondensedTest(unittest.TestCase):
    # Guards against a version that is due too late, or a list that grows without a bound.
    @given(st.lists(st.floats(0, 100), min_size=1, max_size=60), st.integers(1, 20))
    def test_no_version_is_due_too_late(self, spacings_s: list[float], most: int) -> None:
        named, at_s = [], 0.0
        for number, spacing_s in enumerate(spacings_s):
            at_s += spacing_s
            named.append(WantedVersion(number, at_s, Evidence.OBSERVED))
        kept = condensed(named, most, NOT_SETTLED)
        self.assertLessEqual(len(kept), most)
        self.assertEqual(named[-1].version, kept[-1].version)
        for wanted in named:
            at_s = wanted.earliest_named_at_s
            due = [found.version for found in kept if found.earliest_named_at_s <= at_s]
            self.assertGreaterEqual(max(due, default=-1), wanted.version)

    def test_versions_that_are_due_in_any_case_go_first(self) -> None:
        times_s = (0.0, 5.0, 50.0, 50.1, 50.2)
        named = [WantedVersion(n, at_s, Evidence.OBSERVED) for n, at_s in enumerate(times_s)]
        kept = condensed(named, 4, 10.0)
        self.assertEqual([1, 2, 3, 4], [found.version for found in kept])
        self.assertEqual(0.0, kept[0].earliest_named_at_s)


if __name__ == "__main__":
    unittest.main()
