"""Which process fills a slot, as an entry has met it."""

from typing import NamedTuple


class Holder(NamedTuple):
    """The youngest process met in a slot; ``started_at_s`` is on this entry's clock.

    ``previous`` is the incarnation that was met before it, or empty.
    """

    incarnation: str
    started_at_s: float
    previous: str
