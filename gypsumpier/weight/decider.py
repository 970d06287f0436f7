"""Decides whether this agent may send an order to its engine now.

After a pause of the process, the document and the member list that the agent holds are stale.  A
gap between two ticks reveals the pause, and the agent sends no orders until both have had time to
be updated.  An agent has been replaced once the member list has shown its name with its own
incarnation and later shows it with another one; a replaced agent sends no more orders.
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
"""A longer gap between two ticks counts as a pause of the process."""
CATCH_UP_S: Final = 2.0
"""Time after a pause in which no order is sent, so that document and member list are updated."""


class Decider:
    """Makes decisions from the document in force, each with the time at which it was made."""

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
        """Tick until cancelled, so that a pause of the process can be detected as a gap."""
        while True:
            self.tick()
            await self.clock.sleep(TICK_INTERVAL_S)

    def tick(self) -> None:
        """Record the time; treat a gap above PAUSE_THRESHOLD_S since the last tick as a pause."""
        now_s = self.clock.monotonic()
        if now_s - self.last_tick_at_s > PAUSE_THRESHOLD_S:
            self.resumed_at_s = now_s
        self.last_tick_at_s = now_s
        self.check_members()

    def check_members(self) -> None:
        """Check whether the member list shows this agent's name with another incarnation."""
        for member in self.members.agents(self.options.service):
            if member.name != self.options.name:
                continue
            if member.incarnation == self.options.incarnation:
                self.was_listed = True
                self.superseded = False
            elif self.was_listed:
                self.superseded = True

    def decide(self, reason: str) -> Decision:
        """Return a decision made now.

        Raises GypsumpierError with AGENT_SUPERSEDED where this agent has been replaced, or with
        DECISION_TOO_OLD shortly after a pause.
        """
        self.tick()
        if self.superseded:
            raise GypsumpierError(
                AGENT_SUPERSEDED, f"{self.options.name} has been replaced by a newer incarnation"
            )
        now_s = self.clock.monotonic()
        if now_s - self.resumed_at_s < CATCH_UP_S:
            raise GypsumpierError(DECISION_TOO_OLD, "the process has just resumed from a pause")
        accepted = self.documents.accepted.get(self.options.service)
        revision = accepted.revision if accepted is not None else 0
        return Decision(revision, now_s, reason)
