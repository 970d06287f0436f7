"""Stand-in for the configuration service: documents with revisions from one counter.

Control: ``POST /control/put {"name", "body"}``, ``/control/delete {"name"}``, ``/control/down
{"on"}``, ``/control/stale {"position"}`` (answers as of that position; null turns this off),
``/control/rate {"calls_per_s"}`` and ``GET /control/counts``.  A waiting watch counts as a call.
"""

import asyncio
import time
from typing import Any

import click
from tornado.web import Application

from gypsumpier.test.standin.server import DownControl, StandinHandler, serve


class ConfigurationState:
    """Every revision of every document, the faults and the call counts."""

    def __init__(self, calls_per_s: float = 2000.0) -> None:
        self.down = False
        self.stale_position: int | None = None
        self.calls_per_s = calls_per_s
        self.history: list[dict[str, Any]] = []
        self.changed = asyncio.Condition()
        self.counts = {"read": 0, "watch": 0, "refused": 0, "bytes_sent": 0}
        self.second = 0
        self.calls_in_second = 0

    @property
    def position(self) -> int:
        """The position that clients see."""
        newest = len(self.history)
        return newest if self.stale_position is None else min(self.stale_position, newest)

    def changes(self, after: int) -> dict[str, Any]:
        """Return the newest revision of each document that changed after the position."""
        # The entry of revision N is at index N - 1.
        newest = {entry["name"]: entry for entry in self.history[after : self.position]}
        return {"position": self.position, "documents": list(newest.values())}

    async def put(self, name: str, body: str | None) -> int:
        """Store a document, or its deletion; return the revision."""
        revision = len(self.history) + 1
        self.history.append({"name": name, "revision": revision, "body": body})
        await self.notify()
        return revision

    async def notify(self) -> None:
        """Wake the waiting watches."""
        async with self.changed:
            self.changed.notify_all()

    def admit(self, kind: str) -> bool:
        """Count a call; return whether it is within the rate limit."""
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.calls_in_second = second, 0
        self.calls_in_second += 1
        self.counts[kind] += 1
        if self.calls_in_second <= self.calls_per_s:
            return True
        self.counts["refused"] += 1
        return False


class CountedHandler(StandinHandler):
    """Counts the bytes of its answers."""

    def on_finish(self) -> None:
        content_bytes = int(self._headers.get("Content-Length", 0))
        self.state.counts["bytes_sent"] += content_bytes
        for headers in (self.request.headers, self._headers):
            lines = (len(f"{name}: {value}\r\n") for name, value in headers.get_all())
            self.state.counts["bytes_sent"] += sum(lines)


class ReadHandler(CountedHandler):
    """``GET /documents``."""

    def get(self) -> None:
        if not self.state.admit("read"):
            self.refuse(429)
        self.finish(self.state.changes(0))


class WatchHandler(CountedHandler):
    """``GET /watch?after=N&timeout_s=S``."""

    async def get(self) -> None:
        if not self.state.admit("watch"):
            self.refuse(429)
        after = int(self.get_argument("after"))
        try:
            async with asyncio.timeout(float(self.get_argument("timeout_s"))):
                async with self.state.changed:
                    await self.state.changed.wait_for(lambda: self.state.position > after)
        except TimeoutError:
            pass
        if self.state.down:
            self.refuse(503)
        self.finish(self.state.changes(after))


class ControlHandler(StandinHandler):
    """Changes documents and faults."""

    async def post(self, action: str) -> None:
        body = self.json_body()
        revision = len(self.state.history)
        if action == "put":
            revision = await self.state.put(body["name"], body["body"])
        elif action == "delete":
            revision = await self.state.put(body["name"], None)
        elif action == "stale":
            self.state.stale_position = body["position"]
            await self.state.notify()
        elif action == "rate":
            self.state.calls_per_s = float(body["calls_per_s"])
        self.finish({"revision": revision})

    def get(self, action: str) -> None:
        self.finish(self.state.counts)


def make_application(state: ConfigurationState) -> Application:
    """Return the stand-in as an application."""
    arguments = {"state": state}
    return Application(
        [
            ("/documents", ReadHandler, arguments),
            ("/watch", WatchHandler, arguments),
            ("/control/down", DownControl, arguments),
            ("/control/(.*)", ControlHandler, arguments),
        ]
    )


async def run(port: int, calls_per_s: float) -> None:
    """Serve the stand-in."""
    await serve(make_application(ConfigurationState(calls_per_s)), port)


@click.command()
@click.option("--port", default=0)
@click.option("--calls-per-s", default=2000.0)
def main(port: int, calls_per_s: float) -> None:
    """Serve the stand-in as a process."""
    asyncio.run(run(port, calls_per_s))


if __name__ == "__main__":
    main()
