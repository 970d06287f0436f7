"""What the selector thinks of one upstream for one request."""

from typing import NamedTuple

from gypsumpier.eligibility.upstreamexplanation import UpstreamExplanation
from gypsumpier.fleet.upstream import UpstreamRecord


class Assessment(NamedTuple):
    """The explanation of an upstream, and by what it is compared where it has no obstacle.

    The selector takes the least ``cost_s`` (seconds), and of equal ones that with the fewest
    ``used_permits``; an upstream that is not cold uses none.
    """

    record: UpstreamRecord
    explanation: UpstreamExplanation
    cost_s: float
    used_permits: int
