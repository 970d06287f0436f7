"""Tests of evacuated zones at one process: the key, the choice of upstreams and refusals."""

import asyncio
import unittest
from typing import Final

from gypsumpier.codes.request import NO_UPSTREAM, ZONE_EVACUATED
from gypsumpier.fleet.change import Batch, EvacuationChange
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.record import Record
from gypsumpier.fleet.state import FleetState
from gypsumpier.gateway.evacuated import EVACUATED_WAIT_S
from gypsumpier.gateway.refusal import Refusal
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.mesh.feed import FleetStateFeed
from gypsumpier.piece.turns import SwitchSchedule
from gypsumpier.test.builders_gateway import admission_of, engines_in, request_of, selector_of
from gypsumpier.test.builders_platform import (
    ENGINES,
    MODEL,
    ZONE,
    DecodingSource,
    apply_records,
    decode_record,
    engine_record,
    evacuation_record,
    fleet_state_of,
    record,
)
from gypsumpier.test.fakes_mesh import RecordingMesh
from gypsumpier.test.fakes_piece import entry_peer
from gypsumpier.upstream.enginestate import EngineState
from gypsumpier.upstream.peerloads import Load

OTHER_ZONE: Final = "nam-a"


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


class EvacuatedRefusalTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.fleet_state = engines_in((ZONE,), 2)
        self.admission = admission_of(self.fleet_state)

    def evacuate(self, zone: str = ZONE, revision: int = 10) -> None:
        """Begin the evacuation of a zone, and tell the admission as the application does."""
        apply_records(self.fleet_state, evacuation_record(revision, zone))
        self.admission.dispatch_all()

    async def refusal_of(self, request: GatewayRequest) -> Refusal:
        """Return the refusal that a request gets at once."""
        with self.assertRaises(Refusal) as raised:
            async with asyncio.timeout(0.2):
                await self.admission.enter(request)
        return raised.exception

    # Guards against requests that are held until their time limits, and against callers that are
    # told to come back later than they can, or all at once.
    async def test_a_request_that_only_evacuated_zones_could_serve_is_refused_at_once(self) -> None:
        self.evacuate()
        delays = set()
        for _ in range(20):
            request = request_of(self.fleet_state)
            refusal = await self.refusal_of(request)
            self.assertEqual((ZONE_EVACUATED, 503), (refusal.code, refusal.status))
            assert refusal.retry_after_s is not None
            self.assertTrue(EVACUATED_WAIT_S <= refusal.retry_after_s <= request.left_s() / 3)
            delays.add(refusal.retry_after_s)
        self.assertGreater(len(delays), 10)

    # Guards against a refusal that blames the evacuation for upstreams that nothing could use.
    async def test_an_evacuated_upstream_that_leaves_is_no_reason(self) -> None:
        for number in (1, 2):
            apply_records(self.fleet_state, engine_record(number, 8 + number, state="draining"))
        self.evacuate(revision=12)
        self.assertEqual(NO_UPSTREAM, (await self.refusal_of(request_of(self.fleet_state))).code)

    # Guards against a wait for an engine that will not be used after its switch.
    async def test_an_evacuated_engine_that_switches_is_not_waited_for(self) -> None:
        self.evacuate()
        for found in self.fleet_state.upstreams.values():
            state = EngineState(f"{found.host}:{found.port}", "run", 1, True, 0, 0, 1.0, ())
            self.admission.selector.record_engine_state(state)
        self.assertFalse(self.admission.selector.is_engine_returning(ENGINES, set()))
        self.assertEqual(ZONE_EVACUATED, (await self.refusal_of(request_of(self.fleet_state))).code)

    # Guards against queued requests that wait for a zone until their time limits.
    async def test_queued_requests_are_refused_as_the_evacuation_begins(self) -> None:
        for name in self.fleet_state.upstreams:
            self.admission.selector.record_peer_loads(f"fills {name}", {name: Load(17, 0)})
        new = asyncio.create_task(self.admission.enter(request_of(self.fleet_state)))
        repeated_request = request_of(self.fleet_state)
        repeated_request.attempts = 1
        repeated = asyncio.create_task(self.admission.enter(repeated_request))
        await asyncio.sleep(0)
        self.evacuate()
        await asyncio.sleep(0)
        refusal = new.exception()
        assert isinstance(refusal, Refusal)
        self.assertEqual(ZONE_EVACUATED, refusal.code)
        # It may have run: it is served as soon as a zone comes back.
        self.assertFalse(repeated.done())
        self.admission.selector.peer_loads.clear()
        self.admission.dispatch_all()
        await asyncio.sleep(0)
        self.assertFalse(repeated.done())
        apply_records(self.fleet_state, evacuation_record(11, is_evacuated=False))
        self.admission.dispatch_all()
        self.assertEqual(ZONE, (await repeated).zone)

    # Guards against refusals while another zone could serve, and against a second evacuation
    # that is taken for the first one.
    async def test_other_zones_serve_until_all_are_evacuated(self) -> None:
        apply_records(self.fleet_state, engine_record(3, 9, zone=OTHER_ZONE))
        self.evacuate()
        request = request_of(self.fleet_state)
        self.assertEqual(OTHER_ZONE, (await self.admission.enter(request)).zone)
        self.evacuate(OTHER_ZONE, 11)
        self.assertEqual(ZONE_EVACUATED, (await self.refusal_of(request_of(self.fleet_state))).code)
        apply_records(self.fleet_state, evacuation_record(12, is_evacuated=False))
        self.assertEqual(ZONE, (await self.admission.enter(request_of(self.fleet_state))).zone)


class EvacuatedEnginesTest(unittest.TestCase):
    # Guards against engines that keep their old weights, or that switch all at once at the end.
    def test_evacuated_engines_keep_their_turns_to_switch(self) -> None:
        fleet_state = engines_in((ZONE, OTHER_ZONE), 4)
        apply_records(
            fleet_state, record(f"op/version/{MODEL}", {"model": MODEL, "version": 2}, 10)
        )
        schedule = SwitchSchedule(fleet_state, 8.0)
        before = schedule.turns(ENGINES)
        self.assertEqual(4, len(before))
        apply_records(fleet_state, evacuation_record(11), evacuation_record(12, OTHER_ZONE))
        self.assertEqual(before, schedule.turns(ENGINES))
