"""Decides whether this agent may give its engine an order now.

An agent that has been paused still holds the document and the member list from before.  A gap in
its own ticks shows the pause, and it gives no order until both have had time to catch up.  An
agent whose place the member list has shown under its own incarnation, and later shows under
another one, has been replaced and gives no orders any more.
"""

from typing import Final

from gypsumpier.clock import Clock
from gypsumpier.codes.weight import AGENT_SUPERSEDED, DECISION_TOO_OLD
from gypsumpier.errors import GypsumpierError
from gypsumpier.options import Options
from gypsumpier.weight.inputs import Documents, Members
from gypsumpier.weight.order import Decision

TICK_INTERVAL_S: Final = 0.25
PAUSE_THRESHOLD_S: Final = 2.0
CATCH_UP_S: Final = 2.0


class Decider:
    """Makes dated decisions from the document in force."""

    def __init__(
        self, options: Options, clock: Clock, documents: Documents, members: Members
    ) -> None:
        self.options = options
        self.clock = clock
        self.documents = documents
        self.members = members
        self.last_tick_at_s = clock.monotonic()
        self.resumed_at_s = clock.monotonic() - CATCH_UP_S
        self.was_listed = False
        self.superseded = False

    async def run(self) -> None:
        """Tick until cancelled, so that a pause shows as a gap."""
        while True:
            self.tick()
            await self.clock.sleep(TICK_INTERVAL_S)

    def tick(self) -> None:
        """Note the time; a long gap since the last tick was a pause."""
        now_s = self.clock.monotonic()
        if now_s - self.last_tick_at_s > PAUSE_THRESHOLD_S:
            self.resumed_at_s = now_s
        self.last_tick_at_s = now_s
        self.check_members()

    def check_members(self) -> None:
        """Notice that the member list gives this agent's place to another incarnation."""
        for member in self.members.agents(self.options.service):
            if member.name != self.options.name:
                continue
            if member.incarnation == self.options.incarnation:
                self.was_listed = True
                self.superseded = False
            elif self.was_listed:
                self.superseded = True

    def decide(self, reason: str) -> Decision:
        """Return a decision made now; raise GypsumpierError where no order may be given."""
        self.tick()
        if self.superseded:
            raise GypsumpierError(AGENT_SUPERSEDED, f"{self.options.name} has been replaced")
        now_s = self.clock.monotonic()
        if now_s - self.resumed_at_s < CATCH_UP_S:
            raise GypsumpierError(DECISION_TOO_OLD, "just woken from a pause")
        accepted = self.documents.accepted.get(self.options.service)
        revision = accepted.revision if accepted is not None else 0
        return Decision(revision, now_s, reason)
