"""Whether another upstream takes a request whose upstream is silent."""

from typing import Protocol


class Replacement(Protocol):
    """A place at another upstream, which must be held before the silent one is given up."""

    def take(self) -> bool:
        """Take a place that is free now; return whether there is one."""

    async def wait(self) -> bool:
        """Wait for a place and take it; return False if none is to be had.

        A cancelled wait takes none.
        """

    def release(self) -> None:
        """Give a place back that was taken, as the silent upstream went on first."""


class NoReplacement:
    """For requests that stay with their upstream."""

    def take(self) -> bool:
        return False

    async def wait(self) -> bool:
        return False

    def release(self) -> None:
        return None
