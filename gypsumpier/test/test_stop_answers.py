"""Tests of what an entry answers while it stops, on connections that stay open.

Whatever it takes up is answered; what it can't answer in time is refused as not run.
"""

import asyncio
import os
import time
import unittest
from typing import Final

from gypsumpier.gateway.application import LEAVE_ROTATION_S, STOP_MARGIN_S
from gypsumpier.test.builders_platform import PLAIN, command_route_body, route_body
from gypsumpier.test.gatewayfleet import GatewayFleet
from gypsumpier.test.slowcaller import BODY, SlowCaller, request_head

GRACE_S: Final = 4.5
ENDS_S: Final = GRACE_S - STOP_MARGIN_S
"""Seconds from the beginning of a stop until the entry must have answered everything."""
LATE_S: Final = LEAVE_ROTATION_S + 0.4
"""Seconds from the beginning of a stop at which the balancer sends no more callers."""
MARGIN_S: Final = 0.4
"""Seconds by which a busy machine may be late."""
TURNS: Final = 50
"""Turns of the event loop in which a request that has arrived is handed over."""
LONG_LIMIT_S: Final = 8.0
SHORT_LIMIT_S: Final = 0.6
TURNS_MAX: Final = 6
"""Turns of the event loop within which tornado hands a request over that it has read."""
ROUTES: Final = [
    route_body(timeout_ms=9000),
    command_route_body(timeout_ms=9000),
]


class StopAnswersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = GatewayFleet()
        self.fleet.configure(routes=ROUTES)
        self.plain = self.fleet.add("p-1", PLAIN)
        settings = self.fleet.entry.settings
        bounds = settings.bounds._replace(stop_s=GRACE_S)
        self.fleet.entry.settings = settings._replace(bounds=bounds)
        await self.fleet.start()
        await self.fleet.settle()
        self.addAsyncCleanup(self.fleet.stop)
        self.stop_began_s = 0.0

    async def caller(self) -> SlowCaller:
        """Return a caller with an open connection."""
        found = SlowCaller(self.fleet.port)
        await found.connect()
        self.addCleanup(found.close)
        return found

    def begin_stop(self) -> asyncio.Task[None]:
        """Begin to stop the entry."""
        self.stop_began_s = time.monotonic()
        stop = asyncio.create_task(self.stop_and_exit())
        self.addCleanup(stop.cancel)
        return stop

    async def stop_and_exit(self) -> None:
        """Stop the entry, then close its connections as the end of its process does."""
        await self.fleet.entry.stop()
        for connection in list(self.fleet.entry.front.connections.values()):
            connection.stream.close()

    async def until(self, stop_age_s: float) -> None:
        """Wait until the stop is so many seconds old."""
        await asyncio.sleep(self.stop_began_s + stop_age_s - time.monotonic())

    # Guards against a request that is passed on late in a stop and then cut without an answer.
    async def test_a_body_that_ends_late_in_a_stop_is_refused_as_not_run(self) -> None:
        self.plain.plan = ["mute"] * 4
        callers = [await self.caller() for _ in range(4)]
        for number, caller in enumerate(callers):
            caller.send_head(f"late-{number}", "/commands/x", LONG_LIMIT_S)
        await asyncio.sleep(0.1)
        stop = self.begin_stop()
        await self.until(LATE_S)
        for caller in callers:
            caller.send_rest()
        answers = await asyncio.gather(*(caller.receive() for caller in callers))
        answered_s = time.monotonic() - self.stop_began_s
        self.assertEqual([503] * 4, [answer.status for answer in answers])
        self.assertEqual(["close"] * 4, [answer.headers.get("Connection") for answer in answers])
        self.assertTrue(all("Retry-After" in answer.headers for answer in answers))
        self.assertEqual([], self.plain.run_ids)
        self.assertLess(answered_s, LATE_S + MARGIN_S)
        await stop

    # Guards against refusing what can still be answered for certain.
    async def test_a_body_that_ends_late_is_served_where_its_time_limit_ends_before_the_stop(
        self,
    ) -> None:
        caller = await self.caller()
        caller.send_head("short-1", "/commands/x", LATE_S + SHORT_LIMIT_S)
        await asyncio.sleep(0.1)
        stop = self.begin_stop()
        await self.until(LATE_S)
        caller.send_rest()
        self.assertEqual(200, (await caller.receive()).status)
        await stop

    # Guards against requests that run when the stop ends and whose callers get no answer at all.
    async def test_a_request_that_outlasts_the_stop_is_told_that_it_may_have_run(self) -> None:
        self.plain.plan = ["mute"]
        caller = await self.caller()
        caller.send_head("mute-1", "/commands/x", LONG_LIMIT_S)
        caller.send_rest()
        await asyncio.sleep(0.2)
        self.assertEqual(["mute-1"], self.plain.run_ids)
        stop = self.begin_stop()
        answer = await caller.receive()
        self.assertEqual(502, answer.status)
        self.assertEqual("close", answer.headers.get("Connection"))
        took_s = time.monotonic() - self.stop_began_s
        self.assertGreater(took_s, ENDS_S - MARGIN_S)
        self.assertLess(took_s, ENDS_S + MARGIN_S)
        await stop

    # Guards against a request that waits for a place until the process ends, without an answer.
    async def test_a_request_that_never_gets_a_place_is_told_that_it_has_not_run(self) -> None:
        self.plain.plan = ["mute"] * 20
        callers = [await self.caller() for _ in range(8)]
        for number, caller in enumerate(callers):
            caller.send_head(f"many-{number}", "/commands/x", LONG_LIMIT_S)
            caller.send_rest()
        await asyncio.sleep(0.2)
        stop = self.begin_stop()
        answers = await asyncio.gather(*(caller.receive() for caller in callers))
        for number, answer in enumerate(answers):
            has_run = f"many-{number}" in self.plain.run_ids
            self.assertEqual(502 if has_run else 503, answer.status)
        await stop

    # Guards against the close of a connection whose caller has sent a request at the same moment.
    async def test_a_connection_with_unread_bytes_is_not_closed_as_idle(self) -> None:
        caller = await self.caller()
        caller.send_head("first-1", "/commands/x", LONG_LIMIT_S)
        caller.send_rest()
        self.assertEqual(200, (await caller.receive()).status)
        await asyncio.sleep(0.1)
        request = request_head("second-1", "/commands/x", LONG_LIMIT_S) + BODY
        # The event loop, which is the entry's as well, does not run before the close.
        file_number = caller.writer.get_extra_info("socket").fileno()
        self.assertEqual(len(request), os.write(file_number, request))
        self.fleet.entry.front.close_idle()
        self.assertEqual(200, (await caller.receive()).status)

    # Guards against the same close in the turns of the event loop between the reading of a head and
    # its handling, whatever turn it is.
    async def test_a_kept_connection_is_not_closed_as_idle_while_its_request_is_parsed(
        self,
    ) -> None:
        caller = await self.caller()
        caller.send_head("first-1", "/commands/x", LONG_LIMIT_S)
        caller.send_rest()
        self.assertEqual(200, (await caller.receive()).status)
        await asyncio.sleep(0.1)
        file_number = caller.writer.get_extra_info("socket").fileno()
        # Without a body, nothing is left in the buffer once the head is read.
        head = request_head("second-1", "/commands/x", LONG_LIMIT_S)
        head = head.replace(b"POST", b"GET").replace(str(len(BODY)).encode(), b"0")
        os.write(file_number, head)
        for _ in range(TURNS):
            self.fleet.entry.front.close_idle()
            await asyncio.sleep(0)
        self.assertEqual(200, (await caller.receive()).status)

    # Guards against the same where tornado has read the head but not handed it over yet.
    async def test_a_connection_whose_request_is_being_parsed_is_not_closed_as_idle(self) -> None:
        request = request_head("parsed-{}", "/commands/x", LONG_LIMIT_S).decode()
        request = request.replace(f"Content-Length: {len(BODY)}", "Content-Length: 0")
        for turns in range(TURNS_MAX):
            with self.subTest(turns=turns):
                caller = await self.caller()
                await asyncio.sleep(0.05)
                file_number = caller.writer.get_extra_info("socket").fileno()
                os.write(file_number, request.format(turns).encode())
                for _ in range(turns):
                    await asyncio.sleep(0)
                self.fleet.entry.front.close_idle()
                self.assertEqual(200, (await caller.receive()).status)

    # Guards against a stop that waits without end for a request that never arrives.
    async def test_a_connection_with_a_part_of_a_head_is_closed_by_the_end_of_the_stop(
        self,
    ) -> None:
        caller = await self.caller()
        caller.writer.write(request_head("part-1", "/commands/x", LONG_LIMIT_S)[:30])
        await asyncio.sleep(0.1)
        await self.begin_stop()
        self.assertLess(time.monotonic() - self.stop_began_s, ENDS_S + MARGIN_S)
        self.assertEqual(0, (await caller.receive()).status)

    # Guards against a caller that uses its connection again because the answer to a request from
    # before the stop did not announce the close.
    async def test_an_answer_that_begins_in_a_stop_announces_the_close(self) -> None:
        self.plain.plan = ["queued"]
        caller = await self.caller()
        caller.send_head("queued-1", "/commands/x", LONG_LIMIT_S)
        caller.send_rest()
        await asyncio.sleep(0.3)
        stop = self.begin_stop()
        answer = await caller.receive()
        self.assertEqual((200, "close"), (answer.status, answer.headers.get("Connection")))
        await stop


if __name__ == "__main__":
    unittest.main()
