"""Rate limiting by a token bucket that is charged before the bytes are sent.

``acquire`` returns once the time that the bytes take on the link has passed, so over any interval
no more is granted than the rate allows plus the one grant that was pending when the interval
began.  Callers are served in the order of their calls.
"""

from gypsumpier.clock import Clock


class TokenBucket:
    """Grants bytes at a rate of ``bytes_per_s``."""

    def __init__(self, clock: Clock, bytes_per_s: float) -> None:
        self.clock = clock
        self.bytes_per_s = bytes_per_s
        self.free_at_s = clock.monotonic()

    async def acquire(self, length: int) -> None:
        """Wait until ``length`` more bytes may be transferred."""
        now_s = self.clock.monotonic()
        self.free_at_s = max(now_s, self.free_at_s) + length / self.bytes_per_s
        await self.clock.sleep(self.free_at_s - now_s)
