"""Passes lines of a streamed HTTP answer from tornado's callbacks to the task that reads them."""

import asyncio
from collections.abc import AsyncIterator
from typing import Final

from gypsumpier.codes.platform import PLATFORM_BAD_ANSWER
from gypsumpier.errors import GypsumpierError

MAX_LINE_BYTES: Final = 1024 * 1024


class LineQueue:
    """Splits received bytes into lines and queues them for one reader."""

    def __init__(self) -> None:
        self.queue: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.unfinished_line = b""
        self.stopped = False

    def header(self, line: str) -> None:
        """Handle a header line; the body of an answer other than 200 is dropped."""
        if line.startswith("HTTP/") and line.split()[1:2] != ["200"]:
            self.stop()

    def feed(self, content: bytes) -> None:
        """Queue the complete lines in the next bytes; end the queue if a line is too long."""
        if self.stopped:
            return
        *lines, self.unfinished_line = (self.unfinished_line + content).split(b"\n")
        for line in lines:
            if line:
                self.queue.put_nowait(line)
        if len(self.unfinished_line) > MAX_LINE_BYTES:
            self.end()

    def end(self) -> None:
        """Signal the end of the lines to the reader."""
        self.queue.put_nowait(None)

    def stop(self) -> None:
        """Drop all further bytes, because the reader has stopped."""
        self.stopped = True
        self.unfinished_line = b""

    async def lines(self) -> AsyncIterator[bytes]:
        """Yield the lines until the end; raise GypsumpierError if a line is too long."""
        while True:
            line = await self.queue.get()
            if line is None:
                break
            yield line
        if len(self.unfinished_line) > MAX_LINE_BYTES:
            raise GypsumpierError(PLATFORM_BAD_ANSWER, f"a line is over {MAX_LINE_BYTES} bytes")
