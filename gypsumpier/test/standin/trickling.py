"""A stand-in for a server whose answers arrive in parts, as over a narrow link."""

import asyncio

from gypsumpier.test.standin.endless import EndlessServer


class TricklingServer(EndlessServer):
    """Answers each request with ``head``, then with the parts of the body, ``pause_s`` apart."""

    def __init__(self, body: bytes, part_bytes: int, pause_s: float, headers: bytes = b"") -> None:
        super().__init__(lambda request_id: b"", b"")
        self.head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n" % (len(body), headers)
        self.body = body
        self.part_bytes = part_bytes
        self.pause_s = pause_s

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it closes."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            await self.read_request(reader)
            self.requests += 1
            writer.write(self.head)
            for begin in range(0, len(self.body), self.part_bytes):
                writer.write(self.body[begin : begin + self.part_bytes])
                await writer.drain()
                await asyncio.sleep(self.pause_s)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The end of every connection: the caller or the test closed it.
            return
        finally:
            writer.close()
            self.tasks.discard(task)
