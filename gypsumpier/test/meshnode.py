"""A process's mesh over loopback connections, for tests."""

import asyncio
from typing import Any, Final

from tornado.netutil import bind_sockets

from gypsumpier.fleet.node import Address
from gypsumpier.mesh.mesh import ENTRY, Mesh
from gypsumpier.mesh.peer import Peer
from gypsumpier.wire.tcp import TcpDialer, TcpListener

SETTLE_TIMEOUT_S: Final = 5.0


class Node:
    """One process's mesh and, for an entry, its listening sockets."""

    def __init__(self, name: str, zone: str, role: str = ENTRY) -> None:
        self.sockets = bind_sockets(0, "127.0.0.1") if role == ENTRY else []
        port = self.sockets[0].getsockname()[1] if self.sockets else 0
        own = Peer(name, role, zone, zone, "127.0.0.1", port, "run")
        self.mesh = Mesh(own, (), TcpDialer())
        self.listener = TcpListener(self.mesh.accept)

    def start(self, *seeds: "Node") -> None:
        """Listen and dial the seeds."""
        self.listener.add_sockets(self.sockets)
        self.mesh.seeds = tuple(Address(node.mesh.own.host, node.mesh.own.port) for node in seeds)
        self.mesh.start()

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self.listener.stop()
        await self.mesh.stop()

    def names(self, role: str = ENTRY) -> list[str]:
        """Return the names of the connected peers of a role."""
        return [peer.name for peer in self.mesh.peers(role)]


async def wait_until(condition: Any) -> None:
    """Wait until the condition holds."""
    async with asyncio.timeout(SETTLE_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)
