"""Tests of the measurement's evaluation: it must detect reverted, late and lost revisions."""

import unittest

from misc.documents.arrivals import Arrival, InstanceLog, Start, reverts
from misc.documents.editor import Published
from misc.documents.faults import EVERY_PLACE, Window
from misc.documents.timing import in_force_s, replacement_seconds

NAME = "table-ops"
PUBLISHED = Published(NAME, 5, 100.0)


def log(*arrivals: tuple[int, float], run: int = 1) -> InstanceLog:
    """Return a log with these revisions and times."""
    found = [Arrival(NAME, revision, at_s, run) for revision, at_s in arrivals]
    return InstanceLog(found, [Start(1, 90.0), Start(2, 95.0)][:run])


class TimingTest(unittest.TestCase):
    def test_a_lower_revision_counts_as_a_revert(self) -> None:
        self.assertEqual(0, reverts(log((4, 99.0), (5, 101.0), (5, 102.0))))
        self.assertEqual(1, reverts(log((5, 101.0), (4, 102.0))))

    def test_a_higher_revision_counts_as_in_force_and_a_lower_one_does_not(self) -> None:
        self.assertEqual(2.0, in_force_s(PUBLISHED, log((4, 101.0), (6, 102.0)), []))
        self.assertIsNone(in_force_s(PUBLISHED, log((4, 101.0)), []))

    def test_only_a_fault_that_covers_the_publication_delays_the_start_of_timing(self) -> None:
        covered = Window("service_down", EVERY_PLACE, 99.0, 110.0)
        beginning = Window("killed_watcher", "entry/a/0", 100.2, 105.0)
        later = Window("killed_watcher", "entry/a/0", 101.0, 105.0)
        arrived = log((5, 111.0))
        self.assertEqual(1.0, in_force_s(PUBLISHED, arrived, [covered]))
        self.assertEqual(6.0, in_force_s(PUBLISHED, arrived, [beginning]))
        self.assertEqual(11.0, in_force_s(PUBLISHED, arrived, [later]))

    def test_a_starting_instance_has_to_get_what_was_published_before(self) -> None:
        logs = {"entry/a/0": log((4, 96.0), (5, 99.0), run=2)}
        shown = [Published(NAME, 4, 80.0), Published(NAME, 5, 94.0)]
        self.assertEqual([4.0], replacement_seconds(shown, logs, []))
        stale = Window("service_stale", EVERY_PLACE, 93.0, 98.0)
        self.assertEqual([1.0], replacement_seconds(shown, logs, [stale]))
