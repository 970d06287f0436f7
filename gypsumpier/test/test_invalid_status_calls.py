"""Tests of answers whose status is none, on calls of the own interfaces and to the platform."""

import asyncio
import json
import time
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final
from unittest import mock

from gypsumpier.agent.order import AttemptOrder
from gypsumpier.agent.upstream import ServiceUpstream
from gypsumpier.codes.platform import PLATFORM_BAD_ANSWER, PLATFORM_UNREACHABLE
from gypsumpier.codes.result import Outcome
from gypsumpier.entry.callerhandler import CallerHandler
from gypsumpier.errors import GypsumpierError, NotSentError
from gypsumpier.external.configuration_http import HttpConfiguration
from gypsumpier.external.engine import Completion, LoadOrder
from gypsumpier.external.engine_http import HttpEngine
from gypsumpier.external.membership_http import HttpMembership
from gypsumpier.external.service import ServiceCall
from gypsumpier.external.service_http import HttpService
from gypsumpier.external.store_http import HttpStore
from gypsumpier.fleet.node import Address
from gypsumpier.platform.origin import PlatformOrigin
from gypsumpier.platform.store import PlatformStore
from gypsumpier.test.invalidstatuses import STATUSES, answer_with
from gypsumpier.test.standin.scripted import ScriptedServer
from gypsumpier.upstream.http import INTERIM_ANSWERS_MAX
from gypsumpier.wire.frame import Frame

CALL_TIMEOUT_S: Final = 10.0
AT_ONCE_S: Final = 0.5
"""Seconds in which a call fails: a part of the shortest timeout of all calls."""
BODY: Final = json.dumps(
    {
        "members": [],
        "documents": [],
        "position": 1,
        "files": [],
        "items": [],
        "events": [],
        "current_rev": 7,
        "model": "m",
        "version": 1,
        "digests": [],
        "live": [],
        "running": 0,
        "waiting": 0,
        "capacity": 1,
        "free_memory_bytes": 1,
    }
)
"""What each of the calls takes for a whole answer, if its status is a success."""
EVENT: Final = '{"position": 0, "text": "", "finish_reason": "stop", "version": "v1"}\n'
LENGTH: Final = f"Content-Length: {len(BODY)}\r\n"
STATED: Final = "Server-Limit: 1\r\nServer-Leaving: 1\r\n"
INTERIM: Final = "HTTP/1.1 100 Continue\r\n\r\n"
OK_HEAD: Final = f"HTTP/1.1 200 OK\r\n{LENGTH}"
BROKEN_HEADS: Final = {
    "interim answers without an end": INTERIM * (INTERIM_ANSWERS_MAX + 2),
    "two lengths": f"{OK_HEAD}Content-Length: 3\r\n\r\n{BODY}",
    "a length and chunks": f"{OK_HEAD}Transfer-Encoding: chunked\r\n\r\n{BODY}",
    "a length with a sign": f"HTTP/1.1 200 OK\r\nContent-Length: +{len(BODY)}\r\n\r\n{BODY}",
}

Call = Callable[[str], Awaitable[object]]


async def stream(events: AsyncIterator[object]) -> list[object]:
    """Return all events of a stream."""
    return [event async for event in events]


def address_of(address: str) -> Address:
    """Return the address of a server."""
    host, _, port = address.partition(":")
    return Address(host, int(port))


def url_of(address: str) -> str:
    """Return the URL of a server."""
    return f"http://{address}"


SERVICE_CALL: Final = ServiceCall("POST", "/commands", {}, b"{}")
COMPLETION: Final = Completion("one", "gypsum", "v1", 1, {})
CALLS: Final[dict[str, Call]] = {
    "service": lambda a: HttpService(url_of(a)).call(SERVICE_CALL, CALL_TIMEOUT_S),
    "status": lambda a: HttpEngine(url_of(a)).status(),
    "order": lambda a: HttpEngine(url_of(a)).load(LoadOrder("gypsum", "v1", "digest", 1)),
    "stream": lambda a: stream(HttpEngine(url_of(a)).complete(COMPLETION)),
    "resumed stream": lambda a: stream(HttpEngine(url_of(a)).resume("one", 3)),
    "members": lambda a: HttpMembership(url_of(a)).members(),
    "documents": lambda a: HttpConfiguration(url_of(a)).read_all(),
    "files of weights": lambda a: HttpStore(url_of(a)).files("gypsum", "v1"),
    "records": lambda a: PlatformStore(address_of(a)).snapshot(),
    "watch": lambda a: PlatformStore(address_of(a)).watch(3, 2.0),
    "revision": lambda a: PlatformStore(address_of(a)).current_position(),
    "list of pieces": lambda a: PlatformOrigin(address_of(a)).piece_list("gypsum", 1),
    "piece": lambda a: PlatformOrigin(address_of(a)).piece("gypsum", 1, 0),
}


class InvalidStatusCallTest(unittest.IsolatedAsyncioTestCase):
    async def server_of(self, content: str | bytes) -> ScriptedServer:
        """Return a server that answers so and keeps its connections open."""
        encoded = content.encode() if isinstance(content, str) else content
        server = ScriptedServer(encoded, closes=False)
        await server.start()
        self.addAsyncCleanup(server.stop)
        return server

    async def failure(self, name: str, address: str) -> GypsumpierError:
        """Return the error of a call, which has to come at once."""
        began_s = time.monotonic()
        with self.assertRaises(GypsumpierError) as caught:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await CALLS[name](address)
        self.assertLess(time.monotonic() - began_s, AT_ONCE_S)
        return caught.exception

    async def check_calls(self, content: str | bytes) -> None:
        """Assert that each call that is answered so fails at once, and may have had its effect."""
        server = await self.server_of(content)
        for name in CALLS:
            with self.subTest(call=name):
                before = server.requests
                error = await self.failure(name, server.address)
                self.assertIn(error.code, (PLATFORM_BAD_ANSWER, PLATFORM_UNREACHABLE))
                self.assertIs(Outcome.UNKNOWN, error.code.outcome)
                self.assertNotIsInstance(error, NotSentError)
                self.assertEqual(1, server.requests - before)

    async def test_a_call_fails_at_once(self) -> None:
        """Guards against calls that wait for their whole timeout, or take the status for one."""
        for label, status in STATUSES.items():
            with self.subTest(label):
                await self.check_calls(answer_with(status, LENGTH, BODY))

    async def test_a_broken_head_fails_the_call_at_once(self) -> None:
        """Guards against interim answers without an end, and a body of which nobody knows where
        it ends.
        """
        for label, content in BROKEN_HEADS.items():
            with self.subTest(label):
                await self.check_calls(content)

    async def test_callers_of_streams_are_told_502(self) -> None:
        """Guards against a 503, which callers take for the promise that nothing has run."""
        for label, status in STATUSES.items():
            server = await self.server_of(answer_with(status, "", EVENT))
            for name in ("service", "stream", "resumed stream"):
                with self.subTest(label, call=name):
                    error = await self.failure(name, server.address)
                    self.assertEqual(
                        (PLATFORM_BAD_ANSWER, 502), (error.code, error.code.http_status)
                    )

    async def test_the_same_answers_are_read_with_a_valid_status(self) -> None:
        """Guards against checks that refuse every answer."""
        server = await self.server_of(answer_with("200", LENGTH, BODY))
        for name, call in CALLS.items():
            if "stream" not in name and name != "piece":
                with self.subTest(call=name):
                    await call(server.address)

    async def test_a_health_check_fails_and_states_nothing(self) -> None:
        """Guards against a healthy service, or a leaving one, by the head of no answer."""
        for label, status in STATUSES.items():
            with self.subTest(label):
                server = await self.server_of(answer_with(status, STATED + LENGTH, BODY))
                service = HttpService(url_of(server.address))
                service.on_status = mock.Mock()
                service.on_statement = mock.Mock()
                began_s = time.monotonic()
                self.assertFalse(await service.healthy())
                with self.assertRaises(GypsumpierError):
                    await ServiceUpstream(service).refresh()
                with self.assertRaises(GypsumpierError):
                    await service.call(SERVICE_CALL, CALL_TIMEOUT_S)
                self.assertLess(time.monotonic() - began_s, 3 * AT_ONCE_S)
                service.on_status.assert_not_called()
                service.on_statement.assert_not_called()

    async def test_an_agent_tells_its_entry_that_the_outcome_is_unknown(self) -> None:
        """Guards against a status that an agent passes on, and a promise that nothing has run."""
        for label, status in STATUSES.items():
            with self.subTest(label):
                server = await self.server_of(answer_with(status, LENGTH, BODY))
                upstream = ServiceUpstream(HttpService(url_of(server.address)))
                order = mock.Mock(spec=AttemptOrder)
                order.method, order.path, order.headers, order.body = SERVICE_CALL
                order.remaining_s = CALL_TIMEOUT_S
                with self.assertRaises(GypsumpierError) as caught:
                    await stream(upstream.run(order))
                self.assertIs(Outcome.UNKNOWN, caught.exception.code.outcome)


class PassedOnStatusTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_entry_does_not_answer_with_the_invalid_status_of_an_agent(self) -> None:
        """Guards against a status at the caller that an agent of an older build passed on."""
        for status in (0, 99, 101, 600, 999, 1000, "200", None):
            with self.subTest(status):

                async def frames(status: object = status) -> AsyncIterator[Frame]:
                    yield Frame("head", "e", 0, 0.0, {"status": status, "headers": {}})
                    yield Frame("end", "e", 1, 0.0, {"count": 0})

                handler = mock.Mock()
                with self.assertRaises(GypsumpierError) as caught:
                    await CallerHandler.write_plain(handler, frames())
                self.assertEqual(PLATFORM_BAD_ANSWER, caught.exception.code)
                handler.set_status.assert_not_called()


if __name__ == "__main__":
    unittest.main()
