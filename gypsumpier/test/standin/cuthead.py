"""A stand-in for a server that stops in the middle of an answer and closes the connection."""

import asyncio
import socket
from typing import Final

from gypsumpier.test.standin.endless import EndlessServer
from gypsumpier.wire.reset import RESET_ON_CLOSE

REQUEST_ID: Final = b"{id}"
"""Stands for the id of the request in an answer."""


class CutServer(EndlessServer):
    """Answers with ``content``, of which it sends ``cut_at`` bytes before it ends the connection.

    The whole answer is sent, and the connection kept, while ``cut_at`` is None.  The connection is
    closed, or reset with ``is_reset``, ``pause_s`` seconds after these bytes.  ``kept_requests``
    counts the requests that came on a connection with an earlier answer.  An answer begins
    ``delay_s`` seconds after its request.
    """

    def __init__(self, content: bytes) -> None:
        super().__init__(lambda request_id: b"", b"")
        self.content = content
        self.cut_at: int | None = None
        self.is_reset = False
        self.delay_s = 0.0
        self.kept_requests = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it closes or an answer is cut."""
        answers = 0
        try:
            while True:
                request_id = await self.read_request(reader)
                self.requests += 1
                self.kept_requests += bool(answers)
                await asyncio.sleep(self.delay_s)
                writer.write(self.answer(request_id)[: self.cut_at])
                await writer.drain()
                if self.cut_at is not None:
                    await self.end(writer)
                    return
                answers += 1
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    def answer(self, request_id: str) -> bytes:
        """Return the whole answer to a request."""
        return self.content.replace(REQUEST_ID, request_id.encode())

    async def end(self, writer: asyncio.StreamWriter) -> None:
        """Wait, and let the close of the connection be a reset if it should."""
        if self.pause_s:
            await asyncio.sleep(self.pause_s)
        if self.is_reset:
            found: socket.socket = writer.get_extra_info("socket")
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
