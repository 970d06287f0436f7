"""A stand-in for an upstream that answers each request with scripted bytes."""

import asyncio
from typing import Final

from gypsumpier.test.standin.endless import EndlessServer

REQUEST_ID: Final = b"{id}"
"""Stands for the id of the request in scripted bytes."""


class ScriptedServer(EndlessServer):
    """Answers every request with ``content``; closes the connection then if ``closes`` is set."""

    def __init__(self, content: bytes, closes: bool) -> None:
        super().__init__(lambda request_id: b"", b"")
        self.content = content
        self.closes = closes

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it closes."""
        try:
            while True:
                request_id = await self.read_request(reader)
                self.requests += 1
                writer.write(self.content.replace(REQUEST_ID, request_id.encode()))
                await writer.drain()
                if self.closes:
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()
