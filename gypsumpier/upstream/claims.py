"""Limits how many of an upstream's free places this entry takes between two exchanges of loads.

Entries learn of each other's loads late.  If each of them took all places that it sees free, an
engine that returns would get many times the requests that it has slots for.
"""

import random
import time
from typing import Final, NamedTuple

CLAIM_PERIOD_S: Final = 0.12
"""Seconds for which a claim holds: the interval at which loads are sent to other zones."""
ZONE_CLAIM_PERIOD_S: Final = 0.05
"""Seconds for which a claim on an upstream of the own zone holds where many entries choose: about
the interval at which entries of a zone tell each other their loads, 20 to 54 ms."""


class Claim(NamedTuple):
    """The most requests of this entry that may be in flight at an upstream until ``ends_s``."""

    most: int
    ends_s: float


class Claims:
    """This entry's claims on the free places of upstreams.

    ``remainder`` is the part of a place that is not claimed yet.  It is carried over, so that the
    shares of many entries add up to the free places, and starts at random, so that entries with
    equal shares don't round up together.
    """

    def __init__(self) -> None:
        self.claims: dict[str, Claim] = {}
        self.remainder = random.random()

    def most(
        self,
        upstream: str,
        in_flight: int,
        free: int,
        share: float,
        period_s: float = CLAIM_PERIOD_S,
    ) -> int:
        """Return how many requests of this entry may be in flight at the upstream.

        ``in_flight`` of them are now, and ``free`` places are seen free.  A new claim is the
        ``share`` of these and holds for ``period_s`` seconds; a place that an own request leaves
        may be used again at once.
        """
        now_s = time.monotonic()
        claim = self.claims.get(upstream)
        if claim is None or now_s >= claim.ends_s:
            claimed, self.remainder = divmod(free * share + self.remainder, 1.0)
            claim = Claim(in_flight + int(claimed), now_s + period_s)
            self.claims[upstream] = claim
        return claim.most

    def is_claimed(self, upstream: str, in_flight: int) -> bool | None:
        """Return whether a claim that holds allows one more request; None if none holds."""
        claim = self.claims.get(upstream)
        if claim is None or time.monotonic() >= claim.ends_s:
            return None
        return in_flight < claim.most

    def retain(self, upstreams: set[str]) -> None:
        """Drop the claims on upstreams that no longer exist."""
        self.claims = {name: claim for name, claim in self.claims.items() if name in upstreams}
