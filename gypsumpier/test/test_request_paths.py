"""Requests from entry to upstream under lost connections, stale member lists and failures."""

import asyncio
import contextlib
import unittest

from gypsumpier.codes import request as codes
from gypsumpier.entry.failure import FailureHistory
from gypsumpier.errors import GypsumpierError
from gypsumpier.test.builders import ZONE, plain_document
from gypsumpier.test.builders_request import (
    MODEL_SERVICE,
    SETTLE_TIME_S,
    TOKENS,
    World,
    chat_call,
    connected_pair,
    outcome,
    plain_call,
)
from gypsumpier.test.virtual import run

COMPLETE_TEXT = "".join(f"{number} " for number in range(TOKENS))


class LostConnectionTest(unittest.TestCase):
    def test_an_answer_on_a_silent_connection_is_resumed_on_the_next(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await connected_pair(world)
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
            agent, entry = await connected_pair(world)
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
            agent, entry = await connected_pair(world)
            for link in world.network.links:
                link.silent = True
            self.assertEqual("go", await outcome(world, entry, plain_call(world, "k")))
            self.assertEqual({"k": 1}, agent.upstream.runs)

        run(scenario())

    def test_a_key_whose_home_is_out_of_reach_is_not_called_not_run(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await connected_pair(world)
            world.network.partition(agent.member.host, entry.member.host)
            call = plain_call(world, "k")
            self.assertEqual("outcome_unknown", await outcome(world, entry, call))
            self.assertEqual("home_unreachable", await outcome(world, entry, call))

        run(scenario())

    def test_a_stream_goes_on_where_it_was_cut(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await connected_pair(world, MODEL_SERVICE)
            call = asyncio.create_task(outcome(world, entry, chat_call(world)))
            await asyncio.sleep(2.2)
            for link in list(world.network.links):
                link.cut()
            self.assertEqual(COMPLETE_TEXT, await call)
            self.assertEqual(1, agent.upstream.runs.total())

        run(scenario())

    def test_a_chat_lost_on_its_only_upstream_is_sent_there_again(self) -> None:
        async def scenario() -> None:
            world = World()
            _, entry = await connected_pair(world, MODEL_SERVICE)
            call = asyncio.create_task(outcome(world, entry, chat_call(world)))
            await asyncio.sleep(0.2)
            for link in list(world.network.links):
                link.silent = True
            self.assertEqual(COMPLETE_TEXT, await call)

        run(scenario())

    def test_a_stream_whose_agent_died_is_never_truncated(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await connected_pair(world, MODEL_SERVICE)
            call = asyncio.create_task(outcome(world, entry, chat_call(world)))
            await asyncio.sleep(2.2)
            world.replace(agent, "two")
            self.assertEqual("outcome_unknown", await call)

        run(scenario())


class RepeatedAttemptTest(unittest.TestCase):
    # Guards against an answer that is refused as cut although its repeat is complete: it began with
    # the parts of the attempt that had failed.
    def test_an_answer_in_one_piece_has_the_parts_of_one_attempt(self) -> None:
        async def scenario() -> None:
            world = World()
            agents = [world.agent(MODEL_SERVICE, number=number) for number in range(2)]
            entry = await world.entry()
            await asyncio.sleep(SETTLE_TIME_S)
            call = asyncio.create_task(outcome(world, entry, chat_call(world, streamed=False)))
            await asyncio.sleep(2.2)
            failing = next(agent for agent in agents if agent.gate.running)
            failing.upstream.crashes += 1
            self.assertEqual(COMPLETE_TEXT, await call)

        run(scenario())


class StaleListTest(unittest.TestCase):
    def test_a_link_stops_although_the_end_of_a_session_swallows_its_cancellation(self) -> None:
        async def scenario() -> None:
            world = World()
            _, entry = await connected_pair(world)
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
            began_at_s = world.clock.monotonic()
            await asyncio.wait_for(link.stop(), 10.0)
            self.assertLess(world.clock.monotonic() - began_at_s, 9.0)

        run(scenario())

    def test_requests_that_wait_for_a_home_hold_up_no_others(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await connected_pair(world)
            world.offer(2, plain_document(zones=[{"zone": ZONE, "replicas": 2}]))
            keys = [f"k{number}" for number in range(200)]
            calls = [plain_call(world, key) for key in keys]
            waiting = [asyncio.create_task(outcome(world, entry, call)) for call in calls]
            await asyncio.sleep(1.0)
            began_at_s = world.clock.monotonic()
            self.assertEqual("go", await outcome(world, entry, plain_call(world)))
            self.assertLess(world.clock.monotonic() - began_at_s, 1.0)
            await asyncio.gather(*waiting)
            self.assertTrue(agent.upstream.runs)

        run(scenario())

    def test_a_list_that_names_a_replaced_process_changes_nothing(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await connected_pair(world)
            successor = world.replace(agent, "two")
            await asyncio.sleep(SETTLE_TIME_S)
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


class FailureTest(unittest.TestCase):
    def test_a_full_entry_does_not_report_a_key_as_not_run(self) -> None:
        async def scenario() -> None:
            world = World()
            agent, entry = await connected_pair(world)
            agent.upstream.delay_s = 3.0
            first = asyncio.create_task(outcome(world, entry, plain_call(world, "k")))
            await asyncio.sleep(0.1)
            admission = entry.relay.guard.admissions["table-ops"]
            admission.in_flight, admission.mean_duration_s = 1000, 1000.0
            self.assertEqual("copy_refused", await outcome(world, entry, plain_call(world, "k")))
            self.assertEqual("overloaded", await outcome(world, entry, plain_call(world)))
            self.assertEqual("go", await first)

        run(scenario())

    def test_not_run_is_never_reported_after_an_attempt_that_may_have_run(self) -> None:
        async def scenario() -> None:
            world = World()
            _, entry = await connected_pair(world)
            link = next(iter(entry.links.links.values()))
            failure = FailureHistory(chat_call(world))
            failure.record(GypsumpierError(codes.OUTCOME_UNKNOWN, ""), link)
            failure.record(GypsumpierError(codes.UPSTREAM_LEAVING, ""), link)
            self.assertEqual(codes.OUTCOME_UNKNOWN, failure.caller_error().code)
            failure = FailureHistory(plain_call(world, "k"))
            failure.record(GypsumpierError(codes.HOME_RECOVERING, ""), link)
            failure.record(GypsumpierError(codes.KEY_REFUSED, ""), link)
            self.assertEqual(codes.KEY_REFUSED, failure.caller_error().code)
            failure = FailureHistory(plain_call(world, "k"))
            failure.record(GypsumpierError(codes.UPSTREAM_UNREACHABLE, ""), link)
            self.assertEqual(codes.HOME_UNREACHABLE, failure.caller_error().code)

        run(scenario())


if __name__ == "__main__":
    unittest.main()
