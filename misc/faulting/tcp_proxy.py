"""A TCP proxy that can close, delay or refuse connections, or drop what they carry."""

import asyncio
import contextlib
import math
import socket
import struct
from typing import Final

READ_BYTES: Final = 64 * 1024
NO_LINGER: Final = struct.pack("ii", 1, 0)
"""Value of SO_LINGER that makes a close reset the connection."""


class TcpProxy:
    """Forwards connections to a port on this machine.

    ``drops_traffic`` and ``refuses`` apply to new connections, ``delay_s`` to all that is
    forwarded, also to a close, which arrives as much later as what was sent before it.  While
    ``flows`` is not set, everything is held back, and nothing is lost.
    """

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.port = 0
        self.server: asyncio.Server | None = None
        self.connections: set[ProxiedConnection] = set()
        self.drops_traffic = False
        self.refuses = False
        self.delay_s = 0.0
        self.flows = asyncio.Event()
        self.flows.set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and close every open connection."""
        if self.server is not None:
            self.server.close()
        self.cut()

    def cut(self) -> None:
        """Close every open connection."""
        for connection in list(self.connections):
            connection.close()

    def reset(self) -> None:
        """Reset every open connection."""
        for connection in list(self.connections):
            connection.reset()

    def drop_traffic(self) -> None:
        """Drop everything on the open connections until they close; new ones work."""
        for connection in self.connections:
            connection.drops_traffic = True

    def drop_responses(self) -> None:
        """Drop the responses on the open connections until they close; new ones work."""
        for connection in self.connections:
            connection.drops_responses = True

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection in both directions."""
        if self.refuses:
            writer.close()
            return
        connection = ProxiedConnection(self, [writer])
        connection.drops_traffic = self.drops_traffic
        self.connections.add(connection)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port
            )
            connection.writers.append(target_writer)
            await asyncio.gather(
                connection.forward(reader, target_writer, False),
                connection.forward(target_reader, writer, True),
            )
        except OSError:
            return
        finally:
            connection.close()
            self.connections.discard(connection)


class ProxiedConnection:
    """One forwarded connection."""

    def __init__(self, proxy: TcpProxy, writers: list[asyncio.StreamWriter]) -> None:
        self.proxy = proxy
        self.writers = writers
        self.drops_traffic = False
        self.drops_responses = False

    def close(self) -> None:
        """Close both ends."""
        for writer in self.writers:
            writer.close()

    def reset(self) -> None:
        """Reset both ends."""
        for writer in self.writers:
            found: socket.socket | None = writer.get_extra_info("socket")
            if found is not None and not writer.is_closing():
                found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            writer.transport.abort()

    async def forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_response: bool
    ) -> None:
        """Forward one direction; dropped content is read and discarded."""
        due_at_s = 0.0
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while content := await reader.read(READ_BYTES):
                await self.proxy.flows.wait()
                if self.drops_traffic or (is_response and self.drops_responses):
                    continue
                if due_at_s > loop.time() or self.proxy.delay_s:
                    # Timers that are due at the same time have no defined order.
                    earliest_s = math.nextafter(due_at_s, math.inf)
                    due_at_s = max(earliest_s, loop.time() + self.proxy.delay_s)
                    loop.call_at(due_at_s, writer.write, content)
                    continue
                writer.write(content)
                await writer.drain()
        await self.proxy.flows.wait()
        if not self.drops_traffic:
            await asyncio.sleep(max(due_at_s - loop.time(), self.proxy.delay_s))
            self.close()
