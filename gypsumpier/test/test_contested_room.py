"""Tests of the headroom for requests with a short goal, in virtual time.

The patterns: 35 entries in three zones before engines of 12 slots.  Two kinds of requests have
0.4 s to their first event, a third one of the lowest priority has 0.8 s.  Either a burst of the
third kind arrives, or a zone with a third of the engines is lost.  In both cases more is asked for
than the engines can serve.  All requests are of a workspace with a priority of its own.
"""

import asyncio
import unittest
from statistics import mean
from typing import Any, Final
from unittest import mock

from gypsumpier.gateway import headroom
from gypsumpier.gateway.requestqueue import RequestQueue
from gypsumpier.test.builders_gateway import admission_of, request_of
from gypsumpier.test.builders_platform import (
    ENGINES,
    apply_records,
    configuration_record,
    route_body,
)
from gypsumpier.test.contest import DIGEST, DRAFT, SLOTS, SUMMARY, Contest, Kind, contested_state
from gypsumpier.test.simulated_entries import simulate
from gypsumpier.upstream.peerloads import Load

ENGINE_COUNT: Final = 17
ENGINES_LEFT: Final = 12
DIGEST_BURST: Final = 2.4
SECONDS: Final = 8.0
DIGESTS_SERVED_MIN: Final = 0.6
"""Least share of the digests that is served.  A kind must not be starved: if all that can't be
served in the second pattern were digests, almost none of them would be."""
SEEDS: Final = (1, 2)
URGENT: Final = "/summaries/1"
PATIENT: Final = "/digests/1"


def contest(seed: int, engine_count: int, zone_count: int, digest_burst: float) -> Contest:
    """Return the outcome of one contest."""
    found: list[Contest] = []

    async def scenario() -> None:
        found.append(Contest(seed, engine_count, zone_count))
        await found[0].run(SECONDS, digest_burst)

    simulate(scenario(), seed)
    return found[0]


def on_time(contests: list[Contest], kind: Kind) -> float:
    """Return the mean share of the kind's requests that were on time."""
    return mean(found.served[kind].on_time_share() for found in contests)


class ContestedRoomTest(unittest.TestCase):
    def check(self, engine_count: int, zone_count: int, digest_burst: float) -> None:
        """Check that headroom makes more requests of urgent kinds on time, and starves none."""
        pattern = engine_count, zone_count, digest_burst
        found = [contest(seed, *pattern) for seed in SEEDS]
        with mock.patch.object(headroom.Headroom, "places_share", lambda *_: 1.0):
            without = [contest(seed, *pattern) for seed in SEEDS]
        self.assertGreater(on_time(found, SUMMARY), on_time(without, SUMMARY) + 0.02)
        self.assertGreater(on_time(found, DRAFT), on_time(without, DRAFT) + 0.02)
        for one in found:
            self.assertGreater(one.served[DIGEST].served_share(), DIGESTS_SERVED_MIN)

    # Guards against engines that are full of requests that could have waited.
    def test_a_burst_of_patient_requests(self) -> None:
        self.check(ENGINE_COUNT, 3, DIGEST_BURST)

    # Guards against a lasting shortage that urgent requests pay for first.
    def test_a_zone_is_lost(self) -> None:
        self.check(ENGINES_LEFT, 2, 1.0)


class HeadroomTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = contested_state(1)
        self.headroom = headroom.Headroom(self.state)
        self.headroom.record_arrived(request_of(self.state, target=URGENT))

    def share(self, target: str, age_s: float = 0.0, slack_s: float = 0.4, **fields: Any) -> float:
        """Return the share for a request that could wait ``slack_s`` seconds in all."""
        request = request_of(self.state, age_s, target=target)
        for name, value in fields.items():
            setattr(request, name, value)
        return self.headroom.places_share(request, request.received_at_s + slack_s)

    def test_a_request_that_can_wait_leaves_places(self) -> None:
        self.assertLess(self.share(PATIENT), 1.0)

    def test_an_urgent_request_takes_every_place(self) -> None:
        self.assertEqual(1.0, self.share(URGENT))

    # Guards against starving patient requests: each takes every place before it is late.
    def test_a_request_that_has_waited_takes_every_place(self) -> None:
        self.assertEqual(1.0, self.share(PATIENT, age_s=0.25))

    # Guards against late requests that make those behind them late as well.
    def test_a_late_request_leaves_places(self) -> None:
        self.assertLess(self.share(URGENT, age_s=0.5), 1.0)

    # Guards against a wait of requests that can't be refused any more.
    def test_a_request_that_an_upstream_has_served_in_part_takes_every_place(self) -> None:
        for fields in ({"attempts": 1}, {"is_moving": True}, {"last_event_id": "4"}):
            self.assertEqual(1.0, self.share(URGENT, age_s=0.5, **fields))

    # Guards against places that stay empty for nobody.
    def test_without_urgent_requests_no_place_is_left(self) -> None:
        self.headroom.urgent_at_s[ENGINES] -= headroom.URGENT_RECENT_S + 0.1
        self.assertEqual(1.0, self.share(PATIENT))

    # Guards against too little headroom in a lasting shortage, and too much of it after that.
    def test_more_places_are_left_while_urgent_requests_start_late(self) -> None:
        urgent = request_of(self.state, target=URGENT)
        before = self.share(PATIENT)
        for _ in range(50):
            self.headroom.record_started(urgent, is_on_time=False)
        self.assertAlmostEqual(headroom.PRESSED_PLACES_SHARE, self.share(PATIENT))
        for _ in range(100):
            self.headroom.record_started(urgent, is_on_time=True)
        self.assertAlmostEqual(before, self.share(PATIENT), delta=0.01)

    def test_patient_requests_that_start_late_change_nothing(self) -> None:
        before = self.share(PATIENT)
        for _ in range(50):
            patient = request_of(self.state, target=PATIENT)
            self.headroom.record_started(patient, is_on_time=False)
        self.assertEqual(before, self.share(PATIENT))

    # Guards against a change where a deployment's goals are alike.
    def test_goals_that_differ_little_leave_no_headroom(self) -> None:
        state = contested_state(1, goal_ms=1400 * SUMMARY.goal_s)
        alike = headroom.Headroom(state)
        alike.record_arrived(request_of(state, target=URGENT))
        request = request_of(state, target=PATIENT)
        self.assertEqual(1.0, alike.places_share(request, request.received_at_s + 0.4))

    def test_a_new_configuration_is_followed(self) -> None:
        routes = [route_body("digests", prefix="/digests/", goal_ms=804)]
        apply_records(self.state, configuration_record(50, version=2, routes=routes))
        self.assertEqual(1.0, self.share(PATIENT))


class QueueOrderTest(unittest.IsolatedAsyncioTestCase):
    # Guards against requests that wait behind one that leaves the last places to them: an urgent
    # one, and a late one that may have run.
    async def test_a_request_that_leaves_places_blocks_nobody_who_may_take_them(self) -> None:
        state = contested_state(1, priority=0)
        repeat = request_of(state, age_s=0.9, target=PATIENT)
        repeat.attempts = 1
        for request in (request_of(state, target=URGENT), repeat):
            with self.subTest(attempts=request.attempts):
                admission = admission_of(state)
                admission.headroom.record_arrived(request_of(state, target=URGENT))
                admission.selector.record_peer_loads("other", {"i-1": Load(SLOTS, 0)})
                first = asyncio.create_task(admission.enter(request_of(state, target=PATIENT)))
                await asyncio.sleep(0.01)
                self.assertFalse(first.done())
                async with asyncio.timeout(0.1):
                    record = await admission.enter(request)
                self.assertEqual("i-1", record.id)
                self.assertFalse(first.done())
                first.cancel()
                await asyncio.gather(first, return_exceptions=True)

    async def test_routes_of_one_workspace_are_served_by_their_priority(self) -> None:
        """Guards against a workspace's priority that makes all of its routes alike.

        The pattern: every workspace has the same priority, and a burst of the lowest kind arrives.
        """
        state = contested_state(1)
        queue = RequestQueue()
        for kind in (DIGEST, DRAFT, SUMMARY):
            request = request_of(state, target=f"/{kind.name}/1")
            queue.add(request, request.ends_at_s, request.ends_at_s)
        names = [waiting.request.route.name for waiting in queue.ordered()]
        self.assertEqual(["summaries", "drafts", "digests"], names)


if __name__ == "__main__":
    unittest.main()
