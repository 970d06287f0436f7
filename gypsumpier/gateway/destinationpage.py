"""Answers the question where a request would go over HTTP, at a bounded rate."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from typing import Final

from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import StreamClosedError

from gypsumpier.administration.errorview import error_view
from gypsumpier.codes.setting import (
    ADMINISTRATION_BUSY,
    ADMINISTRATION_FAILED,
    ADMINISTRATION_METHOD_REFUSED,
)
from gypsumpier.errors import GypsumpierError
from gypsumpier.gateway.destinationquery import DestinationQuery, parsed_query
from gypsumpier.gateway.destinationview import DestinationView
from gypsumpier.log import decision
from gypsumpier.ratelimit.bucket import TokenBucket

PATH: Final = "/v1/destination"
QUESTIONS_PER_S: Final = 2.0
"""Questions that are answered in a second.  One about 12,000 upstreams takes about 0.1 s, in turns
of some milliseconds; where none has a place, the estimate of the wait takes one turn of 0.03 s."""
QUESTIONS_BURST: Final = 5.0

REASONS: Final = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    429: "Too Many Requests",
    500: "Internal Server Error",
}


class DestinationPage:
    """Answers one question at a time; the bucket is of its own and no caller's."""

    def __init__(self, explain: Callable[[DestinationQuery], Awaitable[DestinationView]]) -> None:
        self.explain = explain
        now_s = time.monotonic()
        self.bucket = TokenBucket(QUESTIONS_PER_S, QUESTIONS_BURST, QUESTIONS_BURST, now_s)
        self.task: asyncio.Task[None] | None = None

    def answer(self, request: HTTPServerRequest) -> None:
        """Answer a request for ``PATH``, now or after callers had their turns."""
        now_s = time.monotonic()
        try:
            if request.method != "GET":
                raise GypsumpierError(ADMINISTRATION_METHOD_REFUSED, "only GET is answered")
            if self.task is not None or not self.bucket.has_token(now_s):
                detail = f"{QUESTIONS_PER_S:.0f} questions a second are answered, one at a time"
                raise GypsumpierError(ADMINISTRATION_BUSY, detail)
            self.bucket.take(now_s)
            query = parsed_query(request.query)
        except GypsumpierError as error:
            send_error(request, error)
            return
        self.task = asyncio.create_task(self.answer_query(request, query))

    async def answer_query(self, request: HTTPServerRequest, query: DestinationQuery) -> None:
        """Answer a question."""
        try:
            send(request, 200, await self.explain(query))
        except GypsumpierError as error:
            send_error(request, error)
        except Exception as error:
            # The question may hold a key by mistake: only the type is logged.
            decision("destination_failed", error=type(error).__name__)
            send_error(request, GypsumpierError(ADMINISTRATION_FAILED, type(error).__name__))
        finally:
            self.task = None

    def stop(self) -> None:
        """End the question that is being answered."""
        if self.task is not None:
            self.task.cancel()


def send_error(request: HTTPServerRequest, error: GypsumpierError) -> None:
    """Send an error with its result code."""
    send(request, error.code.http_status, error_view(error.code, error.detail))


def send(request: HTTPServerRequest, status: int, view: object) -> None:
    """Send a view as JSON, unless the connection has been closed."""
    connection = request.connection
    assert connection is not None
    body = json.dumps(view).encode()
    headers = HTTPHeaders(
        {"Content-Type": "application/json; charset=UTF-8", "Content-Length": str(len(body))}
    )
    line = ResponseStartLine("HTTP/1.1", status, REASONS.get(status, "Error"))
    try:
        connection.write_headers(line, headers, body)
        connection.finish()
    except StreamClosedError:
        return
