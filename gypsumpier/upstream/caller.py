"""Internal calls to an upstream over pooled connections, apart from callers' requests."""

import asyncio
import itertools
import secrets
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from tornado.httputil import RequestStartLine

from gypsumpier.codes.platform import PLATFORM_BAD_ANSWER, PLATFORM_REFUSED, PLATFORM_UNREACHABLE
from gypsumpier.errors import GypsumpierError, NotSentError
from gypsumpier.fleet.node import Address
from gypsumpier.platform.headers import internal_headers
from gypsumpier.upstream.errors import NotRunError, OutcomeUnknownError
from gypsumpier.upstream.pool import UpstreamCall, UpstreamPool
from gypsumpier.upstream.replacement import NoReplacement

ANSWER_MAX_BYTES: Final = 4 * 1024 * 1024
"""Bytes of the answer to an internal call, which is at most one piece of weights."""
RUN_BYTES: Final = 4
"""Random bytes that tell the calls of this run from those of earlier ones."""
REFUSED_STATUSES: Final = frozenset({404, 409, 421, 429, 503})


class CallAnswer(NamedTuple):
    """The status and the complete body of an answer."""

    status: int
    body: bytes

    def require_success(self) -> bytes:
        """Return the body if the status is 2xx; raise GypsumpierError otherwise."""
        if 200 <= self.status < 300:
            return self.body
        refused = self.status in REFUSED_STATUSES
        code = PLATFORM_REFUSED if refused else PLATFORM_BAD_ANSWER
        raise GypsumpierError(code, f"status {self.status}")


class UpstreamCaller:
    """Makes internal calls to one upstream."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.pool = UpstreamPool(are_probed=True)
        # Ids of an earlier run of this process must not be given again.
        self.run = secrets.token_hex(RUN_BYTES)
        self.call_numbers = itertools.count()

    async def call(
        self,
        method: str,
        target: str,
        timeout_s: float,
        body: bytes = b"",
        content_type: str = "",
        is_new: bool = False,
        require_current: Callable[[], None] = lambda: None,
    ) -> CallAnswer:
        """Return the answer whatever its status; raise GypsumpierError if there is none in time.

        With ``is_new`` the call gets a connection of its own, on which no earlier answer can arrive
        once more.  Where that happens on a kept connection, the call is repeated on a new one.
        ``require_current`` is called once there is a connection, and raises NotRunError where the
        call must not be sent any more.  Raises NotSentError where it was not sent.
        """

        async def send(is_new: bool) -> CallAnswer:
            call_id = f"{self.run}-{next(self.call_numbers)}"
            headers = internal_headers(str(self.address), call_id)
            if content_type:
                headers["Content-Type"] = content_type
            if body or method != "GET":
                headers["Content-Length"] = str(len(body))
            start = RequestStartLine(method, target, "HTTP/1.1")

            def make_call() -> UpstreamCall:
                require_current()
                return UpstreamCall(start, headers, body, timeout_s)

            async with self.pool.exchange(
                self.address, True, make_call, NoReplacement(), is_new
            ) as exchange:
                head = await exchange.answer(call_id, is_echo_required=False)
                return CallAnswer(head.status, await exchange.whole_body(ANSWER_MAX_BYTES))

        try:
            async with asyncio.timeout(timeout_s):
                try:
                    return await send(is_new)
                except OutcomeUnknownError as error:
                    if is_new or not error.is_foreign:
                        raise
                return await self.repeat(send)
        except NotRunError as error:
            raise NotSentError(PLATFORM_UNREACHABLE, f"{self.address}: {error}") from error
        except OutcomeUnknownError as error:
            raise GypsumpierError(PLATFORM_UNREACHABLE, f"{self.address}: {error}") from error
        except TimeoutError as error:
            detail = f"{self.address}: no answer in {timeout_s:g} s"
            raise GypsumpierError(PLATFORM_UNREACHABLE, detail) from error

    async def repeat(self, send: Callable[[bool], Awaitable[CallAnswer]]) -> CallAnswer:
        """Send a call on a new connection that was sent before; raise OutcomeUnknownError."""
        try:
            return await send(True)
        except NotRunError as error:
            raise OutcomeUnknownError(f"not repeated: {error}") from error

    def close(self) -> None:
        """Close the pooled connections."""
        self.pool.close()
