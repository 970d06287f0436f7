"""A TCP relay, which can cut, silence, delay or refuse connections."""

import asyncio
import contextlib
from typing import Final

READ_BYTES: Final = 64 * 1024


class TcpProxy:
    """Forwards connections to a port; each open connection may be cut or go silent for good."""

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.port = 0
        self.server: asyncio.Server | None = None
        self.flows: set[Flow] = set()
        self.silent = False
        self.refusing = False
        self.delay_s = 0.0

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop to listen and cut everything."""
        if self.server is not None:
            self.server.close()
        self.cut()

    def cut(self) -> None:
        """Close every open connection."""
        for flow in list(self.flows):
            flow.close()

    def drop_traffic(self) -> None:
        """Let every open connection go silent for good; new ones work."""
        for flow in self.flows:
            flow.silent = True

    def drop_responses(self) -> None:
        """Let what comes back on every open connection get lost, for good; new ones work."""
        for flow in self.flows:
            flow.is_back_silent = True

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection both ways."""
        if self.refusing:
            writer.close()
            return
        flow = Flow(self, [writer])
        flow.silent = self.silent
        self.flows.add(flow)
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
            flow.writers.append(far_writer)
            await asyncio.gather(
                flow.pump(reader, far_writer, False), flow.pump(far_reader, writer, True)
            )
        except OSError:
            return
        finally:
            flow.close()
            self.flows.discard(flow)


class Flow:
    """One forwarded connection."""

    def __init__(self, cable: TcpProxy, writers: list[asyncio.StreamWriter]) -> None:
        self.cable = cable
        self.writers = writers
        self.silent = False
        self.is_back_silent = False

    def close(self) -> None:
        """Close both ends."""
        for writer in self.writers:
            writer.close()

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_back: bool
    ) -> None:
        """Forward one direction; a silent flow swallows what it reads."""
        with contextlib.suppress(OSError):
            while content := await reader.read(READ_BYTES):
                if self.silent or (is_back and self.is_back_silent):
                    continue
                if self.cable.delay_s:
                    await asyncio.sleep(self.cable.delay_s)
                writer.write(content)
                await writer.drain()
        if not self.silent:
            self.close()
