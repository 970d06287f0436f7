"""A stand-in for a server whose bytes never end."""

import asyncio
import re
from collections.abc import Callable
from typing import Final

SLOW_PAUSE_S: Final = 0.05
"""Seconds between two pieces of a slow sender, which is never silent for long."""
REQUEST_ID: Final = re.compile(rb"x-request-id: *([^\r\n]+)", re.IGNORECASE)
BODY_BYTES: Final = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)


class EndlessServer:
    """Answers each request with ``begin(request_id)`` and then ``piece`` until the caller closes.

    Pieces go out as fast as the connection takes them, or ``pause_s`` seconds apart.
    The first one goes out ``first_pause_s`` seconds after the beginning.
    ``requests`` counts the requests, ``open`` the connections that are not closed yet and
    ``sent_bytes`` what was sent over all of them.
    """

    def __init__(self, begin: Callable[[str], bytes], piece: bytes, pause_s: float = 0.0) -> None:
        self.begin = begin
        self.piece = piece
        self.pause_s = pause_s
        self.first_pause_s = 0.0
        self.requests = 0
        self.open = 0
        self.sent_bytes = 0
        self.address = ""
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request without end."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.open += 1
        try:
            request_id = await self.read_request(reader)
            self.requests += 1
            writer.write(self.begin(request_id))
            await asyncio.sleep(self.first_pause_s)
            while True:
                writer.write(self.piece)
                self.sent_bytes += len(self.piece)
                await writer.drain()
                # A drain does not suspend the task while the connection takes everything.
                await asyncio.sleep(self.pause_s)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The end of every connection: the caller or the test closed it.
            return
        finally:
            self.open -= 1
            writer.close()
            self.tasks.discard(task)

    async def read_request(self, reader: asyncio.StreamReader) -> str:
        """Read one request; return its id, empty if it has none."""
        head = await reader.readuntil(b"\r\n\r\n")
        body = BODY_BYTES.search(head)
        await reader.readexactly(int(body[1]) if body else 0)
        found = REQUEST_ID.search(head)
        return found[1].decode() if found else ""

    async def stop(self) -> None:
        """Stop to listen and close every connection."""
        assert self.server is not None
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
