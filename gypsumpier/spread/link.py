"""A stream that this entry dials to another entry: one task dials, reads and redials."""

import asyncio
import random
from typing import Final

from gypsumpier.clock import Clock
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.membership import Member
from gypsumpier.log import decision
from gypsumpier.options import Options
from gypsumpier.spread.identity import Identity
from gypsumpier.spread.serving import serve
from gypsumpier.spread.spread import Spread
from gypsumpier.tasks import end_task
from gypsumpier.wire.connection import Connection
from gypsumpier.wire.stream import Dialer

REDIAL_LIMIT_S: Final = 1.0


class SpreadLink:
    """The link to one entry; lasts across reconnects.

    ``is_up`` is true while the peer answers on the current connection.  ``is_failing`` is true from
    the first failure until the peer answers again.  On the first dial both are false, so that a
    new peer has time to answer before another is chosen in its place.
    """

    def __init__(
        self,
        options: Options,
        clock: Clock,
        dialer: Dialer,
        randomness: random.Random,
        member: Member,
        spread: Spread,
    ) -> None:
        self.options = options
        self.clock = clock
        self.dialer = dialer
        self.randomness = randomness
        self.member = member
        self.spread = spread
        self.is_up = False
        self.is_failing = False
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Close the connection and end the task."""
        await end_task(self.task)

    async def run(self) -> None:
        """Keep one connection open; redial with a random delay up to REDIAL_LIMIT_S."""
        while True:
            try:
                await self.serve_one_connection()
            except GypsumpierError as error:
                if not self.is_failing:
                    decision("spread_link_lost", peer=self.member.name, reason=error)
            self.is_failing = True
            await self.clock.sleep(self.randomness.uniform(0.0, REDIAL_LIMIT_S))

    async def serve_one_connection(self) -> None:
        """Dial and read frames until the connection closes."""
        member, options = self.member, self.options
        stream = await self.dialer.dial(member.host, member.port, options.dial_timeout_s)
        connection = Connection(stream, self.clock, options.heartbeat_s, options.silence_s)
        try:
            await serve(connection, self.spread, Identity(member.name, member.role), self.mark_up)
        finally:
            self.is_up = False

    def mark_up(self) -> None:
        """Mark the link as up, as the peer has answered."""
        if self.is_failing:
            decision("spread_link_up", peer=self.member.name, reason="the peer answers again")
        self.is_up = True
        self.is_failing = False
