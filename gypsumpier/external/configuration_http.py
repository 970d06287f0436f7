"""The configuration service over HTTP.

``GET /documents`` returns every document and ``GET /watch?after=N&timeout_s=S`` the changes after
position N, both as ``{"position": N, "documents": [{"name", "revision", "body"}]}`` where ``body``
is the document's text, or null if the revision deletes it.
"""

from typing import Any, Final

from gypsumpier.codes.platform import PLATFORM_BAD_ANSWER
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.configuration import Changes, DocumentRevision
from gypsumpier.external.http import HttpCaller, json_object

WATCH_MARGIN_S: Final = 5.0
"""Seconds beyond the wait after which a watch times out."""


class HttpConfiguration:
    """The Configuration protocol over HTTP."""

    def __init__(self, url: str) -> None:
        self.caller = HttpCaller(url)

    async def read_all(self) -> Changes:
        return decode_changes(await self.caller.call("GET", "/documents"))

    async def watch(self, position: int, timeout_s: float) -> Changes:
        path = f"/watch?after={position}&timeout_s={timeout_s:g}"
        return decode_changes(await self.caller.call("GET", path, timeout_s + WATCH_MARGIN_S))

    def close(self) -> None:
        """Close the client."""
        self.caller.close()


def decode_changes(body: bytes) -> Changes:
    """Return the decoded answer; raise GypsumpierError if its shape is wrong."""
    answer = json_object(body)
    try:
        documents = [decode_revision(entry) for entry in answer["documents"]]
        return Changes(int(answer["position"]), documents)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise GypsumpierError(PLATFORM_BAD_ANSWER, f"bad changes: {error!r}") from error


def decode_revision(entry: dict[str, Any]) -> DocumentRevision:
    """Return one entry of the answer as a document revision."""
    body = entry["body"]
    content = None if body is None else body.encode("utf-8", "surrogateescape")
    return DocumentRevision(str(entry["name"]), int(entry["revision"]), content)
