"""A process that follows the stand-in of the platform's store, without the rest of its program."""

from gypsumpier.fleet.node import Address
from gypsumpier.fleet.state import FleetState
from gypsumpier.fleet.watcher import StoreWatcher
from gypsumpier.mesh.feed import FleetStateFeed
from gypsumpier.platform.store import PlatformStore
from gypsumpier.test.builders_platform import ZONE
from gypsumpier.test.meshnode import Node
from gypsumpier.test.standin.platform import PlatformStandin


class StoreFollower:
    """One process that follows the store: its mesh, fleet state, feed and watcher."""

    def __init__(self, name: str, role: str, store: PlatformStandin, zone: str = ZONE) -> None:
        self.node = Node(name, zone, role)
        self.source = PlatformStore(Address("127.0.0.1", store.port))
        self.state = FleetState(self.source)
        self.feed = FleetStateFeed(self.node.mesh, self.state)
        self.watcher = StoreWatcher(self.source, self.state, self.feed)

    @property
    def configuration_version(self) -> int:
        """The version of the configuration in force; 0 without one."""
        return self.state.configuration.version if self.state.configuration else 0

    async def stop(self) -> None:
        """Stop reading and close all connections."""
        await self.watcher.stop()
        await self.node.stop()
