"""Polls the platform's member list while this process is responsible for it.

A poll that returns a changed list costs bytes in proportion to the size of the fleet.  The next
poll then waits until the list's size fits into ``member_list_bytes_per_s``.  An unchanged list
costs almost nothing and is polled every ``membership_interval_s``.
"""

import asyncio
import random
from typing import Final

from gypsumpier.backoff import Backoff
from gypsumpier.clock import Clock
from gypsumpier.codes.platform import PLATFORM_UNREACHABLE
from gypsumpier.document.metrics import count_read
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.membership import Member, Membership
from gypsumpier.member.table import MemberTable
from gypsumpier.options import Options
from gypsumpier.spread.spread import Spread
from gypsumpier.tasks import end_task

SOURCE: Final = "membership"
LISTED_MEMBER_BYTES: Final = 40
"""Size of one member in a compressed list."""


class MemberPoller:
    """Component that fills a MemberTable from the platform's list."""

    def __init__(
        self,
        options: Options,
        clock: Clock,
        membership: Membership,
        table: MemberTable,
        spread: Spread | None = None,
        randomness: random.Random | None = None,
    ) -> None:
        self.options = options
        self.clock = clock
        self.membership = membership
        self.table = table
        self.spread = spread
        self.backoff = Backoff(randomness or random.Random(), options.platform_backoff_s)
        self.calls = 0
        self.last_list: list[Member] = []
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start polling; does not wait for the list, which may be unreachable."""
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Stop polling."""
        await end_task(self.task)

    async def run(self) -> None:
        """Poll in a loop, waiting while this process is not responsible for polling.

        A failed poll leaves the table unchanged.  A starting entry polls at once, because it
        knows no peers before its first list.
        """
        while True:
            if self.spread is not None and not self.is_starting_entry():
                await self.spread.member_reads.wait_for_turn()
            try:
                listed = await self.poll()
                wait_s = self.next_poll_wait_s(listed)
                self.apply(listed)
                await self.clock.sleep(wait_s)
            except GypsumpierError as error:
                count_read(SOURCE, answered=False)
                await self.clock.sleep(self.backoff.next_wait_s(error.retry_after_s))

    def is_starting_entry(self) -> bool:
        """Return whether this is an entry that knows no members yet."""
        return self.options.role == "entry" and not self.table.members

    async def poll(self) -> list[Member]:
        """Return the platform's list; raise GypsumpierError where the platform fails."""
        self.calls += 1
        try:
            async with asyncio.timeout(self.options.watch_timeout_s):
                return await self.membership.members()
        except TimeoutError as error:
            raise GypsumpierError(PLATFORM_UNREACHABLE, "no answer in time") from error

    def next_poll_wait_s(self, listed: list[Member]) -> float:
        """Return the seconds until the next poll."""
        interval_s = self.options.membership_interval_s
        if listed == self.last_list:
            return interval_s
        return max(
            interval_s, len(listed) * LISTED_MEMBER_BYTES / self.options.member_list_bytes_per_s
        )

    def apply(self, listed: list[Member]) -> None:
        """Merge the list that was read into the table; only a non-empty one counts as fresh."""
        count_read(SOURCE, answered=True)
        self.backoff.reset()
        self.last_list = listed
        self.table.merge_list(listed)
        if self.spread is not None and listed:
            self.spread.members.freshness.record_read()
