"""Decides whether this process reads the platform itself, and when.

A watcher reads all the time.  Any other process reads only when no peer has had a path to the
platform for ``self_help_s``, and then rarely and at a random time: all processes of a deployment
together stay within ``self_help_calls_per_s``, whatever made them read.
"""

import random
from collections.abc import Callable
from typing import Final

from gypsumpier.clock import Clock
from gypsumpier.options import Options
from gypsumpier.spread.freshness import Freshness

POLL_S: Final = 0.25
MIN_READ_INTERVAL_S: Final = 1.0


class ReadSchedule:
    """When this process reads one of the platform's services."""

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
        """Wait until this process is to read the platform.

        The wait restarts whenever a peer has a path to the platform.
        """
        while not self.is_watcher():
            if not self.freshness.has_source() and await self.wait_without_source():
                return
            await self.clock.sleep(POLL_S)

    async def wait_without_source(self) -> bool:
        """Wait a random time; return whether this process still has to read the platform itself.

        False means that a peer had a path to the platform again in the meantime.
        """
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
        """Return the seconds in which each process may read the platform once."""
        return max(MIN_READ_INTERVAL_S, self.member_count() / self.options.self_help_calls_per_s)
