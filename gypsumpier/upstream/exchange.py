"""One request and its answer on one connection."""

import asyncio
import time
from collections import deque
from collections.abc import AsyncIterator, Callable
from typing import Final

from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    HTTPOutputError,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from gypsumpier.fleet.stall import STALL_MIN_S
from gypsumpier.platform.headers import answer_head
from gypsumpier.upstream.answerbuffers import AnswerBuffers
from gypsumpier.upstream.errors import OutcomeUnknownError
from gypsumpier.upstream.head import AnswerHead
from gypsumpier.upstream.http import UpstreamHttp, UpstreamStream
from gypsumpier.upstream.replacement import Replacement

BODY_MAX_BYTES: Final = 64 * 1024 * 1024
"""Bytes of a body, of which only a part is held at a time."""
HEAD_MAX_BYTES: Final = 64 * 1024
"""Bytes of the head of an answer."""
BUFFERED_MAX_BYTES: Final = 64 * 1024
"""Buffered bytes of an answer to a slow caller from which reading from the upstream pauses."""
BUFFERED_MAX_PARTS: Final = 256
"""Buffered parts of an answer from which reading pauses, so that other requests go on."""
WHOLE_PARTS_MAX: Final = 16_384
"""Parts of a body that is held as a whole: each takes processor time, however few bytes it has."""
LOOK_AGAIN_S: Final = 0.2
"""Seconds between two searches for a replacement of an upstream that stays silent."""
PARAMETERS: Final = HTTP1ConnectionParameters(
    max_header_size=HEAD_MAX_BYTES, max_body_size=BODY_MAX_BYTES, decompress=False
)


class Exchange(HTTPMessageDelegate):
    """Sends one request and yields the parts of its answer.

    ``finished`` is set if the answer is complete; ``failure`` says why it is not.  After
    ``silence_s`` seconds without progress a ``replacement`` is asked for, and once that answers the
    exchange is given up.  ``buffers`` bounds what all exchanges hold of incomplete answers.
    """

    def __init__(
        self,
        stream: UpstreamStream,
        silence_s: float,
        replacement: Replacement,
        buffers: AnswerBuffers | None = None,
    ) -> None:
        self.stream = stream
        self.buffers = buffers or AnswerBuffers()
        self.silence_s = silence_s
        self.replacement = replacement
        self.head: AnswerHead | None = None
        self.parts: deque[bytes] = deque()
        self.part_count = 0
        self.buffered_bytes = 0
        self.finished = False
        self.failure = ""
        self.withdrawn = ""
        self.abandoned = False
        self.progress = asyncio.Event()
        self.drained = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def send(self, start: RequestStartLine, headers: HTTPHeaders, body: bytes) -> None:
        """Send the request and start to read the answer.

        The request is written before this returns: the checks that allow it hold now.
        """
        http = UpstreamHttp(self.stream, True, PARAMETERS)
        try:
            http.write_headers(start, headers, body or None)
            http.finish()
        except (HTTPOutputError, AssertionError, ValueError) as error:
            self.failure = f"malformed request: {error}"
        except StreamClosedError as error:
            self.failure = f"connection closed: {error}"
        self.task = asyncio.create_task(self.run(http))

    async def run(self, http: UpstreamHttp) -> None:
        """Read the answer to its end, if the request could be sent."""
        try:
            if not self.failure:
                await http.read_response(self)
        except (StreamClosedError, UnsatisfiableReadError) as error:
            self.failure = self.failure or f"connection closed: {error}"
        except (HTTPInputError, AssertionError, ValueError) as error:
            self.failure = self.failure or f"malformed answer: {error}"
        finally:
            if not self.finished and not self.failure:
                self.failure = "malformed or incomplete answer"
            self.progress.set()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Parse the head of the answer."""
        assert isinstance(start_line, ResponseStartLine)
        self.head = answer_head(start_line, headers)
        self.progress.set()

    def data_received(self, chunk: bytes) -> "asyncio.Future[None] | None":
        """Buffer a part of the body; a returned future pauses reading while the caller is slow."""
        self.parts.append(chunk)
        self.part_count += 1
        self.buffered_bytes += len(chunk)
        self.progress.set()
        if not self.is_buffer_full() or self.abandoned:
            return None
        self.drained.clear()
        return asyncio.ensure_future(self.wait_until_drained())

    async def wait_until_drained(self) -> None:
        """Wait until the buffered parts have been consumed."""
        await self.drained.wait()

    def finish(self) -> None:
        """Record that the answer is complete."""
        self.finished = self.head is not None and not self.abandoned
        self.progress.set()

    def on_connection_close(self) -> None:
        """Record that the connection closed before the answer was complete."""
        self.failure = self.failure or "answer cut"
        self.progress.set()

    def withdraw(self, reason: str) -> bool:
        """Make ``answer`` fail at once and the upstream drop the request, unless it has answered.

        Returns False where the head of the answer has arrived, or ``answer`` fails already.
        """
        if self.head is not None or self.withdrawn:
            return False
        self.withdrawn = reason
        self.progress.set()
        return True

    def abandon(self) -> None:
        """Close the connection and end the reading of the answer."""
        self.abandoned = True
        self.stream.close()
        # The closed stream ends the task; tornado logs the cancellation of a pause as an error.
        self.drained.set()

    async def wait_for_progress(self) -> None:
        """Wait for progress of the answer; raise OutcomeUnknownError if it is replaced instead.

        A wait that ends late shows that this process stood still.  What has arrived meanwhile is
        not read yet, so that nothing is known of a silence.
        """
        wait_s = self.silence_s
        while not self.progress.is_set():
            ends_at_s = time.monotonic() + wait_s
            try:
                async with asyncio.timeout(wait_s):
                    await self.progress.wait()
            except TimeoutError:
                is_stalled = time.monotonic() - ends_at_s >= STALL_MIN_S
                if not is_stalled and await self.is_replaced():
                    reason = f"silent for {self.silence_s:g} s"
                    raise OutcomeUnknownError(reason, is_silent=True) from None
                wait_s = LOOK_AGAIN_S
        self.progress.clear()

    async def is_replaced(self) -> bool:
        """Wait for a replacement; return False if there is progress first, or none is to be had.

        A replacement that is asked already is kept where the answer fails in the meantime.
        """
        replaced = asyncio.create_task(self.replacement.wait())
        progressed = asyncio.create_task(self.progress.wait())
        try:
            await asyncio.wait({replaced, progressed}, return_when=asyncio.FIRST_COMPLETED)
            if self.withdrawn:
                self.abandon()
            if self.replacement.is_asked and not self.has_gone_on():
                await asyncio.wait({replaced})
        finally:
            progressed.cancel()
            replaced.cancel()
            await asyncio.wait({replaced})
        is_taken = not replaced.cancelled() and replaced.result()
        if is_taken and self.has_gone_on():
            self.replacement.release()
        return is_taken and not self.progress.is_set()

    def has_gone_on(self) -> bool:
        """Return whether what has arrived since the silence may lead to a complete answer."""
        if not self.progress.is_set() or self.head is None or not self.head.is_success:
            return False
        return bool(self.parts) or not self.failure

    async def answer(self, request_id: str, is_echo_required: bool = True) -> AnswerHead:
        """Return the head of the answer; raise OutcomeUnknownError if there is none.

        An answer that does not echo ``request_id`` is rejected.  Upstreams may answer internal
        calls without an id: where no echo is required, only another id is rejected.
        """
        while self.head is None:
            if self.withdrawn:
                raise OutcomeUnknownError(self.withdrawn, is_withdrawn=True)
            if self.failure:
                raise OutcomeUnknownError(self.failure)
            await self.wait_for_progress()
        echoed = self.head.request_id
        if echoed != request_id and (is_echo_required or echoed):
            self.finished = False
            raise OutcomeUnknownError("the answer belongs to another request", is_foreign=True)
        return self.head

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raise OutcomeUnknownError if it is incomplete."""
        while True:
            while self.parts:
                yield self.take_buffered()
            if self.finished:
                return
            if self.failure:
                raise OutcomeUnknownError(self.failure)
            await self.wait_for_progress()

    async def whole_body(self, max_bytes: int) -> bytes:
        """Return the complete body; raise OutcomeUnknownError if it is incomplete or longer.

        Parts are no progress: a replacement is looked for as long as the body is incomplete.
        """
        whole = bytearray()
        since_s = time.monotonic()
        try:
            async for content in self.body():
                if len(whole) + len(content) > max_bytes:
                    raise OutcomeUnknownError(f"the answer has more than {max_bytes} bytes")
                if self.part_count > WHOLE_PARTS_MAX:
                    raise OutcomeUnknownError(f"the answer has more than {WHOLE_PARTS_MAX} parts")
                self.buffers.add(self, len(content))
                whole += content
                since_s = await self.check_stalled(since_s, lambda _: self.finished)
        finally:
            self.buffers.release(self)
        return bytes(whole)

    def give_up(self, reason: str) -> None:
        """End the reading of the answer and drop what is buffered of it."""
        self.failure = self.failure or reason
        self.finished = False
        self.take_buffered()
        self.abandon()
        self.progress.set()

    async def check_stalled(self, since_s: float, goes_on: Callable[[bytes], bool]) -> float:
        """Return since when, in monotonic seconds, an answer that receives bytes is stalled.

        Every ``silence_s`` seconds a replacement is looked for; raises OutcomeUnknownError where
        one answers before the buffered bytes show by ``goes_on`` that it is not needed.
        """
        if time.monotonic() - since_s < self.silence_s:
            return since_s
        replaced = asyncio.create_task(self.replacement.take())
        try:
            while not replaced.done() and not self.has_recovered(goes_on):
                # Where the answer has failed, only the replacement is left to wait for.
                self.progress.clear()
                progressed = asyncio.create_task(self.progress.wait())
                try:
                    await asyncio.wait({replaced, progressed}, return_when=asyncio.FIRST_COMPLETED)
                finally:
                    progressed.cancel()
        finally:
            replaced.cancel()
            await asyncio.wait({replaced})
        if not replaced.cancelled() and replaced.result():
            if not self.has_recovered(goes_on):
                raise OutcomeUnknownError(f"stalled for {self.silence_s:g} s")
            self.replacement.release()
        return time.monotonic()

    def has_recovered(self, goes_on: Callable[[bytes], bool]) -> bool:
        """Return whether a stalled answer goes on, or has to be read on to tell."""
        return self.is_buffer_full() or goes_on(b"".join(self.parts))

    def is_buffer_full(self) -> bool:
        """Return whether reading pauses until the buffered parts are taken."""
        return self.buffered_bytes >= BUFFERED_MAX_BYTES or len(self.parts) >= BUFFERED_MAX_PARTS

    def take_buffered(self) -> bytes:
        """Return and clear the buffered parts of the body."""
        content = b"".join(self.parts)
        self.parts.clear()
        self.buffered_bytes = 0
        self.drained.set()
        return content
