"""A source of weights over HTTP.

``GET /models/M/versions/V/files`` returns ``{"files": [{"path", "size_bytes", "digest",
"chunk_bytes", "chunk_digests"}]}`` and ``GET /models/M/versions/V/content/PATH`` with a Range
header the bytes of one range.
"""

from typing import Any, Final
from urllib.parse import quote

from gypsumpier.codes.platform import PLATFORM_BAD_ANSWER
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.http import HttpCaller
from gypsumpier.external.store import WeightFile

READ_TIMEOUT_S: Final = 60.0


class HttpStore:
    """The Store protocol over HTTP."""

    def __init__(self, url: str) -> None:
        self.caller = HttpCaller(url)

    async def files(self, model: str, version: str) -> list[WeightFile]:
        answer = await self.caller.call_json("GET", f"{version_path(model, version)}/files")
        try:
            return [decode_file(entry) for entry in answer["files"]]
        except (KeyError, TypeError, ValueError) as error:
            raise GypsumpierError(PLATFORM_BAD_ANSWER, f"bad file list: {error!r}") from error

    async def read(self, model: str, version: str, path: str, offset: int, length: int) -> bytes:
        if length == 0:
            return b""
        url_path = f"{version_path(model, version)}/content/{quote(path)}"
        headers = {"Range": f"bytes={offset}-{offset + length - 1}"}
        content = await self.caller.call("GET", url_path, READ_TIMEOUT_S, headers=headers)
        if len(content) != length:
            detail = f"{len(content)} bytes received where {length} were requested"
            raise GypsumpierError(PLATFORM_BAD_ANSWER, detail)
        return content

    def close(self) -> None:
        """Close the client."""
        self.caller.close()


def decode_file(entry: dict[str, Any]) -> WeightFile:
    """Return one entry of the file list; raise KeyError, TypeError or ValueError if malformed."""
    return WeightFile(
        str(entry["path"]),
        int(entry["size_bytes"]),
        str(entry["digest"]),
        int(entry["chunk_bytes"]),
        tuple(str(digest) for digest in entry["chunk_digests"]),
    )


def version_path(model: str, version: str) -> str:
    """Return the path of a version."""
    return f"/models/{quote(model, safe='')}/versions/{quote(version, safe='')}"
