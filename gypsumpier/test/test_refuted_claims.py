"""Tests of claims of peers that what a process knew itself shows to be too late."""

import unittest

from gypsumpier.test.builders_platform import MODEL
from gypsumpier.test.test_version_times import VersionTimesTest
from gypsumpier.test.versionprocess import FAR_PEER, OWN, Process, version_record


class RefutedClaimTest(VersionTimesTest):
    def claim(self, own: Process, age_s: float) -> None:
        """Let a process of another zone claim that version 2 was named ``age_s`` ago."""
        notice = own.notice() | {"proven": {MODEL: [[2, age_s]]}}
        own.feed.handle_notice(FAR_PEER, notice)

    def test_a_process_that_found_the_version_at_its_start(self) -> None:
        """Guards against a naming after the start, where the version was there already."""
        own = Process(OWN, version_record(2))
        self.at(6.0)
        self.claim(own, 0.5)
        self.assertLessEqual(own.named_at_s(), 0.0)

    def test_a_process_that_heard_of_the_version_before_its_record(self) -> None:
        """Guards against a naming after the first claim to the version."""
        own = Process(OWN)
        self.at(1.0)
        self.claim(own, 0.2)
        self.at(3.0)
        self.claim(own, 0.5)
        self.at(4.0)
        own.find_version(proven_ago_s=0.0)
        self.assertLessEqual(own.named_at_s(), 1.0)


if __name__ == "__main__":
    unittest.main()
