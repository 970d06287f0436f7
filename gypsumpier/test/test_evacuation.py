"""Tests of evacuated zones at one process: the key, the choice of upstreams and refusals."""

import unittest

from gypsumpier.fleet.change import Batch, EvacuationChange
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.record import Record
from gypsumpier.fleet.state import FleetState
from gypsumpier.mesh.feed import FleetStateFeed
from gypsumpier.test.builders_gateway import engines_in, selector_of
from gypsumpier.test.builders_platform import (
    ENGINES,
    ZONE,
    DecodingSource,
    apply_records,
    decode_record,
    fleet_state_of,
    record,
)
from gypsumpier.test.fakes_mesh import RecordingMesh
from gypsumpier.test.fakes_piece import entry_peer

OTHER_ZONE = "nam-a"


def evacuation_record(revision: int, zone: str = ZONE, is_evacuated: bool = True) -> Record:
    """Return the record that begins or ends the evacuation of a zone."""
    return record(f"op/evacuate/{zone}", {} if is_evacuated else None, revision)


def evacuated_zones(fleet_state: FleetState) -> set[str]:
    """Return the zones that a process knows as evacuated."""
    return set(fleet_state.evacuations.zones)


class EvacuationRecordTest(unittest.TestCase):
    # Guards against a zone that stays in use because its key has an odd value.
    def test_the_key_alone_decides(self) -> None:
        for value in (b"{}", b'{"by": "ops"}', b"", b"[", b"\xff", b"null"):
            with self.subTest(value=value):
                change = decode_record(Record(f"op/evacuate/{ZONE}", value, 5))
                self.assertEqual(EvacuationChange(ZONE, True), change)
        change = decode_record(Record(f"op/evacuate/{ZONE}", None, 5))
        self.assertEqual(EvacuationChange(ZONE, False), change)

    def test_a_snapshot_of_the_same_era_without_the_key_ends_the_evacuation(self) -> None:
        fleet_state = fleet_state_of(evacuation_record(5))
        self.assertEqual({ZONE}, evacuated_zones(fleet_state))
        before_s = boot_time_s()
        fleet_state.apply(Batch(0, 9, [], True, 0.0), boot_time_s(), "test")
        self.assertEqual(set(), evacuated_zones(fleet_state))
        self.assertGreaterEqual(fleet_state.evacuations.ended_at_s[ZONE], before_s)

    # Guards against a process that starts and knows only what a peer sends it.
    def test_a_peers_snapshot_brings_the_evacuation(self) -> None:
        known = fleet_state_of(evacuation_record(5), evacuation_record(6, OTHER_ZONE))
        peer = entry_peer("front-bac-a-1", ZONE)
        mesh = RecordingMesh(entry_peer("front-bac-a-2", ZONE), [peer])
        FleetStateFeed(mesh, known).send_snapshot(peer, {})  # type: ignore[arg-type]
        payload = mesh.posted.pop()[2]
        started = FleetState(DecodingSource())
        FleetStateFeed(mesh, started).handle_feed(peer, payload)  # type: ignore[arg-type]
        self.assertEqual({ZONE, OTHER_ZONE}, evacuated_zones(started))
        apply_records(known, evacuation_record(7, is_evacuated=False))
        self.assertEqual({OTHER_ZONE}, evacuated_zones(known))


class EvacuatedCandidatesTest(unittest.TestCase):
    # Guards against candidates that were kept from before the evacuation, or before its end.
    def test_an_evacuated_zone_has_no_candidates_until_the_end(self) -> None:
        fleet_state = engines_in((ZONE, OTHER_ZONE), 4)
        selector = selector_of(fleet_state)
        chosen = next(found for found in selector.candidates(ENGINES) if found.zone == ZONE)
        apply_records(fleet_state, evacuation_record(10))
        self.assertEqual({OTHER_ZONE}, {found.zone for found in selector.candidates(ENGINES)})
        self.assertFalse(selector.may_still_serve(chosen, 0))
        apply_records(fleet_state, evacuation_record(11, is_evacuated=False))
        self.assertEqual(4, len(selector.candidates(ENGINES)))
        self.assertTrue(selector.may_still_serve(chosen, 0))
