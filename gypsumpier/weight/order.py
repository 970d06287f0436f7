"""Orders to the engine, each with a fencing number and a check that its decision is fresh.

The fencing number rises with the document's revision and then with the agent's start, so an
engine that honours it refuses an agent that acts on an older document or that has been replaced.
An engine that ignores it is protected by the agent alone: before each order the agent compares
the monotonic clock with when the decision was made, and drops the order when that is too long
ago, as after a pause of the process.  A pause between that check and the engine's receipt of the
order can't be noticed here; the agent reads back what the engine reports and corrects it.
"""

from typing import Final, NamedTuple

from gypsumpier.clock import Clock
from gypsumpier.codes.weight import DECISION_TOO_OLD
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.engine import LoadOrder
from gypsumpier.log import decision
from gypsumpier.weight.inputs import WeightEngine

MAX_DECISION_AGE_S: Final = 2.0
START_TIME_BITS: Final = 32


class Decision(NamedTuple):
    """The decision behind an order: the document's revision and when it was looked at."""

    revision: int
    decided_at_s: float
    reason: str


def fence(revision: int, started_wall_s: float) -> int:
    """Return the fencing number of an agent's orders at a revision of its document."""
    return (revision << START_TIME_BITS) | (int(started_wall_s) & ((1 << START_TIME_BITS) - 1))


class Orders:
    """Gives one engine its orders."""

    def __init__(self, clock: Clock, engine: WeightEngine) -> None:
        self.clock = clock
        self.engine = engine
        self.started_wall_s = clock.wall()

    async def load(self, decided: Decision, model: str, version: str, digest: str) -> None:
        """Order staged weights live; raise GypsumpierError where that is refused."""
        order = self.checked_order("load", decided, model, version, digest)
        await self.engine.load(order)

    async def unload(self, decided: Decision, model: str, version: str, digest: str) -> None:
        """Order weights away; raise GypsumpierError where that is refused."""
        order = self.checked_order("unload", decided, model, version, digest)
        await self.engine.unload(order)

    def checked_order(
        self, act: str, decided: Decision, model: str, version: str, digest: str
    ) -> LoadOrder:
        """Return the order; raise GypsumpierError with DECISION_TOO_OLD after a pause."""
        order = LoadOrder(model, version, digest, fence(decided.revision, self.started_wall_s))
        age_s = self.clock.monotonic() - decided.decided_at_s
        if age_s > MAX_DECISION_AGE_S:
            decision("order_dropped", act=act, model=model, version=version, reason="too old")
            raise GypsumpierError(DECISION_TOO_OLD, f"{act} decided {age_s:.1f} s ago")
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
