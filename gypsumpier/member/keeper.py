"""Keeps the member table up to date from the platform's list."""

import asyncio
import contextlib
import random

from gypsumpier.backoff import Backoff
from gypsumpier.clock import Clock
from gypsumpier.errors import GypsumpierError
from gypsumpier.member.table import MemberTable
from gypsumpier.options import Options
from gypsumpier.platform.membership import Membership


class MemberKeeper:
    """Component that polls the member list."""

    def __init__(
        self,
        options: Options,
        clock: Clock,
        membership: Membership,
        table: MemberTable,
        randomness: random.Random | None = None,
    ) -> None:
        self.options = options
        self.clock = clock
        self.membership = membership
        self.table = table
        self.backoff = Backoff(randomness or random.Random(), options.platform_backoff_s)
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start polling; does not wait for the list, which may be out of reach."""
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Stop polling."""
        if self.task is None:
            return
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task

    async def run(self) -> None:
        """Poll for ever; a failed poll leaves the table as it is."""
        while True:
            try:
                self.table.take_list(await self.membership.members())
                self.backoff.reset()
                await self.clock.sleep(self.options.membership_interval_s)
            except GypsumpierError as error:
                await self.clock.sleep(self.backoff.next_wait_s(error.retry_after_s))
