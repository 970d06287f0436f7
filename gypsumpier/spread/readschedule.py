"""Whether this process is to read the platform itself, and how soon.

A watcher reads all the time.  Another process reads only when no peer has had a way to the
platform for a while, then seldom and at a random time: all the processes of a deployment together
stay within ``self_help_calls_per_s``, whatever made them read.
"""

import random
from collections.abc import Callable
from typing import Final

from gypsumpier.clock import Clock
from gypsumpier.options import Options
from gypsumpier.spread.freshness import Freshness

POLL_S: Final = 0.25
SHORTEST_TURN_S: Final = 1.0


class ReadSchedule:
    """The duty towards one of the platform's services."""

    def __init__(
        self,
        options: Options,
        clock: Clock,
        randomness: random.Random,
        freshness: Freshness,
        is_watcher: Callable[[], bool],
        member_count: Callable[[], int],
    ) -> None:
        self.options = options
        self.clock = clock
        self.randomness = randomness
        self.freshness = freshness
        self.is_watcher = is_watcher
        self.member_count = member_count

    async def wait_for_turn(self) -> None:
        """Return when the platform is to be read.

        The wait begins anew whenever a peer has a way to the platform.
        """
        while not self.is_watcher():
            if not self.freshness.has_source() and await self.stays_unfed():
                return
            await self.clock.sleep(POLL_S)

    async def stays_unfed(self) -> bool:
        """Wait for this process's turn; return whether it still has to read for itself."""
        wait_s = self.options.self_help_s + self.randomness.uniform(0.0, self.read_interval_s())
        until_s = self.clock.monotonic() + wait_s
        while self.clock.monotonic() < until_s:
            await self.clock.sleep(POLL_S)
            if self.is_watcher():
                return True
            if self.freshness.has_source():
                return False
        return True

    def read_interval_s(self) -> float:
        """Return the time in which each process may read once."""
        return max(SHORTEST_TURN_S, self.member_count() / self.options.self_help_calls_per_s)
