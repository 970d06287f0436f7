"""Tests of upstreams' answers whose status is none: they are no answers, and known at once."""

import time
import unittest
from typing import Final
from unittest import mock

from tornado.simple_httpclient import HTTPStreamClosedError

from gypsumpier.codes.platform import PLATFORM_UNREACHABLE
from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.node import Address
from gypsumpier.test.builders_platform import (
    ENGINES,
    PLAIN,
    engine_body,
)
from gypsumpier.test.invalidstatuses import STATUSES, answer_with
from gypsumpier.test.standin.scripted import ScriptedServer
from gypsumpier.test.test_cut_heads import (
    BODY,
    EVENTS,
    INTERIM,
    LENGTH,
    OWN,
    RELAYED,
    SLOW_S,
    STREAM,
    CutCase,
)
from gypsumpier.upstream import http
from gypsumpier.upstream.caller import UpstreamCaller
from gypsumpier.upstream.http import INTERIM_ANSWERS_MAX

AT_ONCE_S: Final = 0.3
"""Seconds in which the caller hears of it: a part of the time limit and of the silence of 0.35 s
after which a repeatable request is sent elsewhere anyway."""
CALL_TIMEOUT_S: Final = 5.0
PLAIN_HEADS: Final = {
    "a length": (OWN + LENGTH, BODY),
    "no length": (OWN, BODY),
    "no body": (OWN + "Content-Length: 0\r\n", ""),
    "a promise that it has not run": ("X-Not-Executed: 1\r\n" + OWN + LENGTH, BODY),
    "nothing of the upstream's own": (LENGTH, BODY),
}


class InvalidStatusCase(CutCase):
    """The upstream ``cut`` gives answers with invalid statuses and keeps its connections open."""

    def failures(self) -> int:
        """Return the failures in a row that the health of the upstream ``cut`` has."""
        tracker = self.fleet.entry.selector.health
        return sum(
            health.failures for run, health in tracker.health_by_run.items() if run[0] == "cut"
        )

    async def check_unknown(self, path: str) -> None:
        """Assert that the outcome is told as unknown, at once, and noted in the health."""
        began_s = time.monotonic()
        await self.check_lost(path)
        self.assertLess(time.monotonic() - began_s, AT_ONCE_S)
        self.assertEqual(1, self.failures())


class PlainStatusTest(InvalidStatusCase):
    service = PLAIN

    # Guards against such a status at the caller, and against a caller that hears of the unknown
    # outcome only at its time limit, although the answer has arrived.
    async def test_a_request_that_may_not_be_repeated_gets_502_at_once(self) -> None:
        for label, status in STATUSES.items():
            for head, (headers, body) in PLAIN_HEADS.items():
                with self.subTest(label, head=head):
                    self.answer(answer_with(status, headers, body))
                    await self.check_unknown("/commands/x")

    # Guards against the same behind an interim answer, where the status line is the second one.
    async def test_an_invalid_status_behind_an_interim_answer(self) -> None:
        for label, status in STATUSES.items():
            with self.subTest(label):
                self.answer(INTERIM.encode() + answer_with(status, OWN + LENGTH, BODY))
                await self.check_unknown("/commands/x")

    # Guards against a repeat that begins only after the silence, and a status that is relayed.
    async def test_a_request_that_may_be_repeated_is_answered_by_another_upstream(self) -> None:
        for label, status in STATUSES.items():
            with self.subTest(label):
                self.answer(answer_with(status, OWN + LENGTH, BODY))
                before, began_s = self.server.requests, time.monotonic()
                request_id = self.next_id()
                found = await self.fleet.call("/lookups/x", request_id)
                self.assertLess(time.monotonic() - began_s, AT_ONCE_S)
                whole = f"answer to {request_id} by other"
                self.assertEqual((200, whole), (found.code, found.body.decode()))
                self.assertEqual(1, self.server.requests - before)
                self.assertEqual(1, self.failures())

    # Guards against bytes behind such a head that are read as the answer to the next request.
    async def test_the_connection_is_not_used_again(self) -> None:
        self.answer(answer_with("600", OWN + LENGTH, BODY) + answer_with("200", OWN + LENGTH, BODY))
        await self.check_unknown("/commands/x")
        self.answer(answer_with("200", OWN + LENGTH, BODY))
        found = await self.fleet.call("/commands/x", self.next_id())
        self.assertEqual((200, BODY), (found.code, found.body.decode()))
        self.assertEqual(0, self.server.kept_requests)

    # Guards against counts that don't show what the log tells.
    async def test_invalid_answers_are_counted(self) -> None:
        with mock.patch.object(http, "INVALID_STATUSES") as counter:
            self.answer(answer_with("600", OWN + LENGTH, BODY))
            await self.check_unknown("/commands/x")
        counter.inc.assert_called_once_with()

    # Guards against a bound on statuses that refuses valid ones.
    async def test_the_first_and_the_last_status_are_relayed(self) -> None:
        for status in (200, 299, 404, 599):
            with self.subTest(status):
                self.answer(answer_with(str(status), OWN + LENGTH, BODY))
                found = await self.fleet.call("/commands/x", self.next_id())
                self.assertEqual((status, BODY), (found.code, found.body.decode()))


class StreamStatusTest(InvalidStatusCase):
    service = ENGINES

    # Guards against a stream whose head has such a status, and one that waits for its time limit.
    async def test_a_stream_that_may_not_be_repeated_gets_502_at_once(self) -> None:
        for label, status in STATUSES.items():
            with self.subTest(label):
                self.answer(answer_with(status, OWN + STREAM, EVENTS))
                await self.check_unknown("/once/reports/x")

    # Guards against a stream that isn't begun again at another engine, or is joined from two runs.
    async def test_a_stream_that_may_be_repeated_comes_from_another_engine(self) -> None:
        for label, status in STATUSES.items():
            with self.subTest(label):
                self.answer(answer_with(status, OWN + STREAM, EVENTS))
                began_s = time.monotonic()
                found = await self.fleet.call("/reports/x", self.next_id())
                self.assertLess(time.monotonic() - began_s, AT_ONCE_S)
                self.assertEqual((200, EVENTS), (found.code, found.body.decode()))
                self.assertEqual(1, self.failures())


class ResumptionStatusTest(InvalidStatusCase):
    service = ENGINES

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet.store.remove("servers/other")
        self.engine = self.fleet.add("i-1", ENGINES)
        self.engine.event_pause_s = 0.0
        self.fleet.store.put(
            "servers/cut", engine_body(2, address=self.server.address, zone="nam-a")
        )
        await self.fleet.settle()

    # Guards against a stream that looks whole, or gets events of an answer that is none.
    async def test_a_resumption_that_gets_an_invalid_status_breaks_off_visibly(self) -> None:
        received: list[bytes] = []
        rest = EVENTS.removeprefix(RELAYED)
        for label, status in STATUSES.items():
            with self.subTest(label):
                self.answer(answer_with(status, OWN + STREAM, rest))
                self.engine.plan = ["cut"]
                received.clear()
                began_s = time.monotonic()
                with self.assertRaises(HTTPStreamClosedError):
                    await self.fleet.call(
                        "/reports/x", self.next_id(), streaming_callback=received.append
                    )
                self.assertLess(time.monotonic() - began_s, AT_ONCE_S)
                self.assertEqual(RELAYED, b"".join(received).decode())


class SecondAttemptStatusTest(InvalidStatusCase):
    service = PLAIN

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.replace_other_by_slow()

    # Guards against a second attempt that ends the first one by an answer that is none, or relays
    # it: the first upstream was only slow.
    async def test_a_second_attempt_that_gets_an_invalid_status(self) -> None:
        for label, status in STATUSES.items():
            with self.subTest(label):
                self.answer(answer_with(status, OWN + LENGTH, BODY))
                before, request_id = self.server.requests, self.next_id()
                found = await self.fleet.call(f"/jobs/{SLOW_S}", request_id)
                whole = f"answer to {request_id} by slow"
                self.assertEqual((200, whole), (found.code, found.body.decode()))
                self.assertEqual(1, self.server.requests - before)
                self.assertEqual(1, self.failures())


class InternalCallTest(unittest.IsolatedAsyncioTestCase):
    # Guards against reports, orders and pieces of an engine that are awaited for their whole
    # timeout, or whose invalid status is taken for a refusal.
    async def test_an_internal_call_fails_at_once(self) -> None:
        for label, status in STATUSES.items():
            with self.subTest(label):
                await self.check_call(answer_with(status, LENGTH, BODY))

    # Guards against interim answers without end, which never are an answer.
    async def test_interim_answers_without_a_final_one(self) -> None:
        await self.check_call(INTERIM.encode() * (INTERIM_ANSWERS_MAX + 2))

    async def check_call(self, content: bytes) -> None:
        """Assert that a call that is answered so fails at once."""
        server = ScriptedServer(content, closes=False)
        await server.start()
        self.addAsyncCleanup(server.stop)
        host, _, port = server.address.partition(":")
        caller = UpstreamCaller(Address(host, int(port)))
        self.addCleanup(caller.close)
        began_s = time.monotonic()
        with self.assertRaises(GypsumpierError) as caught:
            await caller.call("GET", "/report", CALL_TIMEOUT_S)
        self.assertLess(time.monotonic() - began_s, AT_ONCE_S)
        self.assertEqual(PLATFORM_UNREACHABLE, caught.exception.code)


if __name__ == "__main__":
    unittest.main()
