"""Bytes in transit over links of limited rate that several flows share."""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from typing import Final

SEGMENT_BYTES: Final = 4096
BITS_PER_BYTE: Final = 8


class Pipe:
    """One direction of a link: what is sent over it arrives at its rate, in the order sent."""

    def __init__(self, mbps: float) -> None:
        self.bytes_per_s = mbps * 1e6 / BITS_PER_BYTE
        self.busy_until_s = 0.0
        self.carried_bytes = 0

    def carry(self, size: int, at_s: float) -> float:
        """Return the time at which ``size`` bytes have crossed that are ready at ``at_s``."""
        self.carried_bytes += size
        self.busy_until_s = max(self.busy_until_s, at_s) + size / self.bytes_per_s
        return self.busy_until_s


class Flow:
    """One direction of a connection, over several pipes in a row.

    At most ``window_bytes`` are in transit at once; ``unsent_bytes`` wait at the sender, as bytes
    in a socket's buffer do.
    """

    def __init__(
        self,
        pipes: Sequence[Pipe],
        window_bytes: int,
        delay_s: float,
        deliver: Callable[[bytes], None],
    ) -> None:
        self.pipes = pipes
        self.window_bytes = window_bytes
        self.delay_s = delay_s
        self.deliver = deliver
        self.unsent: deque[bytes] = deque()
        self.unsent_bytes = 0
        self.in_transit_bytes = 0

    def send(self, content: bytes) -> None:
        """Send the content once what was sent before has been."""
        for begin in range(0, len(content), SEGMENT_BYTES):
            self.unsent.append(content[begin : begin + SEGMENT_BYTES])
        self.unsent_bytes += len(content)
        self.fill_window()

    def fill_window(self) -> None:
        """Put segments in transit while the window has room."""
        loop = asyncio.get_running_loop()
        while self.unsent and self.in_transit_bytes < self.window_bytes:
            segment = self.unsent.popleft()
            self.unsent_bytes -= len(segment)
            self.in_transit_bytes += len(segment)
            arrives_at_s = loop.time()
            for pipe in self.pipes:
                arrives_at_s = pipe.carry(len(segment), arrives_at_s)
            loop.call_at(arrives_at_s + self.delay_s, self.arrive, segment)

    def close(self) -> None:
        """Drop what is unsent."""
        self.unsent.clear()
        self.unsent_bytes = 0

    def arrive(self, segment: bytes) -> None:
        """Deliver a segment that has crossed all pipes."""
        self.in_transit_bytes -= len(segment)
        self.deliver(segment)
        self.fill_window()
