"""Tests of the own interface before upstreams that answer what they have run like refusals.

Only ``Gypsumpier-Outcome: not_run`` states that an upstream has not run a request.
"""

import asyncio
import json
import unittest
from collections.abc import AsyncIterator
from typing import Any, Final
from unittest import mock

from gypsumpier.agent.home import REFUSAL_MARGIN_S
from gypsumpier.agent.upstream import EngineUpstream, ServiceUpstream
from gypsumpier.codes.platform import (
    ORDER_FENCED,
    PLATFORM_BAD_ANSWER,
    PLATFORM_REFUSED,
    PLATFORM_UNREACHABLE,
)
from gypsumpier.codes.request import (
    KEY_OUTCOME_UNKNOWN,
    KEY_REFUSED,
    OUTCOME_UNKNOWN_WITHOUT_KEY,
    UPSTREAM_FAILED,
)
from gypsumpier.codes.result import ResultCode
from gypsumpier.entry.callerhandler import CallerHandler
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.engine import EngineStatus, LiveModel, LoadOrder
from gypsumpier.external.engine_http import HttpEngine
from gypsumpier.external.service_http import HttpService
from gypsumpier.test.builders import MODEL, SERVICE, model_document
from gypsumpier.test.ownfleet import OwnFleet
from gypsumpier.test.slowcaller import Received, SlowCaller
from gypsumpier.test.standin.scripted import ScriptedServer
from gypsumpier.test.test_own_stop_answers import COMMAND, head_of
from gypsumpier.weight.order import may_take_effect
from gypsumpier.wire.frame import Frame

REFUSALS: Final = (408, 421, 429, 503)
"""Statuses of refusals."""
LOOKUP: Final = "/services/table-ops/lookups"
CHAT: Final = "/v1/chat/completions"
LIMIT_S: Final = 5.0
BODY: Final = "failed"
LENGTH: Final = f"Content-Length: {len(BODY)}\r\n"
NOT_RUN: Final = "Gypsumpier-Outcome: not_run\r\n"
KEY: Final = "Idempotency-Key: k-1\r\n"
FORMS: Final = {
    "a length": (LENGTH, BODY),
    "chunks": ("Transfer-Encoding: chunked\r\n", f"{len(BODY):x}\r\n{BODY}\r\n0\r\n\r\n"),
    "no body": ("Content-Length: 0\r\n", ""),
    "neither": ("", BODY),
    "a time to return": (LENGTH + "Retry-After: 0.01\r\n", BODY),
    "another outcome": (LENGTH + "Gypsumpier-Outcome: unknown\r\n", BODY),
    "no outcome": (LENGTH + "Gypsumpier-Outcome:\r\n", BODY),
}
EVENT: Final = '{"position": 0, "text": "", "finish_reason": "stop", "version": "v1"}\n'
ORDER: Final = LoadOrder(MODEL, "v1", "digest", 1)


class HealthyService(HttpService):
    """A plain service whose health checks are not sent."""

    async def healthy(self) -> bool:
        return True


class LiveEngine(HttpEngine):
    """An engine that has a version live, and whose status is not asked for."""

    async def status(self) -> EngineStatus:
        return EngineStatus([LiveModel(MODEL, "v1", "digest")], 0, 0, 1, 1, "one")


def answer_of(status: int, headers: str = LENGTH, body: str = BODY) -> bytes:
    """Return an answer with that status and these header lines."""
    return f"HTTP/1.1 {status} Status\r\n{headers}\r\n{body}".encode()


def told(received: Received) -> tuple[int, int, str]:
    """Return status, code and outcome that a caller is told."""
    headers = received.headers
    code = int(headers.get("Gypsumpier-Code", "0"))
    return received.status, code, headers.get("Gypsumpier-Outcome", "")


def unknown(code: ResultCode) -> tuple[int, int, str]:
    """Return what a caller is told of a request that may have run."""
    return 502, code.number, "unknown"


class RefusingCase(unittest.IsolatedAsyncioTestCase):
    """An entry and an agent whose upstream answers as scripted."""

    async def asyncSetUp(self) -> None:
        self.server = ScriptedServer(b"", closes=True)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.number = 0

    async def start(self, service: str) -> None:
        """Start the fleet of a service."""
        self.fleet = OwnFleet(service)
        url = f"http://{self.server.address}"
        upstream = (
            EngineUpstream(LiveEngine(url))
            if service == SERVICE
            else ServiceUpstream(HealthyService(url))
        )
        self.fleet.agent.upstream.upstream = upstream
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)

    async def send(
        self, path: str, headers: str = "", method: str = "POST", body: bytes = b"{}"
    ) -> Received:
        """Return what a caller gets on a connection of its own."""
        caller = SlowCaller(self.fleet.port)
        await caller.connect()
        try:
            caller.writer.write(head_of(path, LIMIT_S, len(body), headers, method) + body)
            return await caller.receive()
        finally:
            caller.close()

    async def chat(self, stream: bool = False) -> Received:
        """Return what the caller of a chat gets."""
        body = {"model": MODEL, "messages": [{"role": "user", "content": "x"}], "stream": stream}
        return await self.send(CHAT, body=json.dumps(body).encode())

    def next_key(self) -> str:
        """Return the header of a new key."""
        self.number += 1
        return f"Idempotency-Key: k-{self.number}\r\n"


class ServiceRefusalTest(RefusingCase):
    # Guards against a command that has run and whose caller is told by the status that it has not.
    async def test_a_command_that_may_have_run_is_not_called_refused(self) -> None:
        await self.start("table-ops")
        for status in REFUSALS:
            for label, (headers, body) in FORMS.items():
                with self.subTest(label, status=status):
                    self.server.content = answer_of(status, headers, body)
                    before = self.server.requests
                    self.fleet.agent.upstream.statements.rests.known.clear()
                    received = await self.send(COMMAND)
                    self.assertEqual(unknown(OUTCOME_UNKNOWN_WITHOUT_KEY), told(received))
                    self.assertNotIn("Retry-After", received.headers)
                    self.assertEqual(1, self.server.requests - before)

    # Guards against the same for a request that may be repeated.
    async def test_a_lookup_that_may_have_run_is_not_called_refused(self) -> None:
        await self.start("table-ops")
        for status in REFUSALS:
            with self.subTest(status):
                self.server.content = answer_of(status)
                received = await self.send(LOOKUP, method="GET", body=b"")
                self.assertEqual(unknown(UPSTREAM_FAILED), told(received))

    # Guards against a key whose answer says that it was refused, and that runs again.
    async def test_a_key_that_may_have_run_is_not_called_refused(self) -> None:
        await self.start("table-ops")
        for status in REFUSALS:
            with self.subTest(status):
                self.server.content = answer_of(status)
                before, key = self.server.requests, self.next_key()
                for _ in range(2):
                    received = await self.send(COMMAND, key)
                    self.assertEqual(unknown(KEY_OUTCOME_UNKNOWN), told(received))
                asked = await self.send("/outcomes/table-ops", key, "GET", b"")
                self.assertEqual(unknown(KEY_OUTCOME_UNKNOWN), told(asked))
                self.assertEqual(1, self.server.requests - before)

    # Guards against a command that certainly has not run and is told as run or unknown.
    async def test_a_command_that_was_refused_is_called_refused(self) -> None:
        await self.start("table-ops")
        for status in (*REFUSALS, 500):
            for asked, headers in ((2, "Retry-After: 2\r\n"), (1, "")):
                with self.subTest(status, asked=asked):
                    self.server.content = answer_of(status, LENGTH + NOT_RUN + headers)
                    self.fleet.agent.upstream.statements.rests.known.clear()
                    self.forget_refusals()
                    received = await self.send(COMMAND)
                    self.assertEqual((503, PLATFORM_REFUSED.number, "not_run"), told(received))
                    self.assertEqual(str(asked), received.headers["Retry-After"])

    # Guards against a key that a refusal uses up.
    async def test_a_key_that_was_refused_may_run_later(self) -> None:
        await self.start("table-ops")
        self.server.content = answer_of(503, LENGTH + NOT_RUN)
        refused = await self.send(COMMAND, KEY)
        self.assertEqual((503, KEY_REFUSED.number, "not_run"), told(refused))
        self.assertIn("Retry-After", refused.headers)
        await asyncio.sleep(REFUSAL_MARGIN_S + 0.05)
        self.server.content = answer_of(200)
        self.assertEqual((200, 0, "done"), told(await self.send(COMMAND, KEY)))

    # Guards against a success that is told as refused, and sent again.
    async def test_a_success_that_states_that_the_command_has_not_run(self) -> None:
        await self.start("table-ops")
        self.server.content = answer_of(200, LENGTH + NOT_RUN)
        received = await self.send(COMMAND)
        self.assertEqual(unknown(OUTCOME_UNKNOWN_WITHOUT_KEY), told(received))
        self.assertEqual(1, self.server.requests)

    # Guards against a fix that hides other answers of a service.
    async def test_other_answers_are_passed_on(self) -> None:
        await self.start("table-ops")
        for status in (200, 400, 404, 409, 500, 502, 504):
            with self.subTest(status):
                self.server.content = answer_of(status)
                received = await self.send(COMMAND)
                self.assertEqual((status, 0, "done"), told(received))
                self.assertEqual(BODY, received.body.decode())

    def forget_refusals(self) -> None:
        """Let the entry send requests although the agent has named a time to return."""
        for link in self.fleet.entry.links.links.values():
            link.refuses_until_s = 0.0


class EngineRefusalTest(RefusingCase):
    # Guards against a chat that has run and whose caller is told that it has not.
    async def test_a_chat_that_may_have_run_is_not_called_refused(self) -> None:
        await self.start(SERVICE)
        for status in REFUSALS:
            for label, (headers, body) in FORMS.items():
                with self.subTest(label, status=status):
                    self.server.content = answer_of(status, headers, body)
                    self.fleet.agent.upstream.statements.rests.known.clear()
                    for stream in (False, True):
                        received = await self.chat(stream)
                        self.assertEqual(unknown(UPSTREAM_FAILED), told(received))

    # Guards against a chat that may not be repeated and runs at two engines.
    async def test_a_chat_that_may_not_be_repeated_is_sent_once(self) -> None:
        once = [{"prefix": "/", "methods": ["POST"], "idempotent": False, "priority": 1}]
        with mock.patch(
            "gypsumpier.test.ownfleet.model_document",
            lambda **fields: model_document(routes=once, **fields),
        ):
            await self.start(SERVICE)
        await self.fleet.add_agent(EngineUpstream(LiveEngine(f"http://{self.server.address}")))
        for status in REFUSALS:
            with self.subTest(status):
                self.server.content = answer_of(status)
                before = self.server.requests
                received = await self.chat()
                self.assertEqual(1, self.server.requests - before)
                self.assertEqual(unknown(OUTCOME_UNKNOWN_WITHOUT_KEY), told(received))

    # Guards against the status of a refusal for a chat whose engine ends as it runs it.
    async def test_a_chat_without_an_answer_is_not_called_refused(self) -> None:
        await self.start(SERVICE)
        self.server.content = b""
        self.assertEqual(unknown(PLATFORM_UNREACHABLE), told(await self.chat()))

    # Guards against a chat that may be repeated and gets the failure of the first engine.
    async def test_a_chat_that_may_be_repeated_comes_from_another_engine(self) -> None:
        await self.start(SERVICE)
        other = ScriptedServer(answer_of(200, "", EVENT), closes=True)
        await other.start()
        self.addAsyncCleanup(other.stop)
        await self.fleet.add_agent(EngineUpstream(LiveEngine(f"http://{other.address}")))
        for status in REFUSALS:
            with self.subTest(status):
                self.server.content = answer_of(status)
                before = self.server.requests
                # Both engines get the first one of a chat by chance.
                while self.server.requests == before:
                    self.assertEqual(200, (await self.chat()).status)

    # Guards against a chat that certainly has not run and is told as unknown.
    async def test_a_chat_that_was_refused_is_called_refused(self) -> None:
        await self.start(SERVICE)
        refusals = [answer_of(status, LENGTH + NOT_RUN) for status in REFUSALS]
        for refusal in (*refusals, answer_of(404), answer_of(409)):
            with self.subTest(refusal):
                self.server.content = refusal
                received = await self.chat()
                self.assertEqual((503, PLATFORM_REFUSED.number, "not_run"), told(received))
                self.assertEqual("1", received.headers["Retry-After"])

    # Guards against a fix that hides the answers of an engine.
    async def test_a_chat_is_answered(self) -> None:
        await self.start(SERVICE)
        self.server.content = answer_of(200, "", EVENT)
        self.assertEqual(200, (await self.chat()).status)


class EngineOrderTest(RefusingCase):
    async def failure(self, content: bytes) -> GypsumpierError:
        """Return the error of an order that is answered so."""
        self.server.content = content
        engine = HttpEngine(f"http://{self.server.address}")
        self.addCleanup(engine.close)
        with self.assertRaises(GypsumpierError) as loaded:
            await engine.load(ORDER)
        with self.assertRaises(GypsumpierError) as unloaded:
            await engine.unload(ORDER)
        self.assertEqual(loaded.exception.code, unloaded.exception.code)
        return loaded.exception

    # Guards against a load that is taken for refused while the engine carries it out.
    async def test_an_order_with_the_status_of_a_refusal_may_take_effect(self) -> None:
        for status in REFUSALS:
            with self.subTest(status):
                error = await self.failure(answer_of(status))
                self.assertEqual(PLATFORM_BAD_ANSWER, error.code)
                self.assertTrue(may_take_effect(error))

    # Guards against waiting for an order that the engine has refused.
    async def test_an_order_that_was_refused_takes_no_effect(self) -> None:
        refusals = [answer_of(status, LENGTH + NOT_RUN) for status in (*REFUSALS, 500)]
        for refusal in (*refusals, answer_of(404), answer_of(409)):
            with self.subTest(refusal):
                error = await self.failure(refusal)
                self.assertEqual(PLATFORM_REFUSED, error.code)
                self.assertFalse(may_take_effect(error))
        self.assertEqual(ORDER_FENCED, (await self.failure(answer_of(412))).code)


class OlderAgentTest(unittest.IsolatedAsyncioTestCase):
    # Guards against the status of a refusal that an agent of an older build has passed on.
    async def test_an_entry_does_not_answer_with_the_status_of_a_refusal(self) -> None:
        for status in REFUSALS:
            with self.subTest(status):

                async def frames(status: int = status) -> AsyncIterator[Frame]:
                    payload: dict[str, Any] = {"status": status, "headers": {}}
                    yield Frame("head", "e", 0, 0.0, payload)
                    yield Frame("end", "e", 1, 0.0, {"count": 0})

                handler = mock.Mock()
                with self.assertRaises(GypsumpierError) as caught:
                    await CallerHandler.write_plain(handler, frames())
                self.assertEqual(UPSTREAM_FAILED, caught.exception.code)
                handler.set_status.assert_not_called()


if __name__ == "__main__":
    unittest.main()
