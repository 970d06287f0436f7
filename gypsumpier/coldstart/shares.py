"""The interface to this entry's shares of the allowances of cold upstreams."""

from typing import Protocol


class ColdShares(Protocol):
    """Divides the allowances among the entries of a zone."""

    def share(self, run: tuple[str, int], allowance: float) -> int:
        """Return the requests that this entry may send in any second to one cold upstream."""


class NoShares:
    """The shares of a process that knows no other: it sends nothing to cold upstreams."""

    def share(self, run: tuple[str, int], allowance: float) -> int:
        return 0
