"""Protocols for byte streams and dialling, so that tests can replace the network."""

from typing import Protocol


class Stream(Protocol):
    """A connected byte stream.  Raises GypsumpierError with CONNECTION_CLOSED once closed."""

    async def read(self) -> bytes:
        """Return the next received bytes, at least one."""

    async def write(self, content: bytes) -> None:
        """Write the bytes; return once the peer's window accepts more."""

    def close(self) -> None:
        """Close the stream at once."""


class Dialer(Protocol):
    """Opens streams to a numeric IP address and a port."""

    async def dial(self, host: str, port: int, timeout_s: float) -> Stream:
        """Return a connected stream or raise GypsumpierError with CONNECTION_CLOSED."""
