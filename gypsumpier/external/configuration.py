"""Protocol of the platform's configuration service, which is read-only."""

from typing import NamedTuple, Protocol


class DocumentRevision(NamedTuple):
    """One revision of a document; ``body`` is None if the revision deletes the document."""

    name: str
    revision: int
    body: bytes | None


class Changes(NamedTuple):
    """The result of a read or a watch; the next watch continues after ``position``."""

    position: int
    documents: list[DocumentRevision]


class Configuration(Protocol):
    """Reads documents.  Every call, including a waiting watch, counts towards the rate limit.

    Raises GypsumpierError with PLATFORM_UNREACHABLE, PLATFORM_REFUSED or PLATFORM_BAD_ANSWER.
    """

    async def read_all(self) -> Changes:
        """Return one revision of every document, including deletions."""

    async def watch(self, position: int, timeout_s: float) -> Changes:
        """Return the changes after ``position``; wait for up to ``timeout_s`` for the first."""
