"""Pacing: a token bucket that is paid before the bytes move.

``acquire`` returns once the bytes' time on the link has passed, so over any interval no more is
granted than the rate allows plus the one grant that was being paid for when the interval began.
Waiters are served in the order in which they asked.
"""

from gypsumpier.clock import Clock


class TokenBucket:
    """Grants bytes at ``bytes_per_s``."""

    def __init__(self, clock: Clock, bytes_per_s: float) -> None:
        self.clock = clock
        self.bytes_per_s = bytes_per_s
        self.free_at_s = clock.monotonic()

    async def acquire(self, length: int) -> None:
        """Wait until ``length`` more bytes may move."""
        now_s = self.clock.monotonic()
        self.free_at_s = max(now_s, self.free_at_s) + length / self.bytes_per_s
        await self.clock.sleep(self.free_at_s - now_s)
