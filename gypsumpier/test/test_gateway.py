"""End-to-end tests of an entry: from a caller's connection to an upstream and back."""

import asyncio
import time
import unittest
from collections.abc import Callable
from unittest import mock

from tornado.simple_httpclient import HTTPStreamClosedError

from gypsumpier.codes.request import QUEUE_TOO_LONG
from gypsumpier.fleet.node import Address
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway import sender
from gypsumpier.gateway.front import CallerExchange
from gypsumpier.gateway.refusal import Refusal
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.log import LOGGER, record_fields
from gypsumpier.test.builders_platform import ENGINES, KEY, MODEL, PLAIN, route_body
from gypsumpier.test.gatewayfleet import GatewayFleet
from gypsumpier.upstream.http import UpstreamStream

SLOW_CONNECT_S = 0.25
EVENTS = "".join(f"id: {number}\ndata: event {number}\n\n" for number in range(1, 6))


class GatewayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = GatewayFleet()
        self.fleet.configure()
        self.engine = self.fleet.add("i-1", ENGINES)
        self.other = self.fleet.add("i-2", ENGINES)
        self.plain = self.fleet.add("i-3", PLAIN)
        await self.fleet.start()
        await self.fleet.settle()

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    def plan(self, *actions: str) -> None:
        """Give every engine the same actions for its next requests."""
        for engine in (self.engine, self.other):
            engine.plan = list(actions)

    def runs(self) -> int:
        """Return how many requests the engines ran."""
        return len(self.engine.run_ids) + len(self.other.run_ids)

    async def test_a_stream_arrives_whole_with_its_seal(self) -> None:
        answer = await self.fleet.call("/reports/x")
        self.assertEqual((200, EVENTS), (answer.code, answer.body.decode()))
        self.assertIn("seal-of", answer.headers["X-Server-Seal"])

    async def test_an_upstream_gets_the_workspace_and_the_time_limit_but_never_the_key(
        self,
    ) -> None:
        headers = {"X-Deadline-Ms": "900", "X-Tenant": "forged", "Path": "127.0.0.1:1=0-16"}
        await self.fleet.call("/commands/x", headers=headers)
        seen = self.plain.received_headers[0]
        self.assertEqual(("lab", "i-3"), (seen["x-tenant"], seen["x-expect-instance"]))
        self.assertTrue(800 <= int(seen["x-deadline-ms"]) <= 900)
        self.assertFalse({"x-key", "path"} & set(seen))

    async def test_unknown_routes_and_keys_are_refused_without_a_run(self) -> None:
        paths = ("/else/x", "/reports/x")
        answers = [await self.fleet.call(path, headers={"X-Key": "no"}) for path in paths]
        self.assertEqual([404, 401], [answer.code for answer in answers])
        self.assertEqual(0, self.runs())

    async def test_a_cut_stream_resumes_elsewhere_after_the_last_complete_event(self) -> None:
        self.plan("cut")
        self.other.plan, self.engine.plan = ["cut"], ["cut"]
        first_cut = asyncio.create_task(self.fleet.call("/reports/x"))
        while not self.runs():
            await asyncio.sleep(0.005)
        untouched = self.other if self.engine.run_ids else self.engine
        untouched.plan = []
        answer = await first_cut
        self.assertEqual((200, EVENTS), (answer.code, answer.body.decode()))
        self.assertEqual("2", untouched.received_headers[0]["last-event-id"])

    async def test_a_stream_cut_twice_never_ends_as_complete(self) -> None:
        self.plan("cut")
        with self.assertRaises(HTTPStreamClosedError):
            await self.fleet.call("/reports/x")
        self.assertEqual(2, self.runs())

    async def test_a_command_whose_answer_is_lost_is_not_run_again(self) -> None:
        for action in ("cut", "crossed", "unsealed"):
            with self.subTest(action=action):
                self.plain.run_ids.clear()
                self.plain.plan = [action]
                self.fleet.entry.selector.health.health_by_run.clear()
                answer = await self.fleet.call("/commands/x", request_id=f"r-{action}")
                self.assertEqual((502, 1), (answer.code, len(self.plain.run_ids)))

    async def test_a_refused_command_goes_to_another_upstream(self) -> None:
        spare = self.fleet.add("i-4", PLAIN)
        await self.fleet.settle()
        self.plain.plan, spare.plan = ["wrong"], ["wrong"]
        answer = asyncio.create_task(self.fleet.call("/commands/x"))
        while not self.plain.received_headers and not spare.received_headers:
            await asyncio.sleep(0.005)
        (spare if self.plain.received_headers else self.plain).plan = []
        self.assertEqual(200, (await answer).code)
        self.assertEqual(1, len(self.plain.run_ids) + len(spare.run_ids))

    async def test_a_full_upstream_is_asked_again_a_moment_later(self) -> None:
        self.plain.plan = ["full", "full"]
        answer = await self.fleet.call("/commands/x")
        self.assertEqual((200, 1), (answer.code, len(self.plain.run_ids)))

    async def test_a_request_that_may_have_run_is_never_reported_as_not_run(self) -> None:
        """Guards against reporting a request as not run whose first attempt may have run.

        A stream is cut before its first event, and its retry is refused as the queue is too long.
        """
        for engine in (self.engine, self.other):
            engine.plan, engine.cut_after = ["cut"], 0
        admission = self.fleet.entry.admission
        enter = admission.enter

        async def enter_once(request: GatewayRequest) -> UpstreamRecord:
            if request.attempts:
                raise Refusal(QUEUE_TOO_LONG, 503, "too long", 1.0)
            return await enter(request)

        with mock.patch.object(admission, "enter", enter_once):
            answer = await self.fleet.call("/reports/x")
        self.assertEqual((502, 1), (answer.code, self.runs()))

    async def test_a_failed_attempt_is_logged_with_its_versions_and_waits(self) -> None:
        """Tells apart old weights, a slow connection and a slow answer as the cause."""
        self.plan("mute")
        with (
            self.assertLogs(LOGGER, "INFO") as logged,
            mock.patch.object(sender, "STREAM_SILENCE_S", 0.1),
        ):
            answer = asyncio.create_task(self.fleet.call("/reports/x"))
            while not self.engine.received_headers and not self.other.received_headers:
                await asyncio.sleep(0.005)
            (self.other if self.engine.received_headers else self.engine).plan = []
            await answer
        by_event = {found.getMessage(): record_fields(found) for found in logged.records}
        route, failed = by_event["route"], by_event["attempt_failed"]
        self.assertEqual(failed["upstream"], by_event["attempt_silent"]["upstream"])
        self.assertEqual((1, 0), (route["held_version"], route["least_version"]))
        self.assertGreaterEqual(float(str(failed["unanswered_s"])), 0.1)
        self.assertLess(float(str(failed["connect_s"])), 0.1)

    def slow_connections(self, while_connecting: Callable[[], None]) -> None:
        """Let each connection to an upstream take SLOW_CONNECT_S, with a change in that time."""
        pool = self.fleet.entry.pool
        connect = pool.connect

        async def connect_slowly(address: Address) -> UpstreamStream:
            while_connecting()
            await asyncio.sleep(SLOW_CONNECT_S)
            return await connect(address)

        patched = mock.patch.object(pool, "connect", connect_slowly)
        patched.start()
        self.addCleanup(patched.stop)

    async def test_the_time_limit_sent_to_an_upstream_is_what_is_left_after_connecting(
        self,
    ) -> None:
        """Guards against handing an upstream the time that its own connection has taken."""
        self.slow_connections(lambda: None)
        await self.fleet.call("/commands/x", headers={"X-Deadline-Ms": "900"})
        sent_ms = int(self.plain.received_headers[0]["x-deadline-ms"])
        self.assertLessEqual(sent_ms, 900 - 1000 * SLOW_CONNECT_S)

    async def test_an_upstream_that_leaves_while_it_is_connected_to_gets_no_request(self) -> None:
        """Guards against sending to an upstream chosen before its leaving was known."""
        spare = self.fleet.add("i-4", PLAIN)
        await self.fleet.settle()
        by_id = {"i-3": self.plain, "i-4": spare}
        chosen: list[str] = []

        def leave() -> None:
            if not chosen:
                chosen.extend(self.fleet.entry.selector.own_loads)
                self.fleet.write_record(chosen[0], PLAIN, state="draining")

        self.slow_connections(leave)
        answer = await self.fleet.call("/commands/x")
        self.assertEqual([], by_id[chosen[0]].run_ids)
        self.assertEqual(200, answer.code)
        health = self.fleet.entry.selector.health
        self.assertTrue(all(health.is_usable(run) for run in health.health_by_run))

    async def test_an_engine_with_newer_weights_than_are_due_serves_requests(self) -> None:
        """Guards against refusals by every engine after two versions were named in a row.

        The first one is due, and the engines hold the second one already.
        """
        state = self.fleet.entry.fleet_state
        for version in (2, 3):
            self.fleet.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": version})
            await self.fleet.settle()
        in_force_s = self.fleet.entry.settings.bounds.version_in_force_s
        first, second = state.versions[MODEL]
        named_at_s = first.earliest_named_at_s - in_force_s
        state.versions[MODEL] = [first._replace(earliest_named_at_s=named_at_s), second]
        for name, engine in (("i-1", self.engine), ("i-2", self.other)):
            self.fleet.write_record(name, ENGINES, version=3)
            patched = mock.patch.object(engine, "loaded_version", lambda: 3)
            patched.start()
            self.addCleanup(patched.stop)
        await self.fleet.settle()
        self.assertEqual(2, self.fleet.entry.least_version(ENGINES))
        answer = await self.fleet.call("/reports/x")
        sent = [*self.engine.received_headers, *self.other.received_headers]
        self.assertEqual(["3"], [headers.get("x-expect-version") for headers in sent])
        self.assertEqual((200, 1), (answer.code, self.runs()))

    async def test_an_error_answer_does_not_put_its_upstream_into_backoff(self) -> None:
        """Guards against backing off from healthy upstreams.

        One in seven lookups fails at every upstream with an error of its own.
        """
        route = route_body("lookups", prefix="/lookups/", kind="idempotent", service=PLAIN)
        self.fleet.configure(2, routes=[route])
        await self.fleet.settle()
        self.plain.plan = ["error", "ok"]
        began_s = time.monotonic()
        answer = await self.fleet.call("/lookups/x")
        self.assertLess(time.monotonic() - began_s, 0.3)
        self.assertEqual((200, 2), (answer.code, len(self.plain.run_ids)))
        run = self.fleet.entry.fleet_state.upstreams["i-3"].run_key()
        self.assertTrue(self.fleet.entry.selector.health.is_usable(run))

    async def test_bytes_after_an_answer_reach_no_other_request(self) -> None:
        self.plain.plan = ["extra"]
        answers = [await self.fleet.call("/commands/x", request_id=f"r{n}") for n in range(3)]
        bodies = [answer.body.decode() for answer in answers]
        self.assertEqual([f"answer to r{n} by i-3" for n in range(3)], bodies)

    async def test_a_request_at_its_time_limit_is_cancelled_at_its_upstream(self) -> None:
        self.plain.plan = ["mute"]
        call = await self.fleet.call("/commands/x", request_id="left")
        self.assertEqual(504, call.code)
        async with asyncio.timeout(2.0):
            while "left" not in self.plain.closed_ids:
                await asyncio.sleep(0.01)

    async def test_a_silent_engine_is_abandoned_for_another(self) -> None:
        with mock.patch.object(sender, "STREAM_SILENCE_S", 0.1):
            self.plan("mute")
            call = asyncio.create_task(self.fleet.call("/reports/x"))
            while not self.runs():
                await asyncio.sleep(0.005)
            (self.other if self.engine.run_ids else self.engine).plan = []
            answer = await call
        self.assertEqual((200, EVENTS), (answer.code, answer.body.decode()))

    async def test_without_a_fresh_proof_no_request_with_a_key_runs(self) -> None:
        self.fleet.store.down = True
        self.fleet.entry.fleet_state.proven_at_s -= 60.0
        answer = await self.fleet.call("/reports/x")
        self.assertEqual((503, 0), (answer.code, self.runs()))
        self.assertIn("Retry-After", answer.headers)
        self.assertFalse(self.fleet.entry.is_ready())

    async def test_a_revoked_key_is_refused_once_the_store_reports_it(self) -> None:
        self.fleet.configure(2, tenants=[{"name": "lab", "api_keys": ["another"]}])
        await self.fleet.settle()
        answer = await self.fleet.call("/reports/x", headers={"X-Key": KEY})
        self.assertEqual((401, 0), (answer.code, self.runs()))

    async def test_a_lost_watch_history_is_read_again(self) -> None:
        self.fleet.store.compact()
        self.fleet.store.put("servers/i-9", {"state": "?"})
        self.fleet.store.compact()
        await self.fleet.settle()
        self.assertEqual(200, (await self.fleet.call("/reports/x")).code)

    async def test_a_removed_engine_gets_no_new_requests(self) -> None:
        for name in ("i-1", "i-2"):
            self.fleet.store.remove(f"servers/{name}")
        await self.fleet.settle()
        answer = await self.fleet.call("/reports/x")
        self.assertEqual((503, 0), (answer.code, self.runs()))

    async def test_a_request_that_crosses_the_close_of_its_connection_is_not_run(self) -> None:
        """Guards against running a request whose caller can't be answered.

        A stop closes an idle connection while the next request is already in its buffer.
        """
        head = f"POST /reports/x HTTP/1.1\r\nHost: lab.example\r\nX-Key: {KEY}\r\n"
        reader, writer = await asyncio.open_connection("127.0.0.1", self.fleet.port)
        writer.write(f"{head}X-Request-Id: r1\r\nContent-Length: 2\r\n\r\n".encode())
        while not self.fleet.entry.front.active:
            await asyncio.sleep(0.005)
        (exchange,) = self.fleet.entry.front.active
        assert isinstance(exchange, CallerExchange)
        exchange.data_received(b"{}")
        exchange.connection.stream.close()
        exchange.finish()
        await asyncio.sleep(0.1)
        self.assertEqual(0, self.runs())
        writer.close()

    async def test_a_stop_announces_the_end_and_finishes_what_runs(self) -> None:
        running = asyncio.create_task(self.fleet.call("/reports/x"))
        while not self.runs():
            await asyncio.sleep(0.005)
        stopping = asyncio.create_task(self.fleet.entry.stop())
        await asyncio.sleep(0.05)
        self.assertFalse(self.fleet.entry.is_ready())
        late = await self.fleet.call("/commands/x")
        self.assertEqual((200, "close"), (late.code, late.headers.get("Connection")))
        self.assertEqual(EVENTS, (await running).body.decode())
        async with asyncio.timeout(6.0):
            await stopping
