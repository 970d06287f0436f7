"""Positions in the history of the platform's store."""

from typing import NamedTuple


class Position(NamedTuple):
    """A revision of the store, and the era in which the store counted it.

    A new era begins whenever the store comes back from an older copy.  It then gives out revisions
    once more, so that revisions of two eras can't be compared.  A store that states no era is in
    era 0.
    """

    era: int
    revision: int
