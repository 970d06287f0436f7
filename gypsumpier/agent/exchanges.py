"""The table of attempts that an agent knows, which decides whether an attempt has run.

When an entry resumes an attempt that is not in the table, the attempt is recorded as refused, and a
late copy of it is refused from then on.  Only then may the entry report it as *not run*.  The parts
of an ended attempt are freed after ``PARTS_RETENTION_S``.  Ended attempts are evicted after
``ENDED_RETENTION_S``; the outcome of an attempt that may be older than that is unknown.
"""

from collections import OrderedDict, deque
from typing import Final, NamedTuple

from gypsumpier.agent.exchange import Exchange

ENDED_RETENTION_S: Final = 120.0
PARTS_RETENTION_S: Final = 15.0
EXCHANGES_MAX: Final = 50_000


class Ended(NamedTuple):
    """The name of an attempt and the monotonic time of its end."""

    name: str
    at_s: float


class Exchanges:
    """The running, ended and refused attempts by name.  Times are monotonic seconds.

    ``known`` holds running and ended attempts.  ``forgotten_until_s`` is the latest end of an
    attempt that was evicted.
    """

    def __init__(self) -> None:
        self.known: dict[str, Exchange] = {}
        self.ended: OrderedDict[str, float] = OrderedDict()
        self.ended_with_parts: deque[Ended] = deque()
        self.refused: OrderedDict[str, float] = OrderedDict()
        self.forgotten_until_s = float("-inf")

    def begin(self, name: str) -> Exchange:
        """Add a new attempt."""
        self.known[name] = Exchange(name)
        return self.known[name]

    def end(self, name: str, now_s: float) -> None:
        """Record that the attempt has ended."""
        self.ended[name] = now_s
        self.ended_with_parts.append(Ended(name, now_s))
        self.evict_expired(now_s)

    def refuse(self, name: str, age_s: float, now_s: float) -> bool:
        """Refuse late copies of an unknown attempt.

        Return False if the attempt is known or may have been evicted.
        """
        self.evict_expired(now_s)
        if (
            name in self.known
            or now_s - age_s <= self.forgotten_until_s
            or age_s > ENDED_RETENTION_S
        ):
            return False
        self.refused[name] = now_s
        return True

    def evict_expired(self, now_s: float) -> None:
        """Free the parts of attempts, and evict attempts and refusals, past their retention.

        Copies of attempts whose refusal is evicted are too late to run anyway.
        """
        while self.ended_with_parts and now_s - self.ended_with_parts[0].at_s > PARTS_RETENTION_S:
            exchange = self.known.get(self.ended_with_parts.popleft().name)
            if exchange is not None:
                exchange.free_parts()
        while self.ended:
            name, ended_at_s = next(iter(self.ended.items()))
            if now_s - ended_at_s <= ENDED_RETENTION_S and len(self.ended) <= EXCHANGES_MAX:
                break
            del self.ended[name]
            self.known.pop(name, None)
            self.forgotten_until_s = max(self.forgotten_until_s, ended_at_s)
        while self.refused and now_s - next(iter(self.refused.values())) > ENDED_RETENTION_S:
            self.refused.popitem(last=False)
