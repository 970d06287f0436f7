"""The process that holds a slot, as an entry knows it."""

from typing import NamedTuple


class Holder(NamedTuple):
    """The youngest process that this entry has connected to in a slot.

    ``started_at_s`` is a reading of this entry's clock.  ``previous`` is the incarnation of the
    process that held the slot before, or empty.
    """

    incarnation: str
    started_at_s: float
    previous: str
