"""One attempt on the agent's side: the parts of its answer so far, and their delivery.

The parts are stored for a while after the end.  When a connection is lost, the entry resumes the
attempt over the next one and names the first part that it misses; delivery continues from there.
"""

import asyncio
from typing import Final

from gypsumpier.agent.upstream import Part
from gypsumpier.errors import GypsumpierError
from gypsumpier.log import decision
from gypsumpier.wire.connection import Connection

FINAL_KINDS: Final = frozenset({"end", "refused", "failed"})


class Exchange:
    """The parts of one attempt's answer.  ``parts_freed`` means that they are no longer stored."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.parts: list[Part] = []
        self.ended = False
        self.parts_freed = False
        self.delivered = False
        self.changed = asyncio.Event()
        self.delivery: asyncio.Task[None] | None = None

    def add(self, part: Part) -> None:
        """Add the next part; any part after the final one is dropped."""
        if self.ended:
            return
        self.parts.append(part)
        self.ended = part.kind in FINAL_KINDS
        self.changed.set()

    def free_parts(self) -> None:
        """Free the memory of the answer, which can't be resumed after that."""
        self.parts = []
        self.parts_freed = True

    def attach(self, connection: Connection, next_sequence: int) -> None:
        """Deliver the parts from ``next_sequence`` on over the connection.

        This replaces the delivery over an earlier connection.
        """
        if self.delivery is not None:
            self.delivery.cancel()
        self.delivery = asyncio.create_task(self.deliver(connection, next_sequence))

    async def deliver(self, connection: Connection, next_sequence: int) -> None:
        """Send parts as they are added, until the final one is sent or the connection is lost."""
        connection.begin_answering()
        try:
            while True:
                self.changed.clear()
                while next_sequence < len(self.parts):
                    part = self.parts[next_sequence]
                    await connection.send(part.kind, part.payload, self.name, next_sequence)
                    next_sequence += 1
                if self.ended:
                    self.delivered = True
                    return
                await self.changed.wait()
        except GypsumpierError as error:
            decision("delivery_lost", exchange=self.name, reason=error)
        finally:
            connection.end_answering()
