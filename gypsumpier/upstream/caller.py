"""Internal calls to an upstream over pooled connections, apart from callers' requests."""

import asyncio
from typing import Final, NamedTuple

from tornado.httputil import HTTPHeaders, RequestStartLine

from gypsumpier.codes.platform import PLATFORM_BAD_ANSWER, PLATFORM_REFUSED, PLATFORM_UNREACHABLE
from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.node import Address
from gypsumpier.upstream.errors import NotRunError, OutcomeUnknownError
from gypsumpier.upstream.pool import UpstreamCall, UpstreamPool

ANSWER_MAX_BYTES: Final = 4 * 1024 * 1024
"""Bytes of the answer to an internal call, which is at most one piece of weights."""
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
        self.pool = UpstreamPool()

    async def call(
        self, method: str, target: str, timeout_s: float, body: bytes = b"", content_type: str = ""
    ) -> CallAnswer:
        """Return the answer whatever its status; raise GypsumpierError if there is none in time."""
        headers = HTTPHeaders({"Host": str(self.address)})
        if content_type:
            headers["Content-Type"] = content_type
        if body or method != "GET":
            headers["Content-Length"] = str(len(body))
        start = RequestStartLine(method, target, "HTTP/1.1")
        call = UpstreamCall(start, headers, body, timeout_s)
        try:
            async with asyncio.timeout(timeout_s):
                async with self.pool.exchange(
                    self.address, True, lambda: call, lambda: False
                ) as exchange:
                    head = await exchange.answer(None)
                    return CallAnswer(head.status, await exchange.whole_body(ANSWER_MAX_BYTES))
        except (NotRunError, OutcomeUnknownError) as error:
            raise GypsumpierError(PLATFORM_UNREACHABLE, f"{self.address}: {error}") from error
        except TimeoutError as error:
            detail = f"{self.address}: no answer in {timeout_s:g} s"
            raise GypsumpierError(PLATFORM_UNREACHABLE, detail) from error

    def close(self) -> None:
        """Close the pooled connections."""
        self.pool.close()
