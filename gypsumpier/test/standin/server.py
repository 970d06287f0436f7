"""Shared parts of the stand-ins: a request handler with faults, and serving as a process."""

import asyncio
import json
import logging
import signal
from typing import Any, Final, Protocol

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, Finish, RequestHandler

MAX_BODY_BYTES: Final = 256 * 1024 * 1024
RETRY_AFTER_S: Final = 1


class Faults(Protocol):
    """The state of a stand-in that is checked before every call.

    One with an attribute ``limit`` that is not None states it in its answers, and one whose
    ``is_leaving`` is set states that.
    """

    down: bool


class StandinHandler(RequestHandler):
    """Base of the stand-ins' handlers; ``self.state`` is the stand-in."""

    state: Any

    def initialize(self, state: Any) -> None:
        self.state = state

    def prepare(self) -> None:
        """State the limit and the leaving; refuse the call while the stand-in is down."""
        limit = getattr(self.state, "limit", None)
        if limit is not None:
            self.set_header("Server-Limit", limit)
        if getattr(self.state, "is_leaving", False):
            self.set_header("Server-Leaving", "1")
        if self.state.down and not self.request.path.startswith("/control/"):
            self.refuse(503)

    def refuse(self, status: int, **fields: object) -> None:
        """Answer with an error and end the call, which has had no effect."""
        self.set_status(status)
        if status in (429, 503):
            self.set_header("Retry-After", str(RETRY_AFTER_S))
            self.set_header("Gypsumpier-Outcome", "not_run")
        self.finish(fields)
        raise Finish

    def json_body(self) -> dict[str, Any]:
        """Return the call's JSON object."""
        value: dict[str, Any] = json.loads(self.request.body or b"{}")
        return value

    def log_exception(self, *args: Any) -> None:
        """Log nothing: failures of faulty calls are expected and would clutter the output."""


class DownControl(StandinHandler):
    """``POST /control/down {"on": bool}``: answer every call with 503 while on."""

    def post(self) -> None:
        self.state.down = bool(self.json_body()["on"])
        self.finish({})


def listen(application: Application, port: int = 0) -> tuple[HTTPServer, int]:
    """Serve on the loopback address; return the server and its port."""
    # Tests cause refusals on purpose; the access log would hide the tests' own output.
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    server = HTTPServer(application, max_body_size=MAX_BODY_BYTES, max_buffer_size=MAX_BODY_BYTES)
    sockets = bind_sockets(port, "127.0.0.1")
    server.add_sockets(sockets)
    return server, sockets[0].getsockname()[1]


async def serve(application: Application, port: int) -> None:
    """Serve until a termination signal."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    server, bound_port = listen(application, port)
    print(f"listening {bound_port}", flush=True)
    await stopped.wait()
    server.stop()
