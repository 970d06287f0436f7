"""Requests under a key: concurrent copies, replaced, stopped and unreachable homes."""

import asyncio
import unittest

from gypsumpier.agent.closing import drain_connections
from gypsumpier.document.service import ServiceDocument, ZoneReplicas
from gypsumpier.entry.homewait import HOME_WAIT_S
from gypsumpier.entry.inquiry import ask_outcome
from gypsumpier.errors import GypsumpierError
from gypsumpier.idempotency.homes import home_slot
from gypsumpier.idempotency.key import KeyId
from gypsumpier.idempotency.record import KeyRecord, KeyState
from gypsumpier.idempotency.recovery import EntryId
from gypsumpier.test.builders import ZONE, plain_document
from gypsumpier.test.builders_request import (
    SETTLE_TIME_S,
    AgentParts,
    EntryParts,
    FakeUpstream,
    World,
    connected_pair,
    outcome,
    plain_call,
)
from gypsumpier.test.network import Link, MemoryDialer, Network
from gypsumpier.test.virtual import run
from gypsumpier.wire.connection import Connection
from gypsumpier.wire.frame import Frame
from gypsumpier.wire.stream import Stream

IMMEDIATE_S = 0.2
LATE_S = 2.5
"""Seconds by which a welcome is late; less than the silence after which a connection is closed."""


async def queried_outcome(entry: EntryParts, key: str) -> str:
    """Return the content of the key's stored answer, or the name of the error's code."""
    try:
        frames = [frame async for frame in ask_outcome(entry.keys, "table-ops", KeyId("lab", key))]
    except GypsumpierError as error:
        return error.code.name
    return "".join(frame.payload["content"].decode() for frame in frames if frame.kind == "data")


class LateDialer(MemoryDialer):
    """Dials from ``host``; what is sent on links to ``late_host`` takes ``LATE_S``."""

    def __init__(self, network: Network, host: str, late_host: str) -> None:
        super().__init__(network, host)
        self.late_host = late_host

    async def dial(self, host: str, port: int, timeout_s: float) -> Stream:
        stream = await super().dial(host, port, timeout_s)
        if host == self.late_host:
            self.network.between(self.host, host)[-1].delay_s = LATE_S
        return stream


def two_slots(world: World) -> ServiceDocument:
    """Return the plain service's document with two slots."""
    document = world.documents.document("table-ops")
    assert document is not None
    return document._replace(zones=(ZoneReplicas(ZONE, 2),))


class KeyTest(unittest.TestCase):
    def test_copies_at_once_through_two_entries_run_once(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await connected_pair(world)
            other = await world.entry(1)
            await asyncio.sleep(SETTLE_TIME_S)
            answers = await asyncio.gather(
                outcome(world, entry, plain_call(world, "k")),
                outcome(world, other, plain_call(world, "k")),
            )
            self.assertEqual(["go", "go"], answers)
            self.assertEqual({"k": 1}, agent.upstream.runs)
            again = await outcome(world, other, plain_call(world, "k", b"stop"))
            self.assertEqual("key_reused", again)

        run(scenario())

    def test_copies_that_wait_for_a_key_do_not_count_as_in_flight(self) -> None:
        async def scenario() -> None:
            world = World()
            limits = {"in_flight_per_upstream": 2, "body_bytes": 65536, "deadline_s": 30.0}
            zones = [{"zone": ZONE, "replicas": 1}]
            world.offer(2, plain_document(zones=zones, limits=limits))
            agent, _ = await connected_pair(world)
            entries = [await world.entry(number) for number in range(1, 7)]
            await asyncio.sleep(SETTLE_TIME_S)
            calls = [(entry, key) for key in ("k", "other") for entry in entries]
            answers = await asyncio.gather(
                *(outcome(world, entry, plain_call(world, key)) for entry, key in calls)
            )
            self.assertEqual(["go"] * len(calls), answers)
            self.assertEqual({"k": 1, "other": 1}, agent.upstream.runs)

        run(scenario())

    def test_asking_for_an_outcome_runs_nothing(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await connected_pair(world)
            self.assertEqual("key_not_seen", await queried_outcome(entry, "k"))
            call = asyncio.create_task(outcome(world, entry, plain_call(world, "k")))
            await asyncio.sleep(0.2)
            self.assertEqual("key_running", await queried_outcome(entry, "k"))
            await call
            self.assertEqual("go", await queried_outcome(entry, "k"))
            self.assertEqual({"k": 1}, agent.upstream.runs)

        run(scenario())

    def test_a_killed_home_leaves_its_keys_unknown_and_runs_others(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await connected_pair(world)
            other = await world.entry(1)
            await asyncio.sleep(SETTLE_TIME_S)
            call = asyncio.create_task(outcome(world, entry, plain_call(world, "k")))
            await asyncio.sleep(0.2)
            successor = world.replace(agent, "two")
            self.assertEqual("outcome_unknown", await call)
            again = await outcome(world, other, plain_call(world, "k"))
            self.assertEqual("key_outcome_unknown", again)
            self.assertEqual("go", await outcome(world, other, plain_call(world, "new")))
            self.assertEqual({"new": 1}, successor.upstream.runs)

        run(scenario())

    def test_an_answer_outlives_a_planned_stop(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await connected_pair(world)
            self.assertEqual("go", await outcome(world, entry, plain_call(world, "k")))
            agent.gate.leaving = True
            refused = await outcome(world, entry, plain_call(world, "late"))
            self.assertEqual("upstream_leaving", refused)
            await agent.listener.hand_over()
            await asyncio.sleep(0.1)
            successor = world.replace(agent, "two")
            await asyncio.sleep(SETTLE_TIME_S)
            self.assertEqual("go", await outcome(world, entry, plain_call(world, "k")))
            self.assertEqual("go", await outcome(world, entry, plain_call(world, "late")))
            self.assertEqual({"late": 1}, successor.upstream.runs)

        run(scenario())

    def test_a_request_in_transit_to_a_stopping_agent_is_answered(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await connected_pair(world)
            for link in world.network.links:
                link.delay_s = 0.2
            agent.gate.leaving = True
            closing = asyncio.create_task(drain_connections(agent.listener))
            await asyncio.sleep(0.1)
            late = asyncio.create_task(outcome(world, entry, plain_call(world, "k")))
            await closing
            self.assertTrue(agent.gate.exchanges.known)
            await asyncio.sleep(0.3)
            world.replace(agent, "two")
            self.assertEqual("upstream_leaving", await late)

        run(scenario())

    def test_keys_of_an_entry_that_stopped_as_planned_stay_known(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await connected_pair(world)
            other = await world.entry(1)
            await asyncio.sleep(SETTLE_TIME_S)
            self.assertEqual("go", await outcome(world, entry, plain_call(world, "k")))
            await entry.keys.hand_over()
            await asyncio.sleep(0.1)
            await entry.links.stop()
            del world.members.members[entry.member.name]
            world.members.notify()
            world.replace(agent, "two")
            await asyncio.sleep(SETTLE_TIME_S)
            self.assertEqual("answer_gone", await outcome(world, other, plain_call(world, "k")))
            self.assertEqual("go", await outcome(world, other, plain_call(world, "opaque")))

        run(scenario())

    def test_a_home_vouches_for_an_entry_that_vanished_before_it(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await connected_pair(world)
            other = await world.entry(1)
            await asyncio.sleep(SETTLE_TIME_S)
            self.assertEqual("go", await outcome(world, entry, plain_call(world, "k")))
            await entry.links.stop()
            del world.members.members[entry.member.name]
            world.members.notify()
            await asyncio.sleep(1.0)
            successor = world.replace(agent, "two")
            await asyncio.sleep(SETTLE_TIME_S)
            self.assertEqual("answer_gone", await outcome(world, other, plain_call(world, "k")))
            self.assertEqual("go", await outcome(world, other, plain_call(world, "opaque")))
            self.assertEqual({"opaque": 1}, successor.upstream.runs)

        run(scenario())

    def test_a_home_hands_over_only_its_own_keys(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await connected_pair(world)
            foreign, own = KeyId("lab", "x"), KeyId("lab", "own")
            for key_id in (foreign, own):
                agent.home.ledger.merge(key_id, KeyRecord("f", KeyState.UNKNOWN, 1.0))
            slots = [home_slot(two_slots(world), key_id) for key_id in (foreign, own)]
            world.offer(2, plain_document(zones=[{"zone": ZONE, "replicas": 2}]))
            await agent.listener.hand_over()
            await asyncio.sleep(0.1)
            expected = [
                ("table-ops", key_id)
                for key_id, slot in zip((foreign, own), slots, strict=True)
                if slot == agent.member.name
            ]
            self.assertEqual(expected, list(entry.keys.sent.keys))
            self.assertEqual(1, len(expected))

        run(scenario())

    def test_keys_from_an_entry_that_was_vouched_for_are_refused(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await connected_pair(world)
            agent.listener.vouched.add(EntryId(entry.member.name, "one"))
            self.assertEqual(
                "home_unreachable", await outcome(world, entry, plain_call(world, "k"))
            )
            self.assertEqual("go", await outcome(world, entry, plain_call(world)))
            self.assertFalse(agent.upstream.runs["k"])

        run(scenario())

    def test_a_key_queued_while_its_home_is_replaced_is_not_sent_to_the_old_process(self) -> None:
        """Guards against a second run by a home whose report, complete already, lacks the key."""

        async def scenario() -> None:
            world = World()
            agent, entry = await connected_pair(world)
            other = await world.entry(1)
            await asyncio.sleep(SETTLE_TIME_S)
            self.assertEqual("go", await outcome(world, entry, plain_call(world)))
            admission = entry.relay.guard.admissions["table-ops"]
            admission.in_flight = int(admission.window)
            queued = asyncio.create_task(outcome(world, entry, plain_call(world, "k")))
            await asyncio.sleep(0.1)
            successor = world.agent(incarnation="two")
            await asyncio.sleep(SETTLE_TIME_S)
            admission.leave(0.1, False)
            copy = asyncio.create_task(outcome(world, other, plain_call(world, "k")))
            self.assertEqual(["go", "go"], [await queued, await copy])
            runs = [parts.upstream.runs["k"] for parts in (agent, successor)]
            self.assertEqual([0, 1], runs)

        run(scenario())

    def test_a_replaced_home_whose_welcome_is_late_gets_no_keys(self) -> None:
        """Guards against a second run: the older process seems to be the younger one."""

        async def scenario() -> None:
            world = World()
            agent, other = world.agent(), await world.entry()
            member = world.member(f"entry/{ZONE}/1", "one", "entry", "")
            entry = EntryParts(world, member)
            entry.links.dialer = LateDialer(world.network, member.host, agent.member.host)
            world.members.put(member)
            world.members.notify()
            await entry.links.start()
            await asyncio.sleep(LATE_S / 2)
            successor = world.agent(incarnation="two")
            await asyncio.sleep(SETTLE_TIME_S)
            answers = [await outcome(world, one, plain_call(world, "k")) for one in (other, entry)]
            self.assertEqual(["go", "go"], answers)
            runs = [parts.upstream.runs["k"] for parts in (agent, successor)]
            self.assertEqual([0, 1], runs)

        run(scenario())

    def test_a_key_queued_while_a_document_moves_its_home_runs_at_the_new_home(self) -> None:
        """Guards against choosing a home by the document that was in force when a request came."""

        async def scenario() -> None:
            world = World()
            agent, entry = await connected_pair(world)
            member = world.member(f"table-ops/{ZONE}/1", "one", "agent", "table-ops")
            second = AgentParts(world, member, FakeUpstream(False))
            world.members.put(member)
            world.members.notify()
            await asyncio.sleep(SETTLE_TIME_S)
            self.assertEqual("go", await outcome(world, entry, plain_call(world)))
            keys = (f"k{number}" for number in range(100))
            moved = two_slots(world)
            key = next(key for key in keys if home_slot(moved, KeyId("lab", key)) == member.name)
            admission = entry.relay.guard.admissions["table-ops"]
            admission.in_flight = int(admission.window)
            queued = asyncio.create_task(outcome(world, entry, plain_call(world, key)))
            await asyncio.sleep(0.1)
            world.offer(2, plain_document(zones=[{"zone": ZONE, "replicas": 2}]))
            await asyncio.sleep(SETTLE_TIME_S)
            admission.leave(0.1, False)
            self.assertEqual("go", await queued)
            runs = [parts.upstream.runs[key] for parts in (agent, second)]
            self.assertEqual([0, 1], runs)

        run(scenario())

    def test_a_member_list_that_was_long_in_buffers_is_not_one_read_after_settling(self) -> None:
        """Guards against a second run by a home that was paused while the list came."""

        async def scenario() -> None:
            world = World()
            agent = world.agent()
            entry = EntryId("entry", "one")
            payload = {"name": "entry", "incarnation": "one", "listed": [list(entry)], "lost": []}
            connection = Connection(Link("one", "other").accepted, world.clock, 1.0, 3.0)
            connection.record_clock_difference(Frame("hello", "", 0, 0.0, {}))
            await asyncio.sleep(SETTLE_TIME_S)
            connection.received_at_s = SETTLE_TIME_S
            recovery = agent.home.recovery
            early_s = recovery.limits.settle_s / 2
            await agent.listener.handle_frame(Frame("entries", "", 0, early_s, payload), connection)
            self.assertEqual(frozenset(), recovery.listed_entries())
            late = Frame("entries", "", 0, SETTLE_TIME_S, payload)
            await agent.listener.handle_frame(late, connection)
            self.assertEqual(frozenset([entry]), recovery.listed_entries())

        run(scenario())

    def test_an_entry_that_vanished_holds_back_keys_that_may_be_its_own(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await connected_pair(world)
            other = await world.entry(1)
            await asyncio.sleep(SETTLE_TIME_S)
            self.assertEqual("go", await outcome(world, entry, plain_call(world, "k")))
            successor = world.replace(agent, "two")
            await entry.links.stop()
            del world.members.members[entry.member.name]
            world.members.notify()
            await asyncio.sleep(SETTLE_TIME_S)
            self.assertEqual("home_recovering", await outcome(world, other, plain_call(world, "k")))
            self.assertFalse(successor.upstream.runs)

        run(scenario())


class HomeWaitTest(unittest.TestCase):
    def test_only_the_first_request_waits_for_an_unreachable_home(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await connected_pair(world)
            del world.network.handlers[(agent.member.host, agent.member.port)]
            for link in list(world.network.links):
                link.cut()
            await asyncio.sleep(0.1)
            results: list[tuple[str, float]] = []
            for key in ("first", "second"):
                started_at_s = world.clock.monotonic()
                error = await outcome(world, entry, plain_call(world, key))
                results.append((error, world.clock.monotonic() - started_at_s))
            self.assertEqual(["home_unreachable"] * 2, [error for error, _ in results])
            self.assertLessEqual(results[0][1], HOME_WAIT_S)
            self.assertLess(results[1][1], IMMEDIATE_S)
            world.network.listen(agent.member.host, agent.member.port, agent.listener.serve)
            await asyncio.sleep(SETTLE_TIME_S)
            self.assertEqual("go", await outcome(world, entry, plain_call(world, "third")))

        run(scenario())


if __name__ == "__main__":
    unittest.main()
