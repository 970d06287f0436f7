"""Requests from entry to upstream under lost connections, replaced agents and resends."""

import asyncio
import contextlib
import unittest

from gypsumpier.agent.closing import say_closing
from gypsumpier.codes import request as codes
from gypsumpier.document.service import ServiceDocument, ZoneReplicas
from gypsumpier.entry.failure import Failure
from gypsumpier.entry.homewait import HOME_WAIT_S
from gypsumpier.entry.inquiry import ask_outcome
from gypsumpier.errors import GypsumpierError
from gypsumpier.idempotency.homes import home_slot
from gypsumpier.idempotency.key import KeyId
from gypsumpier.idempotency.record import KeyRecord, KeyState
from gypsumpier.idempotency.succession import EntryId
from gypsumpier.test.builders import ZONE, plain_document
from gypsumpier.test.builders_request import (
    MODEL_SERVICE,
    TOKENS,
    AgentParts,
    EntryParts,
    World,
    chat_call,
    outcome,
    plain_call,
)
from gypsumpier.test.virtual import run

SETTLED_S = 5.0
AT_ONCE_S = 0.2
WHOLE = "".join(f"{number} " for number in range(TOKENS))


async def settled(world: World, service: str = "table-ops") -> tuple[AgentParts, EntryParts]:
    """Return an agent and an entry that have met, with the home complete."""
    agent, entry = world.agent(service), await world.entry()
    await asyncio.sleep(SETTLED_S)
    return agent, entry


async def asked(entry: EntryParts, key: str) -> str:
    """Return what the home says of a key."""
    try:
        frames = [frame async for frame in ask_outcome(entry.keys, "table-ops", KeyId("lab", key))]
    except GypsumpierError as error:
        return error.code.name
    return "".join(frame.payload["content"].decode() for frame in frames if frame.kind == "data")


def two_slots(world: World) -> ServiceDocument:
    """Return the plain service's document with two slots."""
    document = world.documents.document("table-ops")
    assert document is not None
    return document._replace(zones=(ZoneReplicas(ZONE, 2),))


class LostConnectionTest(unittest.TestCase):
    def test_an_answer_on_a_silent_connection_is_asked_for_on_the_next(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await settled(world)
            call = asyncio.create_task(outcome(world, entry, plain_call(world, "k")))
            await asyncio.sleep(0.2)
            for link in world.network.links:
                link.silent = True
            self.assertEqual("go", await call)
            self.assertEqual({"k": 1}, agent.upstream.runs)

        run(scenario())

    def test_a_request_lost_on_the_way_is_not_run_and_its_late_copy_is_refused(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await settled(world)
            for link in world.network.links:
                link.silent = True
            call = plain_call(world)
            self.assertEqual("upstream_unreachable", await outcome(world, entry, call))
            self.assertIn(f"{call.request_id}/0", agent.gate.exchanges.refused)
            self.assertFalse(agent.upstream.runs)

        run(scenario())

    def test_a_key_lost_on_the_way_is_sent_again_to_its_home(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await settled(world)
            for link in world.network.links:
                link.silent = True
            self.assertEqual("go", await outcome(world, entry, plain_call(world, "k")))
            self.assertEqual({"k": 1}, agent.upstream.runs)

        run(scenario())

    def test_a_key_whose_home_is_out_of_reach_is_not_called_not_run(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await settled(world)
            world.network.partition(agent.member.host, entry.member.host)
            call = plain_call(world, "k")
            self.assertEqual("outcome_unknown", await outcome(world, entry, call))
            self.assertEqual("home_unreachable", await outcome(world, entry, call))

        run(scenario())

    def test_a_stream_goes_on_where_it_was_cut(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await settled(world, MODEL_SERVICE)
            call = asyncio.create_task(outcome(world, entry, chat_call(world)))
            await asyncio.sleep(2.2)
            for link in list(world.network.links):
                link.cut()
            self.assertEqual(WHOLE, await call)
            self.assertEqual(1, agent.upstream.runs.total())

        run(scenario())

    def test_a_chat_lost_on_its_only_upstream_is_sent_there_again(self) -> None:
        async def scenario() -> None:
            world = World()
            _, entry = await settled(world, MODEL_SERVICE)
            call = asyncio.create_task(outcome(world, entry, chat_call(world)))
            await asyncio.sleep(0.2)
            for link in list(world.network.links):
                link.silent = True
            self.assertEqual(WHOLE, await call)

        run(scenario())

    def test_a_stream_whose_agent_died_is_never_short(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await settled(world, MODEL_SERVICE)
            call = asyncio.create_task(outcome(world, entry, chat_call(world)))
            await asyncio.sleep(2.2)
            world.replace(agent, "two")
            self.assertEqual("outcome_unknown", await call)

        run(scenario())


class KeyTest(unittest.TestCase):
    def test_copies_at_once_through_two_entries_run_once(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await settled(world)
            other = await world.entry(1)
            await asyncio.sleep(SETTLED_S)
            answers = await asyncio.gather(
                outcome(world, entry, plain_call(world, "k")),
                outcome(world, other, plain_call(world, "k")),
            )
            self.assertEqual(["go", "go"], answers)
            self.assertEqual({"k": 1}, agent.upstream.runs)
            again = await outcome(world, other, plain_call(world, "k", b"stop"))
            self.assertEqual("key_reused", again)

        run(scenario())

    def test_copies_that_wait_for_a_key_fill_no_slots(self) -> None:
        async def scenario() -> None:
            world = World()
            limits = {"in_flight_per_upstream": 2, "body_bytes": 65536, "deadline_s": 30.0}
            zones = [{"zone": ZONE, "replicas": 1}]
            world.offer(2, plain_document(zones=zones, limits=limits))
            agent, _ = await settled(world)
            entries = [await world.entry(number) for number in range(1, 7)]
            await asyncio.sleep(SETTLED_S)
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
            agent, entry = await settled(world)
            self.assertEqual("key_not_seen", await asked(entry, "k"))
            call = asyncio.create_task(outcome(world, entry, plain_call(world, "k")))
            await asyncio.sleep(0.2)
            self.assertEqual("key_running", await asked(entry, "k"))
            await call
            self.assertEqual("go", await asked(entry, "k"))
            self.assertEqual({"k": 1}, agent.upstream.runs)

        run(scenario())

    def test_a_killed_home_leaves_its_keys_unknown_and_runs_others(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await settled(world)
            other = await world.entry(1)
            await asyncio.sleep(SETTLED_S)
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
            agent, entry = await settled(world)
            self.assertEqual("go", await outcome(world, entry, plain_call(world, "k")))
            agent.gate.leaving = True
            refused = await outcome(world, entry, plain_call(world, "late"))
            self.assertEqual("upstream_leaving", refused)
            await agent.listener.hand_over()
            await asyncio.sleep(0.1)
            successor = world.replace(agent, "two")
            await asyncio.sleep(SETTLED_S)
            self.assertEqual("go", await outcome(world, entry, plain_call(world, "k")))
            self.assertEqual("go", await outcome(world, entry, plain_call(world, "late")))
            self.assertEqual({"late": 1}, successor.upstream.runs)

        run(scenario())

    def test_nothing_is_lost_on_its_way_to_a_stopping_agent(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await settled(world)
            for link in world.network.links:
                link.delay_s = 0.2
            agent.gate.leaving = True
            closing = asyncio.create_task(say_closing(agent.listener))
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
            agent, entry = await settled(world)
            other = await world.entry(1)
            await asyncio.sleep(SETTLED_S)
            self.assertEqual("go", await outcome(world, entry, plain_call(world, "k")))
            await entry.keys.hand_over()
            await asyncio.sleep(0.1)
            await entry.links.stop()
            del world.members.members[entry.member.name]
            world.members.notify()
            world.replace(agent, "two")
            await asyncio.sleep(SETTLED_S)
            self.assertEqual("answer_gone", await outcome(world, other, plain_call(world, "k")))
            self.assertEqual("go", await outcome(world, other, plain_call(world, "opaque")))

        run(scenario())

    def test_a_home_vouches_for_an_entry_that_vanished_before_it(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await settled(world)
            other = await world.entry(1)
            await asyncio.sleep(SETTLED_S)
            self.assertEqual("go", await outcome(world, entry, plain_call(world, "k")))
            await entry.links.stop()
            del world.members.members[entry.member.name]
            world.members.notify()
            await asyncio.sleep(1.0)
            successor = world.replace(agent, "two")
            await asyncio.sleep(SETTLED_S)
            self.assertEqual("answer_gone", await outcome(world, other, plain_call(world, "k")))
            self.assertEqual("go", await outcome(world, other, plain_call(world, "opaque")))
            self.assertEqual({"opaque": 1}, successor.upstream.runs)

        run(scenario())

    def test_a_home_hands_over_only_its_own_keys(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await settled(world)
            foreign, own = KeyId("lab", "x"), KeyId("lab", "own")
            for key_id in (foreign, own):
                agent.home.ledger.learn(key_id, KeyRecord("f", KeyState.UNKNOWN, 1.0))
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

    def test_an_entry_that_was_vouched_for_sends_no_keys_any_more(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await settled(world)
            agent.listener.vouched.add(EntryId(entry.member.name, "one"))
            self.assertEqual(
                "home_unreachable", await outcome(world, entry, plain_call(world, "k"))
            )
            self.assertEqual("go", await outcome(world, entry, plain_call(world)))
            self.assertFalse(agent.upstream.runs["k"])

        run(scenario())

    def test_an_entry_that_vanished_holds_back_keys_that_may_be_its_own(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await settled(world)
            other = await world.entry(1)
            await asyncio.sleep(SETTLED_S)
            self.assertEqual("go", await outcome(world, entry, plain_call(world, "k")))
            successor = world.replace(agent, "two")
            await entry.links.stop()
            del world.members.members[entry.member.name]
            world.members.notify()
            await asyncio.sleep(SETTLED_S)
            self.assertEqual("home_recovering", await outcome(world, other, plain_call(world, "k")))
            self.assertFalse(successor.upstream.runs)

        run(scenario())


class StaleListTest(unittest.TestCase):
    def test_a_link_stops_although_the_end_of_a_session_takes_its_cancellation(self) -> None:
        async def scenario() -> None:
            world = World()
            _, entry = await settled(world)
            link = next(iter(entry.links.links.values()))
            ending = asyncio.Event()

            async def end_session() -> None:
                ending.set()
                with contextlib.suppress(asyncio.CancelledError):
                    await asyncio.sleep(60.0)

            link.end_session = end_session  # type: ignore[method-assign]
            for wire in list(world.network.links):
                wire.cut()
            await ending.wait()
            began_s = world.clock.monotonic()
            await asyncio.wait_for(link.stop(), 10.0)
            self.assertLess(world.clock.monotonic() - began_s, 9.0)

        run(scenario())

    def test_requests_that_wait_for_a_home_hold_up_no_others(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await settled(world)
            world.offer(2, plain_document(zones=[{"zone": ZONE, "replicas": 2}]))
            away = [f"k{number}" for number in range(200)]
            calls = [plain_call(world, key) for key in away]
            waiting = [asyncio.create_task(outcome(world, entry, call)) for call in calls]
            await asyncio.sleep(1.0)
            began_s = world.clock.monotonic()
            self.assertEqual("go", await outcome(world, entry, plain_call(world)))
            self.assertLess(world.clock.monotonic() - began_s, 1.0)
            await asyncio.gather(*waiting)
            self.assertTrue(agent.upstream.runs)

        run(scenario())

    def test_a_list_that_names_a_replaced_process_changes_nothing(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await settled(world)
            successor = world.replace(agent, "two")
            await asyncio.sleep(SETTLED_S)
            for _ in range(5):
                for member in (agent.member, successor.member):
                    world.members.put(member)
                    await asyncio.sleep(1.0)
                    self.assertEqual("go", await outcome(world, entry, plain_call(world)))
            self.assertLessEqual(len(entry.links.replaced), 1)
            self.assertEqual(1, len(successor.listener.connections))
            world.members.put(agent.member)
            await asyncio.sleep(1.0)
            self.assertEqual("go", await outcome(world, entry, plain_call(world, "k")))

        run(scenario())


class HomeWaitTest(unittest.TestCase):
    def test_a_home_that_stays_away_is_waited_for_once_and_not_by_each_request(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await settled(world)
            del world.network.handlers[(agent.member.host, agent.member.port)]
            for link in list(world.network.links):
                link.cut()
            await asyncio.sleep(0.1)
            told: list[tuple[str, float]] = []
            for key in ("first", "second"):
                began_at_s = world.clock.monotonic()
                error = await outcome(world, entry, plain_call(world, key))
                told.append((error, world.clock.monotonic() - began_at_s))
            self.assertEqual(["home_unreachable"] * 2, [error for error, _ in told])
            self.assertLessEqual(told[0][1], HOME_WAIT_S)
            self.assertLess(told[1][1], AT_ONCE_S)
            world.network.listen(agent.member.host, agent.member.port, agent.listener.serve)
            await asyncio.sleep(SETTLED_S)
            self.assertEqual("go", await outcome(world, entry, plain_call(world, "third")))

        run(scenario())


class FailureTest(unittest.TestCase):
    def test_an_entry_that_is_full_does_not_call_a_key_not_run(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await settled(world)
            agent.upstream.delay_s = 3.0
            first = asyncio.create_task(outcome(world, entry, plain_call(world, "k")))
            await asyncio.sleep(0.1)
            admission = entry.relay.guard.admissions["table-ops"]
            admission.in_flight, admission.time_s = 1000, 1000.0
            self.assertEqual("copy_refused", await outcome(world, entry, plain_call(world, "k")))
            self.assertEqual("overloaded", await outcome(world, entry, plain_call(world)))
            self.assertEqual("go", await first)

        run(scenario())

    def test_not_run_is_never_told_after_an_attempt_that_may_have_run(self) -> None:
        async def scenario() -> None:
            world = World()
            _, entry = await settled(world)
            link = next(iter(entry.links.links.values()))
            failure = Failure(chat_call(world))
            failure.note(GypsumpierError(codes.OUTCOME_UNKNOWN, ""), link)
            failure.note(GypsumpierError(codes.UPSTREAM_LEAVING, ""), link)
            self.assertEqual(codes.OUTCOME_UNKNOWN, failure.told().code)
            failure = Failure(plain_call(world, "k"))
            failure.note(GypsumpierError(codes.HOME_RECOVERING, ""), link)
            failure.note(GypsumpierError(codes.KEY_REFUSED, ""), link)
            self.assertEqual(codes.KEY_REFUSED, failure.told().code)
            failure = Failure(plain_call(world, "k"))
            failure.note(GypsumpierError(codes.UPSTREAM_UNREACHABLE, ""), link)
            self.assertEqual(codes.HOME_UNREACHABLE, failure.told().code)

        run(scenario())


if __name__ == "__main__":
    unittest.main()
