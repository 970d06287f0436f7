"""Which members changed since when, so that a peer gets only what it lacks.

Each change of the member table takes the next number.  A peer that knows the table up to one
number is sent the members changed after it and the names dropped after it.  Only the newest drops
are remembered; a peer that is further behind gets the whole list.
"""

from typing import Final

DROPS_LIMIT: Final = 1024


class Journal:
    """The numbers of the last change of each member and of the newest drops."""

    def __init__(self) -> None:
        self.number = 0
        self.changed_at: dict[str, int] = {}
        self.dropped_at: dict[str, int] = {}
        self.full_list_below = 0

    def note_change(self, name: str) -> None:
        """Note that a member was added or replaced."""
        self.number += 1
        self.changed_at[name] = self.number
        self.dropped_at.pop(name, None)

    def note_drop(self, name: str) -> None:
        """Note that a member was removed."""
        self.number += 1
        self.changed_at.pop(name, None)
        self.dropped_at[name] = self.number
        if len(self.dropped_at) > DROPS_LIMIT:
            oldest = min(self.dropped_at, key=lambda one: self.dropped_at[one])
            self.full_list_below = self.dropped_at.pop(oldest)

    def needs_full_list(self, number: int) -> bool:
        """Tell whether a peer that knows the table up to ``number`` needs the whole list."""
        return number < self.full_list_below

    def changed_after(self, number: int) -> list[str]:
        """Return the members changed after that number."""
        return [name for name, at in self.changed_at.items() if at > number]

    def dropped_after(self, number: int) -> list[str]:
        """Return the names dropped after that number."""
        return [name for name, at in self.dropped_at.items() if at > number]
