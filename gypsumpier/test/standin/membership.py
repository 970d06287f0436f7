"""Stand-in for the member list.

Control: ``POST /control/put`` with a member's fields or with ``{"members": [...]}`` for many,
``/control/remove {"name"}``, ``/control/leaving {"name", "leaving"}``, ``/control/lag {"lag_s"}``
(answers with the list of that many seconds ago), ``/control/empty {"on"}``, ``/control/down
{"on"}`` and ``GET /control/counts``.
"""

import asyncio
import time
from typing import Any

import click
from tornado.web import Application

from gypsumpier.test.standin.server import DownControl, StandinHandler, serve


class MembershipState:
    """The versions of the list, each with the monotonic time of its change, and the faults."""

    def __init__(self, lag_s: float = 0.0) -> None:
        self.down = False
        self.empty = False
        self.lag_s = lag_s
        self.calls = 0
        self.bytes_sent = 0
        self.versions: list[tuple[float, dict[str, Any]]] = [(float("-inf"), {})]

    def change(self, name: str, member: dict[str, Any] | None) -> None:
        """Put the member, or remove it where it is None."""
        members = dict(self.versions[-1][1])
        members.pop(name, None)
        if member is not None:
            members[name] = member
        self.replace(members)

    def put_all(self, listed: list[dict[str, Any]]) -> None:
        """Put many members in one change."""
        added = {member["name"]: {"leaving": False} | member for member in listed}
        self.replace(self.versions[-1][1] | added)

    def replace(self, members: dict[str, Any]) -> None:
        """Make this the current version of the list."""
        self.versions.append((time.monotonic(), members))
        self.drop_expired()

    def drop_expired(self) -> None:
        """Drop the versions that no reader can see any more."""
        until_s = time.monotonic() - self.lag_s
        while len(self.versions) > 1 and self.versions[1][0] <= until_s:
            self.versions.pop(0)

    def visible_members(self) -> list[dict[str, Any]]:
        """Return the members that a reader sees now."""
        self.drop_expired()
        return [] if self.empty else list(self.versions[0][1].values())


class MembersHandler(StandinHandler):
    """``GET /members``."""

    def get(self) -> None:
        self.state.calls += 1
        self.finish({"members": self.state.visible_members()})

    def on_finish(self) -> None:
        # A conditional read of an unchanged list is answered without content.
        content_bytes = int(self._headers.get("Content-Length", 0))
        self.state.bytes_sent += content_bytes if self.get_status() == 200 else 0
        for headers in (self.request.headers, self._headers):
            self.state.bytes_sent += sum(len(f"{n}: {v}\r\n") for n, v in headers.get_all())


class ControlHandler(StandinHandler):
    """Changes the list and the faults."""

    def post(self, action: str) -> None:
        body = self.json_body()
        if action == "put" and "members" in body:
            self.state.put_all(body["members"])
        elif action == "put":
            self.state.change(body["name"], {"leaving": False} | body)
        elif action == "remove":
            self.state.change(body["name"], None)
        elif action == "leaving":
            member = self.state.versions[-1][1][body["name"]]
            self.state.change(body["name"], member | {"leaving": body.get("leaving", True)})
        elif action == "lag":
            self.state.lag_s = float(body["lag_s"])
        elif action == "empty":
            self.state.empty = bool(body["on"])
        self.finish({})

    def get(self, action: str) -> None:
        self.finish({"calls": self.state.calls, "bytes_sent": self.state.bytes_sent})


def make_application(state: MembershipState) -> Application:
    """Return the stand-in as an application."""
    arguments = {"state": state}
    return Application(
        [
            ("/members", MembersHandler, arguments),
            ("/control/down", DownControl, arguments),
            ("/control/(.*)", ControlHandler, arguments),
        ],
        compress_response=True,
    )


@click.command()
@click.option("--port", default=0)
@click.option("--lag-s", default=0.0)
def main(port: int, lag_s: float) -> None:
    """Serve the stand-in as a process."""
    asyncio.run(serve(make_application(MembershipState(lag_s)), port))


if __name__ == "__main__":
    main()
