"""Tests of answers with the status of a refusal that don't state that the request has not run.

By 408, 421, 429 and 503 a caller is told that its request has not run and never will.  A faulty
upstream also answers with these statuses what it has run.
"""

import asyncio
import json
import time
import unittest
from typing import Final

from gypsumpier.codes.request import ANSWER_LOST, EVERY_TRY_REFUSED
from gypsumpier.gateway.sender import PLAIN_SILENCE_S
from gypsumpier.platform.headers import EVENT_STREAM
from gypsumpier.test.builders_platform import (
    ENGINES,
    PLAIN,
    engine_body,
    plain_body,
    route_body,
)
from gypsumpier.test.standin.scripted import ScriptedServer
from gypsumpier.test.test_cut_heads import (
    BODY,
    CHUNKED,
    EVENTS,
    INTERIM,
    LENGTH,
    OWN,
    SLOW_S,
    STREAM,
    CutCase,
    chunks,
)

STATUSES: Final = (408, 429, 503)
"""Statuses of refusals; 421 alone states that the request has not run."""
REFUSALS: Final = (408, 421, 429, 503)
AT_ONCE_S: Final = 0.3
"""Seconds in which the caller hears of it: a part of its time limit."""
NOT_RUN: Final = "X-Not-Executed: 1\r\n"
DENIALS: Final = ("0", "?0", "false", "False", "no")
"""Values by which an upstream states that it may have run the request."""
FORMS: Final = {
    "a length": (OWN + LENGTH, BODY),
    "chunks": (OWN + CHUNKED, chunks(BODY)),
    "no body": (OWN + "Content-Length: 0\r\n", ""),
    "a time to return": (OWN + LENGTH + "Retry-After: 1\r\n", BODY),
    "a close": (OWN + LENGTH + "Connection: close\r\n", BODY),
    "no seal": ("X-Request-Id: {id}\r\n" + LENGTH, BODY),
    "a stream": (OWN + STREAM + CHUNKED, chunks(EVENTS)),
    "a body that does not end": (OWN + "Content-Length: 100\r\n", BODY),
    "chunks that do not end": (OWN + CHUNKED, chunks(BODY).removesuffix("0\r\n\r\n")),
    "neither a length nor an end": (OWN, BODY),
    "another header that says so": (OWN + LENGTH + "X-Executed: 0\r\n", BODY),
    "a denial": (OWN + LENGTH + "X-Not-Executed: false\r\n", BODY),
    "a denial after a statement": (OWN + LENGTH + NOT_RUN + "X-Not-Executed: 0\r\n", BODY),
}
"""Heads and bodies of answers."""


def answer_of(status: int, headers: str = OWN + LENGTH, body: str = BODY) -> bytes:
    """Return an answer with that status and these header lines."""
    return f"HTTP/1.1 {status} Status\r\n{headers}\r\n{body}".encode()


class UnstatedCase(CutCase):
    """The upstream ``cut`` answers as scripted and keeps its connections open."""

    def answer(self, content: bytes) -> None:
        """Do the same, and forget the rests that earlier answers asked for."""
        super().answer(content)
        self.fleet.entry.selector.statements.rests.known.clear()

    async def check_unknown(self, path: str, runs_max: int = 1) -> None:
        """Assert that the caller is told at once that its request may have run.

        The upstream ``cut`` has got it, at most ``runs_max`` times.
        """
        before, began_s = self.server.requests, time.monotonic()
        found = await self.fleet.call(path, self.next_id())
        self.assertLess(time.monotonic() - began_s, AT_ONCE_S)
        self.assertEqual(502, found.code)
        told = json.loads(found.body)
        self.assertEqual((ANSWER_LOST.number, "unknown"), (told["code"], told["outcome"]))
        for name in ("X-Server-Seal", "Retry-After", "X-Not-Executed"):
            self.assertNotIn(name, found.headers)
        self.assertIn(self.server.requests - before, range(1, runs_max + 1))

    async def replace_other(self, content: bytes) -> ScriptedServer:
        """Let the upstream in the other zone answer so as well."""
        server = ScriptedServer(content, closes=False)
        await server.start()
        self.addAsyncCleanup(server.stop)
        build = engine_body if self.service == ENGINES else plain_body
        self.fleet.store.put("servers/other", build(2, address=server.address, zone="nam-a"))
        await self.fleet.settle()
        return server


class CommandTest(UnstatedCase):
    # Guards against a command that has run and whose caller is told that it has not.
    async def test_a_command_that_may_have_run_is_not_called_refused(self) -> None:
        for status in STATUSES:
            for label, (headers, body) in FORMS.items():
                with self.subTest(label, status=status):
                    self.answer(answer_of(status, headers, body))
                    await self.check_unknown("/commands/x")
                    self.assertEqual([], self.other.run_ids)

    # Guards against the same where the status line is the second one of the answer.
    async def test_a_refusal_behind_an_interim_answer(self) -> None:
        for status in STATUSES:
            with self.subTest(status):
                self.answer(INTERIM.encode() + answer_of(status))
                await self.check_unknown("/commands/x")

    # Guards against the same for a command that another upstream has refused before.
    async def test_a_command_that_was_refused_before_and_may_have_run_then(self) -> None:
        for status in STATUSES:
            with self.subTest(status):
                other = await self.replace_other(answer_of(status))
                self.answer(answer_of(503, OWN + NOT_RUN + LENGTH))
                await self.check_unknown("/commands/x")
                self.assertEqual(1, other.requests)

    # Guards against the same for commands that are sent together and one after the other.
    async def test_many_commands_that_may_have_run(self) -> None:
        self.answer(answer_of(503))
        for _ in range(3):
            before = self.server.requests
            calls = [self.fleet.call("/commands/x", self.next_id()) for _ in range(8)]
            codes = [found.code for found in await asyncio.gather(*calls)]
            # The entry prefers the other upstream once this one has failed often enough.
            self.assertEqual(self.server.requests - before, codes.count(502))
            self.assertLessEqual(set(codes), {200, 502})

    # Guards against requests to an upstream that has asked for a rest by such an answer.
    async def test_the_upstream_gets_the_rest_that_it_asks_for(self) -> None:
        self.answer(answer_of(503, OWN + "Retry-After: 5\r\n" + LENGTH))
        await self.check_unknown("/commands/x")
        before = self.server.requests
        found = await self.fleet.call("/commands/x", self.next_id())
        self.assertEqual((200, before), (found.code, self.server.requests))

    # Guards against the same in a stop of the entry.
    async def test_a_command_that_may_have_run_in_a_stop(self) -> None:
        self.answer(answer_of(503))
        stopping = asyncio.create_task(self.fleet.entry.stop())
        await asyncio.sleep(0.05)
        await self.check_unknown("/commands/x")
        await stopping

    # Guards against a refused command that is sent on although the same answer says that it ran.
    async def test_a_success_that_states_that_the_command_has_not_run(self) -> None:
        self.answer(answer_of(200, OWN + NOT_RUN + LENGTH))
        await self.check_unknown("/commands/x")
        self.assertEqual([], self.other.run_ids)

    # Guards against a command that has run and whose misdirection is denied by the same answer.
    async def test_a_misdirected_command_whose_answer_denies_it(self) -> None:
        self.answer(answer_of(421, f"{OWN}{LENGTH}X-Not-Executed: 0\r\n"))
        await self.check_unknown("/commands/x")
        self.assertEqual([], self.other.run_ids)

    # Guards against an answer that denies being a refusal and is taken for one, or passed on with
    # the header that callers take for the statement.
    async def test_an_answer_that_denies_that_the_command_has_not_run(self) -> None:
        for status in (200, 400, 500):
            for value in DENIALS:
                with self.subTest(value, status=status):
                    self.answer(answer_of(status, f"{OWN}{LENGTH}X-Not-Executed: {value}\r\n"))
                    found = await self.fleet.call("/commands/x", self.next_id())
                    self.assertEqual((status, BODY), (found.code, found.body.decode()))
                    self.assertNotIn("X-Not-Executed", found.headers)
                    self.assertEqual([], self.other.run_ids)


class StatedRefusalTest(UnstatedCase):
    async def check_refused(self) -> int:
        """Assert that a command is told as not run, with a time to return; return the code."""
        found = await self.fleet.call("/commands/x", self.next_id())
        told = json.loads(found.body)
        self.assertEqual((503, "not_run"), (found.code, told["outcome"]))
        self.assertGreater(float(found.headers["Retry-After"]), 0.0)
        return int(told["code"])

    # Guards against an unknown outcome for a command that certainly has not run.
    async def test_a_command_that_every_upstream_refuses_is_called_refused(self) -> None:
        for status in REFUSALS:
            with self.subTest(status):
                refusal = answer_of(status, OWN + NOT_RUN + LENGTH)
                other = await self.replace_other(refusal)
                self.answer(refusal)
                await self.check_refused()
                self.assertGreaterEqual(other.requests, 1)

    # Guards against a statement that counts only with one value: the pages name none.
    async def test_any_value_but_a_denial_states_a_refusal(self) -> None:
        for value in ("1", "true", "yes", "", "i-1"):
            with self.subTest(value):
                refusal = answer_of(503, f"{OWN}{LENGTH}X-Not-Executed: {value}\r\n")
                other = await self.replace_other(refusal)
                self.answer(refusal)
                await self.check_refused()
                self.assertGreaterEqual(other.requests, 1)

    # Guards against the same where no retry is left.
    async def test_a_refused_command_without_a_retry_is_called_refused(self) -> None:
        retries = self.fleet.entry.retries
        retries.bounds = retries.bounds._replace(retry_share=0.0, retry_slack=0.0)
        for status in REFUSALS:
            with self.subTest(status):
                self.answer(answer_of(status, OWN + NOT_RUN + LENGTH))
                self.assertEqual(EVERY_TRY_REFUSED.number, await self.check_refused())
                self.assertEqual([], self.other.run_ids)

    # Guards against a command that is not sent to another upstream, as its refusal was not read.
    async def test_a_refused_command_is_answered_by_another_upstream(self) -> None:
        refusals = [answer_of(status, OWN + NOT_RUN + LENGTH) for status in REFUSALS]
        refusals += [
            answer_of(421),
            answer_of(503, OWN + "x-not-executed: 1\r\n" + LENGTH),
            answer_of(503, OWN + NOT_RUN + "Content-Length: 100\r\n"),
            INTERIM.encode() + answer_of(503, OWN + NOT_RUN + CHUNKED, chunks(BODY)),
        ]
        for refusal in refusals:
            with self.subTest(refusal):
                self.answer(refusal)
                request_id = self.next_id()
                found = await self.fleet.call("/commands/x", request_id)
                whole = f"answer to {request_id} by other"
                self.assertEqual((200, whole), (found.code, found.body.decode()))

    # Guards against a fix that hides other answers of an upstream.
    async def test_other_errors_of_an_upstream_are_relayed(self) -> None:
        for status in (400, 404, 409, 500, 502, 504):
            with self.subTest(status):
                self.answer(answer_of(status))
                found = await self.fleet.call("/commands/x", self.next_id())
                self.assertEqual((status, BODY), (found.code, found.body.decode()))
                self.assertEqual("seal", found.headers["X-Server-Seal"])


class LookupTest(UnstatedCase):
    # Guards against a request that may be repeated and is not, or is called refused.
    async def test_a_lookup_is_answered_by_another_upstream(self) -> None:
        for status in STATUSES:
            with self.subTest(status):
                self.answer(answer_of(status))
                request_id = self.next_id()
                found = await self.fleet.call("/lookups/x", request_id)
                whole = f"answer to {request_id} by other"
                self.assertEqual((200, whole), (found.code, found.body.decode()))

    # Guards against a refusal by the last upstream of a request that an earlier one may have run.
    async def test_a_lookup_that_any_upstream_may_have_run_is_not_called_refused(self) -> None:
        for first in STATUSES:
            for last in STATUSES:
                with self.subTest(first=first, last=last):
                    other = await self.replace_other(answer_of(last))
                    self.answer(answer_of(first))
                    await self.check_unknown("/lookups/x")
                    self.assertEqual(1, other.requests)

    # Guards against the same where the last upstream states that it has not run the request.
    async def test_a_lookup_that_is_refused_after_it_may_have_run(self) -> None:
        for first in STATUSES:
            for last in REFUSALS:
                with self.subTest(first=first, last=last):
                    other = await self.replace_other(answer_of(last, OWN + NOT_RUN + LENGTH))
                    self.answer(answer_of(first))
                    # The second of the two attempts that its route allows may come back here.
                    await self.check_unknown("/lookups/x", runs_max=2)
                    self.assertGreaterEqual(other.requests, 1)

    # Guards against the same where no retry is left.
    async def test_a_lookup_without_a_retry_is_not_called_refused(self) -> None:
        retries = self.fleet.entry.retries
        retries.bounds = retries.bounds._replace(retry_share=0.0, retry_slack=0.0)
        for status in STATUSES:
            with self.subTest(status):
                self.answer(answer_of(status))
                await self.check_unknown("/lookups/x")
                self.assertEqual([], self.other.run_ids)


class SilentUpstreamTest(UnstatedCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.replace_other_by_slow()

    # Guards against the refusal of a second attempt that ends the first one, which goes on.
    async def test_a_second_attempt_that_gets_a_refusal(self) -> None:
        for status in STATUSES:
            with self.subTest(status):
                self.answer(answer_of(status))
                before, request_id = self.server.requests, self.next_id()
                found = await self.fleet.call(f"/jobs/{SLOW_S}", request_id)
                whole = f"answer to {request_id} by slow"
                self.assertEqual((200, whole), (found.code, found.body.decode()))
                self.assertEqual(1, self.server.requests - before)

    # Guards against the refusal of a silent upstream while a second attempt runs elsewhere.
    async def test_a_silent_upstream_that_answers_with_a_refusal(self) -> None:
        self.fleet.write_record("slow", PLAIN, zone="nam-a")
        self.fleet.store.put("servers/cut", plain_body(2, address=self.server.address))
        await self.fleet.settle()
        for status in STATUSES:
            with self.subTest(status):
                self.answer(answer_of(status))
                self.server.delay_s = (PLAIN_SILENCE_S + SLOW_S) / 2
                before, request_id = self.server.requests, self.next_id()
                found = await self.fleet.call(f"/jobs/{SLOW_S}", request_id)
                whole = f"answer to {request_id} by slow"
                self.assertEqual((200, whole), (found.code, found.body.decode()))
                self.assertEqual(1, self.server.requests - before)


class StreamTest(UnstatedCase):
    service = ENGINES

    # Guards against a stream that may not be repeated and is called refused after it has run.
    async def test_a_stream_that_may_have_run_is_not_called_refused(self) -> None:
        for status in STATUSES:
            for label, (headers, body) in FORMS.items():
                with self.subTest(label, status=status):
                    self.answer(answer_of(status, headers, body))
                    await self.check_unknown("/once/reports/x")
                    self.assertEqual([], self.other.run_ids)

    # Guards against a stream that isn't begun again at another engine.
    async def test_a_stream_that_may_be_repeated_comes_from_another_engine(self) -> None:
        for status in STATUSES:
            with self.subTest(status):
                self.answer(answer_of(status))
                found = await self.fleet.call("/reports/x", self.next_id())
                self.assertEqual((200, EVENTS), (found.code, found.body.decode()))

    # Guards against the same where the route allows one attempt.
    async def test_a_stream_with_one_attempt(self) -> None:
        self.fleet.configure(version=2, routes=[route_body(attempts=1)])
        await self.fleet.settle()
        for status in STATUSES:
            with self.subTest(status):
                self.answer(answer_of(status, OWN + f"Content-Type: {EVENT_STREAM}\r\n", EVENTS))
                await self.check_unknown("/reports/x")


if __name__ == "__main__":
    unittest.main()
