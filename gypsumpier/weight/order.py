"""Orders to the engine, each with a fencing number and a check of its decision's age.

The fencing number increases with the document's revision first and with the agent's start time
second, so an engine that honours it refuses orders of an agent that acts on an older document or
that has been replaced.  An engine that ignores it is protected only by the agent: before each
order the agent computes the decision's age from the monotonic clock and drops the order where the
decision is too old, as after a pause of the process.  A pause between this check and the engine's
receipt of the order can't be detected here; the agent reads the engine's next reports and corrects
the result.
"""

from typing import Final, NamedTuple

from gypsumpier.clock import Clock
from gypsumpier.codes.result import Outcome
from gypsumpier.codes.weight import DECISION_TOO_OLD
from gypsumpier.errors import GypsumpierError, NotSentError
from gypsumpier.external.engine import LoadOrder
from gypsumpier.log import decision
from gypsumpier.weight.inputs import WeightEngine

MAX_DECISION_AGE_S: Final = 2.0
START_TIME_BITS: Final = 32


class Decision(NamedTuple):
    """The decision behind an order.

    ``revision`` is the document's revision at the decision, ``decided_at_s`` the monotonic time.
    """

    revision: int
    decided_at_s: float
    reason: str


def fence(revision: int, started_wall_s: float) -> int:
    """Return the fencing number of the orders of an agent started then, at that revision."""
    return (revision << START_TIME_BITS) | (int(started_wall_s) & ((1 << START_TIME_BITS) - 1))


def may_take_effect(error: GypsumpierError) -> bool:
    """Return whether an order that has failed with this error may still be carried out."""
    return not isinstance(error, NotSentError) and error.code.outcome is not Outcome.NOT_RUN


class Orders:
    """Sends orders to one engine."""

    def __init__(self, clock: Clock, engine: WeightEngine) -> None:
        self.clock = clock
        self.engine = engine
        self.started_wall_s = clock.wall()

    async def load(self, decided: Decision, model: str, version: str, digest: str) -> None:
        """Order the engine to load staged weights; raise GypsumpierError where it is refused."""
        order = self.checked_order("load", decided, model, version, digest)
        await self.engine.load(order)

    async def unload(self, decided: Decision, model: str, version: str, digest: str) -> None:
        """Order the engine to unload weights; raise GypsumpierError where it is refused."""
        order = self.checked_order("unload", decided, model, version, digest)
        await self.engine.unload(order)

    def checked_order(
        self, act: str, decided: Decision, model: str, version: str, digest: str
    ) -> LoadOrder:
        """Return the order; raise GypsumpierError with DECISION_TOO_OLD for an old decision."""
        order = LoadOrder(model, version, digest, fence(decided.revision, self.started_wall_s))
        age_s = self.clock.monotonic() - decided.decided_at_s
        if age_s > MAX_DECISION_AGE_S:
            decision(
                "order_dropped",
                act=act,
                model=model,
                version=version,
                reason="its decision is too old",
            )
            raise GypsumpierError(
                DECISION_TOO_OLD, f"{act} was decided {age_s:.1f} s ago, so it is not sent"
            )
        decision(
            "order",
            act=act,
            model=model,
            version=version,
            digest=digest,
            fence=order.fence,
            reason=decided.reason,
        )
        return order
