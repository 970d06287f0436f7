"""Runs many entries or agents in one process, as the peers of the measured process.

They are the package's own applications, so that real frames are exchanged.  ``GET /members``
returns their member-list records.
"""

import asyncio
import json
from typing import Any

import click
from tornado.web import Application, RequestHandler

from gypsumpier.agent.application import AgentApplication
from gypsumpier.entry.application import EntryApplication
from gypsumpier.log import LOGGER
from gypsumpier.options import Options
from gypsumpier.test.standin.server import serve

Peer = AgentApplication | EntryApplication


class MembersHandler(RequestHandler):
    """Handles ``GET /members``."""

    def initialize(self, peers: list[Peer]) -> None:
        self.peers = peers

    def get(self) -> None:
        self.finish({"members": [member_record(peer.options) for peer in self.peers]})


def build(options: Options) -> Peer:
    """Return the application for the role in the options."""
    return AgentApplication(options) if options.role == "agent" else EntryApplication(options)


def member_record(options: Options) -> dict[str, Any]:
    """Return the member-list record of an application."""
    return {
        "name": options.name,
        "incarnation": options.incarnation,
        "role": options.role,
        "service": options.service,
        "region": options.region,
        "zone": options.zone,
        "host": options.host,
        "port": options.port,
        "bulk_port": options.bulk_port,
        "leaving": False,
    }


async def run(settings: list[dict[str, Any]]) -> None:
    """Start the applications and serve the list of their records."""
    LOGGER.disabled = True
    peers = [build(Options(**one)) for one in settings]
    for peer in peers:
        await peer.start()
    await serve(Application([("/members", MembersHandler, {"peers": peers})]), 0)


@click.command()
@click.option("--count", default=1)
@click.option("--settings", required=True, help="Settings of each application as JSON.")
def main(count: int, settings: str) -> None:
    """Run ``count`` applications with common settings in this process."""
    common: dict[str, Any] = json.loads(settings)
    kind = common.get("service") or common["role"]
    places = [
        {"name": f"{kind}/{common['zone']}/{n + 1}", "incarnation": "1"} for n in range(count)
    ]
    asyncio.run(run([common | place for place in places]))


if __name__ == "__main__":
    main()
