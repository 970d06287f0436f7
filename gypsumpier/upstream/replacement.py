"""Whether another upstream takes a request whose upstream is silent."""

from typing import Protocol


class Replacement(Protocol):
    """Another upstream, which must answer the request before the silent one is given up.

    A cancelled call gives up what it has begun.  ``is_asked`` is set while the other
    upstream may have the request.
    """

    is_asked: bool

    async def take(self) -> bool:
        """Use a place that is free now; return whether the upstream there answers."""

    async def wait(self) -> bool:
        """Wait for a place and use it; return whether the upstream there answers."""

    def release(self) -> None:
        """Give up the other upstream, as the silent one went on first."""


class NoReplacement:
    """For requests that stay with their upstream."""

    is_asked = False

    async def take(self) -> bool:
        return False

    async def wait(self) -> bool:
        return False

    def release(self) -> None:
        return None
