"""A stand-in for an upstream whose answers have neither a length nor chunks."""

import asyncio
import socket
from collections.abc import Callable

from gypsumpier.test.standin.endless import EndlessServer
from gypsumpier.wire.reset import RESET_ON_CLOSE


class UnframedServer(EndlessServer):
    """Answers each request with ``begin(request_id)`` and closes or resets the connection."""

    def __init__(self, begin: Callable[[str], bytes], is_reset: bool) -> None:
        super().__init__(begin, b"")
        self.is_reset = is_reset

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request and end the connection."""
        try:
            request_id = await self.read_request(reader)
        except asyncio.IncompleteReadError:
            # An idle connection that its caller has closed.
            writer.close()
            return
        self.requests += 1
        writer.write(self.begin(request_id))
        await writer.drain()
        if self.is_reset:
            # What was sent before a reset may be lost with it.
            await asyncio.sleep(self.first_pause_s)
            found: socket.socket = writer.get_extra_info("socket")
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.close()
