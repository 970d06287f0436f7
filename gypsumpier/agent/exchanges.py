"""The attempts that an agent knows, so that it can say whether one was run.

An attempt that is asked after and not known is noted as refused, and a late copy of it is refused
from then on.  Only then may the entry call it *not run*.  The parts of an ended attempt are freed
after ``PARTS_KEPT_S``.  Ended attempts are forgotten after
``KEPT_S``; a question about an attempt that may be older than that gets no such promise.
"""

from collections import OrderedDict, deque
from typing import Final, NamedTuple

from gypsumpier.agent.exchange import Exchange

KEPT_S: Final = 120.0
PARTS_KEPT_S: Final = 15.0
EXCHANGES_MAX: Final = 50_000


class Ended(NamedTuple):
    """When an attempt ended."""

    name: str
    at_s: float


class Exchanges:
    """The running, ended and refused attempts by name.  Times are monotonic seconds."""

    def __init__(self) -> None:
        self.known: dict[str, Exchange] = {}
        self.ended: OrderedDict[str, float] = OrderedDict()
        self.with_parts: deque[Ended] = deque()
        self.refused: OrderedDict[str, float] = OrderedDict()
        self.forgotten_at_s = float("-inf")

    def begin(self, name: str) -> Exchange:
        """Add a new attempt."""
        self.known[name] = Exchange(name)
        return self.known[name]

    def end(self, name: str, now_s: float) -> None:
        """Note that the attempt has ended."""
        self.ended[name] = now_s
        self.with_parts.append(Ended(name, now_s))
        self.forget_old(now_s)

    def refuse(self, name: str, age_s: float, now_s: float) -> bool:
        """Refuse late copies of an unknown attempt; False where it may have been forgotten."""
        self.forget_old(now_s)
        if name in self.known or now_s - age_s <= self.forgotten_at_s or age_s > KEPT_S:
            return False
        self.refused[name] = now_s
        return True

    def forget_old(self, now_s: float) -> None:
        """Forget attempts that ended long ago, and refusals of copies that are too late anyway."""
        while self.with_parts and now_s - self.with_parts[0].at_s > PARTS_KEPT_S:
            exchange = self.known.get(self.with_parts.popleft().name)
            if exchange is not None:
                exchange.forget_parts()
        while self.ended:
            name, ended_at_s = next(iter(self.ended.items()))
            if now_s - ended_at_s <= KEPT_S and len(self.ended) <= EXCHANGES_MAX:
                break
            del self.ended[name]
            self.known.pop(name, None)
            self.forgotten_at_s = max(self.forgotten_at_s, ended_at_s)
        while self.refused and now_s - next(iter(self.refused.values())) > KEPT_S:
            self.refused.popitem(last=False)
