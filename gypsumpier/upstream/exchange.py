"""One request and its answer on one connection."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable
from typing import Final

from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from gypsumpier.platform.headers import answer_head
from gypsumpier.upstream.errors import OutcomeUnknownError
from gypsumpier.upstream.head import AnswerHead
from gypsumpier.upstream.http import UpstreamHttp, UpstreamStream

BODY_MAX_BYTES: Final = 64 * 1024 * 1024
BUFFERED_MAX_BYTES: Final = 256 * 1024
"""Bytes of an answer that wait for a slow caller before the upstream is no longer read."""
PARAMETERS: Final = HTTP1ConnectionParameters(max_body_size=BODY_MAX_BYTES, decompress=False)


class Exchange(HTTPMessageDelegate):
    """Sends one request and yields the parts of its answer.

    ``finished`` tells that the answer was whole.  After each ``silence_s`` without news
    ``may_leave`` is asked whether to give up.
    """

    def __init__(
        self, stream: UpstreamStream, silence_s: float, should_abandon: Callable[[], bool]
    ) -> None:
        self.stream = stream
        self.silence_s = silence_s
        self.should_abandon = should_abandon
        self.head: AnswerHead | None = None
        self.parts: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.finished = False
        self.failure = ""
        self.progress = asyncio.Event()
        self.drained = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def send(self, start: RequestStartLine, headers: HTTPHeaders, body: bytes) -> None:
        """Send the request and begin to read the answer."""
        self.task = asyncio.create_task(self.run(start, headers, body))

    async def run(self, start: RequestStartLine, headers: HTTPHeaders, body: bytes) -> None:
        """Send the request and read the answer to its end."""
        http = UpstreamHttp(self.stream, True, PARAMETERS)
        try:
            http.write_headers(start, headers, body or None)
            http.finish()
            await http.read_response(self)
        except (StreamClosedError, UnsatisfiableReadError) as error:
            self.failure = self.failure or f"connection closed: {error}"
        except (HTTPInputError, AssertionError, ValueError) as error:
            self.failure = self.failure or f"malformed answer: {error}"
        finally:
            if not self.finished and not self.failure:
                self.failure = "malformed or cut answer"
            self.progress.set()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Take the head of the answer."""
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code >= 200:
            self.head = answer_head(start_line, headers)
            self.progress.set()

    def data_received(self, chunk: bytes) -> "asyncio.Future[None] | None":
        """Take a part of the body; holds up the reading where the caller is slow."""
        self.parts.append(chunk)
        self.buffered_bytes += len(chunk)
        self.progress.set()
        if self.buffered_bytes < BUFFERED_MAX_BYTES:
            return None
        self.drained.clear()
        return asyncio.ensure_future(self.wait_until_drained())

    async def wait_until_drained(self) -> None:
        """Wait until the caller has taken what is buffered."""
        await self.drained.wait()

    def finish(self) -> None:
        """Note that the answer is whole."""
        self.finished = self.head is not None
        self.progress.set()

    def on_connection_close(self) -> None:
        """Note that the answer was cut."""
        self.failure = self.failure or "answer cut"
        self.progress.set()

    async def wait_for_progress(self) -> None:
        """Wait for news of the answer; raise OutcomeUnknownError where another try is better."""
        while not self.progress.is_set():
            try:
                async with asyncio.timeout(self.silence_s):
                    await self.progress.wait()
            except TimeoutError:
                if self.should_abandon():
                    reason = f"silent for {self.silence_s:g} s"
                    raise OutcomeUnknownError(reason, is_silent=True) from None
        self.progress.clear()

    async def answer(self, request_id: str | None) -> AnswerHead:
        """Return the head of the answer; raise OutcomeUnknownError where there is none.

        A call that is no request of a caller has no id that its answer could echo.
        """
        while self.head is None:
            if self.failure:
                raise OutcomeUnknownError(self.failure)
            await self.wait_for_progress()
        if request_id is not None and self.head.request_id != request_id:
            self.finished = False
            raise OutcomeUnknownError("the answer belongs to another request")
        return self.head

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raise OutcomeUnknownError where it is cut."""
        while True:
            while self.parts:
                yield self.take_buffered()
            if self.finished:
                return
            if self.failure:
                raise OutcomeUnknownError(self.failure)
            await self.wait_for_progress()

    def take_buffered(self) -> bytes:
        """Return everything that is buffered."""
        content = b"".join(self.parts)
        self.parts.clear()
        self.buffered_bytes = 0
        self.drained.set()
        return content
