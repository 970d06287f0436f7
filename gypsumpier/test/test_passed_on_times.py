"""Tests of the time of a version that two processes pass on to each other again and again."""

import unittest
from typing import Final

from gypsumpier.mesh.feed import NOTICE
from gypsumpier.test.builders_frame import SettableClock
from gypsumpier.test.network import Link
from gypsumpier.test.test_version_times import VersionTimesTest
from gypsumpier.test.versionprocess import FAR_PEER, OWN, Process
from gypsumpier.wire.connection import Connection
from gypsumpier.wire.frame import Frame

LATENCY_S: Final = 0.08
"""Seconds that each message takes between two regions."""
ROUNDS: Final = 4
"""Rounds of notices within a version's limit, as empty watches end."""


class PassedOnTimeTest(VersionTimesTest):
    def test_a_time_that_goes_back_and_forth_becomes_no_later(self) -> None:
        """Guards against adding the latency of a link each time: the later of two proofs holds."""
        near, far = Process(OWN), Process(FAR_PEER)
        clock = SettableClock()
        ends = {
            process.own: Connection(Link("one", "other").accepted, clock, 1.0, 3.0)
            for process in (near, far)
        }
        self.at(2.5)
        for process in (near, far):
            process.find_version(proven_ago_s=0.0)
        self.assertAlmostEqual(0.0, near.named_at_s())
        for _ in range(ROUNDS):
            for sender, receiver in ((near, far), (far, near)):
                frame = Frame(NOTICE, "", 0, self.now_s, sender.notice())
                self.now_s += LATENCY_S
                connection = ends[receiver.own]
                connection.received_at_s = self.now_s
                connection.record_clock_difference(frame)
                # As after a handshake: the frame answers one that took as long.
                connection.record_answer(frame.sent_at_s - LATENCY_S, frame)
                delay_s = connection.longest_transit_s(frame)
                receiver.feed.handle_notice(sender.own, frame.payload, delay_s)
        self.assertLessEqual(near.named_at_s(), LATENCY_S)


if __name__ == "__main__":
    unittest.main()
