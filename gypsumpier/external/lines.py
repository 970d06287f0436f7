"""Lines of a streamed HTTP answer, between tornado's callback and the task that reads them."""

import asyncio
from collections.abc import AsyncIterator
from typing import Final

from gypsumpier.codes.platform import PLATFORM_BAD_ANSWER
from gypsumpier.errors import GypsumpierError

MAX_LINE_BYTES: Final = 1024 * 1024


class LineQueue:
    """Splits fed bytes into lines and hands them to one reader."""

    def __init__(self) -> None:
        self.queue: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.unfinished_line = b""
        self.stopped = False

    def header(self, line: str) -> None:
        """Take a header line; an answer without success has no lines for the reader."""
        if line.startswith("HTTP/") and line.split()[1:2] != ["200"]:
            self.stop()

    def feed(self, content: bytes) -> None:
        """Take the next bytes of the answer."""
        if self.stopped:
            return
        *lines, self.unfinished_line = (self.unfinished_line + content).split(b"\n")
        for line in lines:
            if line:
                self.queue.put_nowait(line)
        if len(self.unfinished_line) > MAX_LINE_BYTES:
            self.end()

    def end(self) -> None:
        """Tell the reader that nothing more comes."""
        self.queue.put_nowait(None)

    def stop(self) -> None:
        """Drop what is still fed, because the reader has gone."""
        self.stopped = True
        self.unfinished_line = b""

    async def lines(self) -> AsyncIterator[bytes]:
        """Yield the lines until the end; raise GypsumpierError where a line is too long."""
        while True:
            line = await self.queue.get()
            if line is None:
                break
            yield line
        if len(self.unfinished_line) > MAX_LINE_BYTES:
            raise GypsumpierError(PLATFORM_BAD_ANSWER, f"a line over {MAX_LINE_BYTES} bytes")
