"""Tests of a process's beliefs: proofs, old news, lapsed records, versions that never go back."""

import unittest
from unittest import mock

from gypsumpier.fleet import state as module
from gypsumpier.fleet.change import Batch
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.test.builders_platform import (
    MODEL,
    beliefs_of,
    configuration_record,
    engine_record,
    later,
    record,
)


class BeliefsTest(unittest.TestCase):
    def test_a_proof_is_as_old_as_the_answer_that_gave_it(self) -> None:
        beliefs = beliefs_of(configuration_record(), proven_ago_s=3.0)
        self.assertAlmostEqual(3.0, beliefs.proof_age_s(), delta=0.5)

    def test_an_older_proof_never_replaces_a_newer_one(self) -> None:
        beliefs = beliefs_of(configuration_record(), proven_ago_s=1.0)
        later(beliefs, engine_record(1, 2), proven_ago_s=4.0)
        self.assertLess(beliefs.proof_age_s(), 1.5)

    def test_a_configuration_is_never_taken_back(self) -> None:
        beliefs = beliefs_of(configuration_record(5, version=7))
        later(beliefs, configuration_record(6, version=3))
        beliefs.apply(Batch(0, 4, [configuration_record(4, version=9)], True, 0.0), 0.0, "test")
        assert beliefs.configuration is not None
        self.assertEqual(7, beliefs.configuration.version)

    def test_a_malformed_configuration_leaves_the_last_one_in_force(self) -> None:
        beliefs = beliefs_of(configuration_record(1, version=7))
        later(beliefs, record("op/config", {"version": 8}, 2))
        assert beliefs.configuration is not None
        self.assertEqual(7, beliefs.configuration.version)

    def test_a_wanted_version_never_goes_back(self) -> None:
        beliefs = beliefs_of(record(f"op/version/{MODEL}", {"model": MODEL, "version": 3}, 1))
        later(beliefs, record(f"op/version/{MODEL}", {"model": MODEL, "version": 2}, 2))
        self.assertEqual(3, beliefs.versions[MODEL][-1].version)

    def test_a_version_that_was_named_while_nothing_was_heard_may_be_due_already(self) -> None:
        """A process that restarts or returns can't tell how long ago a version was named."""
        wanted = record(f"op/version/{MODEL}", {"model": MODEL, "version": 3}, 2)
        started = beliefs_of(wanted)
        self.assertEqual(float("-inf"), started.versions[MODEL][-1].earliest_named_at_s)
        returned = beliefs_of(configuration_record(), proven_ago_s=6.0)
        later(returned, wanted)
        self.assertLess(returned.versions[MODEL][-1].earliest_named_at_s, boot_time_s() - 5.0)
        listening = beliefs_of(configuration_record())
        later(listening, wanted)
        self.assertGreater(listening.versions[MODEL][-1].earliest_named_at_s, boot_time_s() - 1.0)

    def test_time_in_which_the_store_was_away_does_not_count(self) -> None:
        """Pattern: a version is named while the store is down, and learned as it returns.

        Taking it for due at once would refuse everything until the engines have switched.
        """
        beliefs = beliefs_of(configuration_record(), proven_ago_s=9.0)
        beliefs.record_outage_end(0.0)
        later(beliefs, record(f"op/version/{MODEL}", {"model": MODEL, "version": 3}, 2))
        self.assertGreater(beliefs.versions[MODEL][-1].earliest_named_at_s, boot_time_s() - 1.0)

    def test_a_process_that_has_started_learns_from_a_peer_when_a_version_was_named(self) -> None:
        beliefs = beliefs_of(record(f"op/version/{MODEL}", {"model": MODEL, "version": 3}, 2))
        beliefs.merge_version_ages({MODEL: [[3, 2.0]], "other": [[1, 5.0]]})
        age_s = boot_time_s() - beliefs.versions[MODEL][-1].earliest_named_at_s
        self.assertAlmostEqual(2.0, age_s, delta=0.5)
        beliefs.merge_version_ages({MODEL: [[3, float("inf")]]})
        age_s = boot_time_s() - beliefs.versions[MODEL][-1].earliest_named_at_s
        self.assertAlmostEqual(2.0, age_s, delta=0.5)

    def test_each_named_version_has_its_own_time(self) -> None:
        """Pattern: a version is named while the one before it is under way.

        What must run by the first one's time is at least the first one, whatever came after.
        """
        beliefs = beliefs_of(configuration_record())
        for version in (2, 3):
            wanted = record(f"op/version/{MODEL}", {"model": MODEL, "version": version}, version)
            later(beliefs, wanted)
        first, second = beliefs.versions[MODEL]
        between_s = (first.earliest_named_at_s + second.earliest_named_at_s) / 2
        self.assertEqual(2, beliefs.due_version(MODEL, between_s))
        self.assertEqual(3, beliefs.due_version(MODEL, second.earliest_named_at_s + 1.0))
        self.assertEqual([2, 3], [first.version, second.version])
        self.assertLessEqual(first.earliest_named_at_s, second.earliest_named_at_s)
        self.assertEqual(0, beliefs.due_version(MODEL, first.earliest_named_at_s))

    def test_what_a_snapshot_leaves_out_is_gone(self) -> None:
        beliefs = beliefs_of(engine_record(1, 1), engine_record(2, 2))
        batch = Batch(0, 5, [engine_record(2, 2)], True, 0.0)
        beliefs.apply(batch, beliefs.proven_at_s, "test")
        self.assertEqual({"i-2"}, set(beliefs.upstreams))

    def test_a_leaving_upstream_is_known_as_leaving(self) -> None:
        beliefs = beliefs_of(engine_record(1, 1))
        later(beliefs, engine_record(1, 2, state="draining"))
        self.assertTrue(beliefs.upstreams["i-1"].is_leaving)

    def test_a_record_that_lapsed_in_an_outage_stays_for_a_while(self) -> None:
        beliefs = beliefs_of(engine_record(1, 1))
        beliefs.record_outage_end(0.5)
        later(beliefs, record("servers/i-1", None, 2))
        self.assertIn("i-1", beliefs.upstreams)
        beliefs.drop_expired_lapsed()
        self.assertIn("i-1", beliefs.upstreams)
        now_s = boot_time_s()
        with mock.patch.object(module, "boot_time_s", lambda: now_s + module.LAPSE_GRACE_S + 0.1):
            beliefs.drop_expired_lapsed()
        self.assertNotIn("i-1", beliefs.upstreams)

    def test_a_lapsed_record_that_comes_back_stays(self) -> None:
        beliefs = beliefs_of(engine_record(1, 1))
        beliefs.record_outage_end(0.5)
        later(beliefs, record("servers/i-1", None, 2))
        later(beliefs, engine_record(1, 3))
        now_s = boot_time_s()
        with mock.patch.object(module, "boot_time_s", lambda: now_s + module.LAPSE_GRACE_S + 0.1):
            beliefs.drop_expired_lapsed()
        self.assertIn("i-1", beliefs.upstreams)

    def test_without_an_outage_a_removed_upstream_is_gone_at_once(self) -> None:
        beliefs = beliefs_of(engine_record(1, 1))
        later(beliefs, record("servers/i-1", None, 2))
        self.assertNotIn("i-1", beliefs.upstreams)
