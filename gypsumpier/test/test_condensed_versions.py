"""Tests of versions that share the entry of a newer one, as too many were named."""

import unittest
from typing import Final

from gypsumpier.fleet.state import VERSIONS_KEPT
from gypsumpier.test.builders_platform import MODEL
from gypsumpier.test.test_version_times import VersionTimesTest
from gypsumpier.test.versionprocess import OWN, Process

SPACING_S: Final = 4.0
LAST_GAP_S: Final = 3.0


class CondensedVersionsTest(VersionTimesTest):
    def test_a_peer_that_knows_fewer_versions_does_not_extend_the_limit(self) -> None:
        """Guards against the newer version's own limit: a proof of it replaces the older time."""
        own = Process(OWN)
        newest = 2 + VERSIONS_KEPT
        for version in range(2, newest):
            self.at(version * SPACING_S)
            own.read_version(version)
        replaced_s = self.now_s
        self.now_s += LAST_GAP_S
        own.read_version(newest)
        self.assertEqual(newest, own.state.due_version(MODEL, replaced_s + 0.1))
        peer_ages = [[newest - 1, LAST_GAP_S], [newest, 0.0]]
        own.state.merge_version_ages({MODEL: peer_ages})
        self.assertGreaterEqual(own.state.due_version(MODEL, replaced_s + 0.1), newest - 1)


if __name__ == "__main__":
    unittest.main()
