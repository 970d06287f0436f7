"""Change log of the member table, so that a peer is sent only the changes that it lacks.

Each change of the member table has the next sequence number.  A peer that has the table up to one
number is sent the members changed and the names dropped after that number.  Only the newest drops
are kept; a peer that is further behind is sent the full list.
"""

from typing import Final

DROPS_LIMIT: Final = 1024


class Journal:
    """The sequence numbers of the last change of each member and of the newest drops.

    ``number`` is that of the last change.  A peer behind ``full_list_below`` needs the full list.
    """

    def __init__(self) -> None:
        self.number = 0
        self.changed_at: dict[str, int] = {}
        self.dropped_at: dict[str, int] = {}
        self.full_list_below = 0

    def record_change(self, name: str) -> None:
        """Record that a member was added or replaced."""
        self.number += 1
        self.changed_at[name] = self.number
        self.dropped_at.pop(name, None)

    def record_drop(self, name: str) -> None:
        """Record that a member was removed."""
        self.number += 1
        self.changed_at.pop(name, None)
        self.dropped_at[name] = self.number
        if len(self.dropped_at) > DROPS_LIMIT:
            oldest = min(self.dropped_at, key=lambda one: self.dropped_at[one])
            self.full_list_below = self.dropped_at.pop(oldest)

    def needs_full_list(self, number: int) -> bool:
        """Return whether a peer that has the table up to ``number`` needs the full list."""
        return number < self.full_list_below

    def changed_after(self, number: int) -> list[str]:
        """Return the names of the members that were added or replaced after ``number``."""
        return [name for name, at in self.changed_at.items() if at > number]

    def dropped_after(self, number: int) -> list[str]:
        """Return the names of the members that were dropped after ``number``."""
        return [name for name, at in self.dropped_at.items() if at > number]
