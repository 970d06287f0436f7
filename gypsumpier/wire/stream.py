"""Byte streams and dialling, behind protocols, so that tests can stand in for the network."""

from typing import Protocol


class Stream(Protocol):
    """A connected byte stream.  Raises GypsumpierError with CONNECTION_CLOSED once closed."""

    async def read(self) -> bytes:
        """Return the next bytes; at least one."""

    async def write(self, content: bytes) -> None:
        """Write the bytes; return when the peer's window allows more."""

    def close(self) -> None:
        """Close the stream at once."""


class Dialer(Protocol):
    """Opens streams to an IP number and a port."""

    async def dial(self, host: str, port: int, timeout_s: float) -> Stream:
        """Return a connected stream or raise GypsumpierError with CONNECTION_CLOSED."""
