"""Stand-in for the weight store and the origin, which serves ``DIRECTORY/model/version/files``.

The rate limit in bytes per second is shared by all readers and enforced by pacing or, with
``--refuse``, by status 429.  Control: ``POST /control/corrupt {"reads"}`` flips a bit in that many
subsequent reads, ``/control/down {"on"}``, ``/control/rate {"bytes_per_s"}``, ``POST
/control/replace?file=model/version/path`` replaces a file's content by the body, and ``GET
/control/counts`` returns the bytes read of each file and in total.
"""

import asyncio
import time
from pathlib import Path
from typing import Final

import click
from tornado.web import Application

from gypsumpier.external.store import WeightFile
from gypsumpier.test.standin.server import DownControl, StandinHandler, serve
from gypsumpier.weight.publication import published_file

WRITE_BYTES: Final = 16 * 1024
CHUNK_BYTES: Final = 256 * 1024
MAX_BACKLOG_S: Final = 0.5


class StoreState:
    """The directory, replaced files, faults and counts."""

    def __init__(
        self,
        directory: Path,
        bytes_per_s: float = 0.0,
        refuse: bool = False,
        chunk_bytes: int = CHUNK_BYTES,
    ) -> None:
        self.directory = directory
        self.chunk_bytes = chunk_bytes
        self.descriptions: dict[str, tuple[bytes, WeightFile]] = {}
        self.bytes_per_s = bytes_per_s
        self.refuse = refuse
        self.down = False
        self.corrupt_reads = 0
        self.replaced: dict[str, bytes] = {}
        self.cached: dict[str, tuple[int, bytes]] = {}
        self.bytes_read: dict[str, int] = {}
        self.refused = 0
        self.link_free_at_s = 0.0

    def content(self, name: str) -> bytes | None:
        """Return the file's content, or None if there is no such file."""
        if name in self.replaced:
            return self.replaced[name]
        path = (self.directory / name).resolve()
        inside = path.is_relative_to(self.directory.resolve())
        if not inside or not path.is_file():
            return None
        changed_at_ns = path.stat().st_mtime_ns
        if self.cached.get(name, (0, b""))[0] != changed_at_ns:
            self.cached[name] = (changed_at_ns, path.read_bytes())
        return self.cached[name][1]

    def describe(self, name: str, path: str) -> WeightFile:
        """Return the published description of the file, computed once for each content."""
        content = self.content(name) or b""
        known = self.descriptions.get(name)
        if known is None or known[0] is not content:
            known = (content, published_file(path, content, self.chunk_bytes))
            self.descriptions[name] = known
        return known[1]

    def names(self, version: str) -> list[str]:
        """Return the names of the version's files."""
        folder = self.directory / version
        found = {str(p.relative_to(self.directory)) for p in folder.rglob("*") if p.is_file()}
        found |= {name for name in self.replaced if name.startswith(version + "/")}
        return sorted(found)

    def reserve(self, size_bytes: int) -> float:
        """Reserve the link for the bytes; return the seconds until they have crossed it."""
        if not self.bytes_per_s:
            return 0.0
        now_s = time.monotonic()
        self.link_free_at_s = max(now_s, self.link_free_at_s) + size_bytes / self.bytes_per_s
        return self.link_free_at_s - now_s

    def corrupted(self, content: bytes) -> bytes:
        """Return the content, with one bit flipped while ``corrupt_reads`` is above 0."""
        if self.corrupt_reads <= 0 or not content:
            return content
        self.corrupt_reads -= 1
        middle = len(content) // 2
        return content[:middle] + bytes([content[middle] ^ 1]) + content[middle + 1 :]


class FilesHandler(StandinHandler):
    """``GET /models/M/versions/V/files``."""

    def get(self, model: str, version: str) -> None:
        prefix = f"{model}/{version}"
        files = []
        for name in self.state.names(prefix):
            path = name.removeprefix(prefix + "/")
            files.append(self.state.describe(name, path)._asdict())
        if not files:
            self.refuse(404)
        self.finish({"files": files})


class ContentHandler(StandinHandler):
    """``GET /models/M/versions/V/content/PATH`` with a Range header."""

    async def get(self, model: str, version: str, path: str) -> None:
        name = f"{model}/{version}/{path}"
        content = self.state.content(name)
        if content is None:
            self.refuse(404)
        first, _, last = self.request.headers["Range"].removeprefix("bytes=").partition("-")
        part = content[int(first) : int(last) + 1]
        if self.state.refuse and self.state.reserve(0) > MAX_BACKLOG_S:
            self.state.refused += 1
            self.refuse(429)
        self.set_status(206)
        await self.send(name, self.state.corrupted(part))

    async def send(self, name: str, part: bytes) -> None:
        """Write the part at the link's rate and count what was written."""
        for start in range(0, len(part), WRITE_BYTES):
            piece = part[start : start + WRITE_BYTES]
            await asyncio.sleep(self.state.reserve(len(piece)))
            self.write(piece)
            await self.flush()
            self.state.bytes_read[name] = self.state.bytes_read.get(name, 0) + len(piece)


class ControlHandler(StandinHandler):
    """Sets faults and reads the counts."""

    def post(self, action: str) -> None:
        if action == "replace":
            self.state.replaced[self.get_argument("file")] = self.request.body
        elif action == "corrupt":
            self.state.corrupt_reads = int(self.json_body()["reads"])
        elif action == "rate":
            self.state.bytes_per_s = float(self.json_body()["bytes_per_s"])
        self.finish({})

    def get(self, action: str) -> None:
        files = self.state.bytes_read
        total = sum(files.values())
        self.finish({"files": files, "total_bytes": total, "refused": self.state.refused})


def make_application(state: StoreState) -> Application:
    """Return the stand-in as an application."""
    arguments = {"state": state}
    return Application(
        [
            ("/models/([^/]+)/versions/([^/]+)/files", FilesHandler, arguments),
            ("/models/([^/]+)/versions/([^/]+)/content/(.+)", ContentHandler, arguments),
            ("/control/down", DownControl, arguments),
            ("/control/(.*)", ControlHandler, arguments),
        ]
    )


@click.command()
@click.option("--port", default=0)
@click.option("--directory", type=click.Path(path_type=Path), required=True)
@click.option("--rate", default=0.0, help="Bytes a second of all readers; 0 is unbounded.")
@click.option("--chunk-bytes", default=CHUNK_BYTES, help="Size of the published chunks.")
@click.option("--refuse", is_flag=True, help="Answer 429 over the rate in place of pacing.")
def main(port: int, directory: Path, rate: float, chunk_bytes: int, refuse: bool) -> None:
    """Serve the stand-in as a process."""
    state = StoreState(directory, rate, refuse, chunk_bytes)
    asyncio.run(serve(make_application(state), port))


if __name__ == "__main__":
    main()
