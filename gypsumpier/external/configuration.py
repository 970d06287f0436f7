"""The platform's configuration service, which can only be read and watched."""

from typing import NamedTuple, Protocol


class DocumentRevision(NamedTuple):
    """One document at one revision; ``body`` is None where that revision deletes it."""

    name: str
    revision: int
    body: bytes | None


class Changes(NamedTuple):
    """What a read or a watch returned; ``position`` is where the next watch goes on."""

    position: int
    documents: list[DocumentRevision]


class Configuration(Protocol):
    """Reads documents.  Every call, a waiting watch included, counts on the service's rate.

    Raises GypsumpierError with PLATFORM_UNREACHABLE, PLATFORM_REFUSED or PLATFORM_BAD_ANSWER.
    """

    async def read_all(self) -> Changes:
        """Return every document, deletions included."""

    async def watch(self, position: int, timeout_s: float) -> Changes:
        """Return the changes after ``position``; wait up to ``timeout_s`` for the first."""
