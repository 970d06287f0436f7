"""Writes one answer to a caller."""

import json
from collections.abc import Callable
from typing import Final

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine

from gypsumpier.gateway.refusal import Refusal
from gypsumpier.platform.headers import refusal_headers
from gypsumpier.upstream.head import AnswerHead
from gypsumpier.wire.departure import has_departed
from gypsumpier.wire.reset import reset

REASONS: Final = {
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    429: "Too Many Requests",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class AnswerWriter:
    """Writes the answer of one request.

    ``status`` is 0 until an answer has begun; ``ended`` is set once it is complete or aborted.
    Where ``is_closing`` is true as the answer begins, it announces that the connection is closed
    after it.  A caller that ``knows_chunks`` can tell a stream that was cut from a whole one.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        request_id: str,
        is_closing: Callable[[], bool],
        knows_chunks: bool,
    ) -> None:
        self.connection = connection
        self.request_id = request_id
        self.is_closing = is_closing
        self.knows_chunks = knows_chunks
        self.status = 0
        self.ended = False

    def has_caller_departed(self) -> bool:
        """Return whether the caller has disconnected, also where that has not been read yet."""
        return has_departed(self.connection.stream)

    def begin(self, head: AnswerHead, body_bytes: int | None) -> None:
        """Send the head of an upstream's answer; the body is a stream if ``body_bytes`` is None."""
        headers = HTTPHeaders(head.forwarded_headers)
        if body_bytes is not None:
            headers["Content-Length"] = str(body_bytes)
        self.write_head(head.status, head.reason, headers)

    def write_head(self, status: int, reason: str, headers: HTTPHeaders) -> None:
        """Send the status and the headers."""
        if self.is_closing():
            headers["Connection"] = "close"
        self.status = status
        # Without TCP_NODELAY, small events would wait for the acknowledgement of earlier ones.
        self.connection.stream.set_nodelay(True)
        self.connection.write_headers(ResponseStartLine("HTTP/1.1", status, reason), headers)

    async def write(self, content: bytes) -> None:
        """Send a part of the body; raise StreamClosedError if the caller has disconnected."""
        await self.connection.write(content)

    def finish(self) -> None:
        """Complete the answer."""
        self.ended = True
        self.connection.finish()

    async def answer(self, head: AnswerHead, body: bytes) -> None:
        """Send a complete answer of an upstream."""
        self.begin(head, len(body))
        if body:
            await self.write(body)
        self.finish()

    async def refuse(self, refusal: Refusal) -> None:
        """Send the entry's own error answer as JSON."""
        body = json.dumps(
            {
                "code": refusal.code.number,
                "name": refusal.code.name,
                "detail": refusal.detail,
                "request": self.request_id,
                "outcome": refusal.code.outcome.value,
            }
        ).encode()
        headers = refusal_headers(self.request_id, len(body), refusal.retry_after_s)
        reason = REASONS.get(refusal.status, "Error")
        self.write_head(refusal.status, reason, headers)
        await self.write(body)
        self.finish()

    def abort(self) -> None:
        """Close the connection, so that an incomplete answer is never taken for a complete one."""
        self.ended = True
        if self.knows_chunks:
            self.connection.stream.close()
        else:
            reset(self.connection.stream)
