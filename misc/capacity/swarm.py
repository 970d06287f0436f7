"""Many entries or agents of the system in one process, as the peers of the measured one.

They are the package's own applications, so that the frames are the real ones.  ``GET /wire``
answers what the kernel counted on their connections with each other's side.
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
from misc.capacity.wire import count_wire

Peer = AgentApplication | EntryApplication


class Swarm:
    """The applications of the process."""

    def __init__(self, options: list[Options], wire_port: int) -> None:
        self.peers: list[Peer] = [build(one) for one in options]
        self.wire_port = wire_port

    async def start(self) -> None:
        """Start every application."""
        for peer in self.peers:
            await peer.start()

    def members(self) -> list[dict[str, Any]]:
        """Return the applications as members."""
        return [member_of(peer.options) for peer in self.peers]

    def wire(self) -> dict[str, int]:
        """Return the counts of the connections between the swarm and the measured process."""
        ports = {self.wire_port} if self.wire_port else {p.options.port for p in self.peers}
        count = count_wire(ports)
        return count._asdict() | {"wire_bytes": count.wire_bytes}


class SwarmHandler(RequestHandler):
    """``GET /members`` and ``GET /wire``."""

    def initialize(self, swarm: Swarm) -> None:
        self.swarm = swarm

    def get(self, what: str) -> None:
        if what == "wire":
            self.finish(self.swarm.wire())
        else:
            self.finish({"members": self.swarm.members()})


def build(options: Options) -> Peer:
    """Return the application of the role."""
    return AgentApplication(options) if options.role == "agent" else EntryApplication(options)


def member_of(options: Options) -> dict[str, Any]:
    """Return the application as the member list names it."""
    return {
        "name": options.name,
        "incarnation": "1",
        "role": options.role,
        "service": options.service,
        "region": options.region,
        "zone": options.zone,
        "host": options.host,
        "port": options.port,
        "bulk_port": options.bulk_port,
        "leaving": False,
    }


async def run(settings: list[dict[str, Any]], wire_port: int) -> None:
    """Start the swarm and serve its counts."""
    LOGGER.disabled = True
    swarm = Swarm([Options(**one) for one in settings], wire_port)
    await swarm.start()
    await serve(Application([("/(wire|members)", SwarmHandler, {"swarm": swarm})]), 0)


@click.command()
@click.option("--count", default=1)
@click.option("--settings", required=True, help="Settings of each application as JSON.")
@click.option("--wire-port", default=0, help="Port of the measured process, if it listens.")
def main(count: int, settings: str, wire_port: int) -> None:
    """Run the swarm as a process."""
    common: dict[str, Any] = json.loads(settings)
    service = common.get("service") or common["role"]
    names = [f"{service}/{common['zone']}/{number}" for number in range(count)]
    asyncio.run(run([common | {"name": name} for name in names], wire_port))


if __name__ == "__main__":
    main()
