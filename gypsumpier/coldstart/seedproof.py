"""What a seed has told this entry."""

from typing import NamedTuple


class SeedProof(NamedTuple):
    """A seed's message, sent at ``sent_at_s`` in boot time.

    The seed has known this entry's name for ``known_s`` seconds, and then knew ``entries`` names of
    its zone.
    """

    sent_at_s: float
    known_s: float
    entries: int
