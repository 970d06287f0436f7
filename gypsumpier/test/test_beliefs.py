"""Tests of the fleet state: freshness proofs, outdated records, lapsed records and versions."""

import unittest
from unittest import mock

from gypsumpier.fleet import state as module
from gypsumpier.fleet.change import Batch
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.log import LOGGER, record_fields
from gypsumpier.test.builders_platform import (
    MODEL,
    apply_records,
    configuration_record,
    engine_record,
    fleet_state_of,
    record,
)


class FleetStateTest(unittest.TestCase):
    def test_the_proof_age_is_the_age_of_the_answer(self) -> None:
        fleet_state = fleet_state_of(configuration_record(), proven_ago_s=3.0)
        self.assertAlmostEqual(3.0, fleet_state.proof_age_s(), delta=0.5)

    def test_an_older_proof_never_replaces_a_newer_one(self) -> None:
        fleet_state = fleet_state_of(configuration_record(), proven_ago_s=1.0)
        apply_records(fleet_state, engine_record(1, 2), proven_ago_s=4.0)
        self.assertLess(fleet_state.proof_age_s(), 1.5)

    def test_an_older_configuration_is_ignored(self) -> None:
        fleet_state = fleet_state_of(configuration_record(5, version=7))
        apply_records(fleet_state, configuration_record(6, version=3))
        fleet_state.apply(Batch(0, 4, [configuration_record(4, version=9)], True, 0.0), 0.0, "test")
        assert fleet_state.configuration is not None
        self.assertEqual(7, fleet_state.configuration.version)

    def test_a_malformed_configuration_leaves_the_last_one_in_force(self) -> None:
        fleet_state = fleet_state_of(configuration_record(1, version=7))
        apply_records(fleet_state, record("op/config", {"version": 8}, 2))
        assert fleet_state.configuration is not None
        self.assertEqual(7, fleet_state.configuration.version)

    def test_an_older_wanted_version_is_ignored(self) -> None:
        fleet_state = fleet_state_of(
            record(f"op/version/{MODEL}", {"model": MODEL, "version": 3}, 1)
        )
        apply_records(fleet_state, record(f"op/version/{MODEL}", {"model": MODEL, "version": 2}, 2))
        self.assertEqual(3, fleet_state.versions[MODEL][-1].version)

    def test_a_version_named_during_a_gap_of_proofs_may_be_due_already(self) -> None:
        """A process that restarts or was cut off can't know how long ago a version was named."""
        wanted = record(f"op/version/{MODEL}", {"model": MODEL, "version": 3}, 2)
        started = fleet_state_of(wanted)
        self.assertEqual(float("-inf"), started.versions[MODEL][-1].earliest_named_at_s)
        returned = fleet_state_of(configuration_record(), proven_ago_s=6.0)
        apply_records(returned, wanted)
        self.assertLess(returned.versions[MODEL][-1].earliest_named_at_s, boot_time_s() - 5.0)
        listening = fleet_state_of(configuration_record())
        apply_records(listening, wanted)
        self.assertGreater(listening.versions[MODEL][-1].earliest_named_at_s, boot_time_s() - 1.0)

    def test_a_named_version_is_logged_with_its_age_and_the_gap_of_proofs(self) -> None:
        returned = fleet_state_of(configuration_record(), proven_ago_s=6.0)
        wanted = record(f"op/version/{MODEL}", {"model": MODEL, "version": 3}, 2)
        with self.assertLogs(LOGGER, "INFO") as logged:
            apply_records(returned, wanted)
        fields = record_fields(logged.records[0])
        self.assertAlmostEqual(6.0, float(str(fields["named_ago_s"])), delta=0.5)
        self.assertAlmostEqual(6.0, float(str(fields["proof_gap_s"])), delta=0.5)

    def test_the_time_of_a_store_outage_does_not_count(self) -> None:
        """A version is named while the store is down, and read when the store returns.

        If it were due at once, all requests would be refused until the engines have switched.
        """
        fleet_state = fleet_state_of(configuration_record(), proven_ago_s=9.0)
        fleet_state.record_outage(8.0, 0.0)
        apply_records(fleet_state, record(f"op/version/{MODEL}", {"model": MODEL, "version": 3}, 2))
        self.assertGreater(fleet_state.versions[MODEL][-1].earliest_named_at_s, boot_time_s() - 1.0)

    def test_a_started_process_uses_the_version_ages_of_a_peer(self) -> None:
        fleet_state = fleet_state_of(
            record(f"op/version/{MODEL}", {"model": MODEL, "version": 3}, 2)
        )
        fleet_state.merge_version_ages({MODEL: [[3, 2.0]], "other": [[1, 5.0]]})
        age_s = boot_time_s() - fleet_state.versions[MODEL][-1].earliest_named_at_s
        self.assertAlmostEqual(2.0, age_s, delta=0.5)
        fleet_state.merge_version_ages({MODEL: [[3, float("inf")]]})
        age_s = boot_time_s() - fleet_state.versions[MODEL][-1].earliest_named_at_s
        self.assertAlmostEqual(2.0, age_s, delta=0.5)

    def test_each_named_version_has_its_own_time_limit(self) -> None:
        """A version is named while engines still switch to the one before it.

        By the time limit of the first one, engines must serve at least the first one, even though a
        newer one was named since.
        """
        fleet_state = fleet_state_of(configuration_record())
        for version in (2, 3):
            wanted = record(f"op/version/{MODEL}", {"model": MODEL, "version": version}, version)
            apply_records(fleet_state, wanted)
        first, second = fleet_state.versions[MODEL]
        between_s = (first.earliest_named_at_s + second.earliest_named_at_s) / 2
        self.assertEqual(2, fleet_state.due_version(MODEL, between_s))
        self.assertEqual(3, fleet_state.due_version(MODEL, second.earliest_named_at_s + 1.0))
        self.assertEqual([2, 3], [first.version, second.version])
        self.assertLessEqual(first.earliest_named_at_s, second.earliest_named_at_s)
        self.assertEqual(0, fleet_state.due_version(MODEL, first.earliest_named_at_s))

    def test_a_record_missing_from_a_snapshot_is_removed(self) -> None:
        fleet_state = fleet_state_of(engine_record(1, 1), engine_record(2, 2))
        batch = Batch(0, 5, [engine_record(2, 2)], True, 0.0)
        fleet_state.apply(batch, fleet_state.proven_at_s, "test")
        self.assertEqual({"i-2"}, set(fleet_state.upstreams))

    def test_a_draining_upstream_is_marked_as_leaving(self) -> None:
        fleet_state = fleet_state_of(engine_record(1, 1))
        apply_records(fleet_state, engine_record(1, 2, state="draining"))
        self.assertTrue(fleet_state.upstreams["i-1"].is_leaving)

    def test_a_record_that_lapsed_in_an_outage_is_kept_for_the_grace_period(self) -> None:
        fleet_state = fleet_state_of(engine_record(1, 1))
        fleet_state.record_outage(5.0, 0.5)
        apply_records(fleet_state, record("servers/i-1", None, 2))
        self.assertIn("i-1", fleet_state.upstreams)
        fleet_state.drop_expired_lapsed()
        self.assertIn("i-1", fleet_state.upstreams)
        now_s = boot_time_s()
        with mock.patch.object(module, "boot_time_s", lambda: now_s + module.LAPSE_GRACE_S + 0.1):
            fleet_state.drop_expired_lapsed()
        self.assertNotIn("i-1", fleet_state.upstreams)

    def test_a_lapsed_record_that_returns_is_kept(self) -> None:
        fleet_state = fleet_state_of(engine_record(1, 1))
        fleet_state.record_outage(5.0, 0.5)
        apply_records(fleet_state, record("servers/i-1", None, 2))
        apply_records(fleet_state, engine_record(1, 3))
        now_s = boot_time_s()
        with mock.patch.object(module, "boot_time_s", lambda: now_s + module.LAPSE_GRACE_S + 0.1):
            fleet_state.drop_expired_lapsed()
        self.assertIn("i-1", fleet_state.upstreams)

    def test_without_an_outage_a_removed_upstream_is_dropped_at_once(self) -> None:
        fleet_state = fleet_state_of(engine_record(1, 1))
        apply_records(fleet_state, record("servers/i-1", None, 2))
        self.assertNotIn("i-1", fleet_state.upstreams)
