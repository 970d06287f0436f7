"""An upstream as far as its statements are concerned."""

from typing import Protocol

RunKey = tuple[str, int]


class StatingUpstream(Protocol):
    """An upstream that states something in its answers."""

    @property
    def id(self) -> str:
        """Its name."""

    @property
    def service(self) -> str:
        """The service that it is part of."""

    def run_key(self) -> RunKey:
        """Return the key of its run; nothing that an earlier run has stated holds for another."""
