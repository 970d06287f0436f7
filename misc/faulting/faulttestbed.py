"""A deployment whose entries reach each agent through a TCP proxy."""

import asyncio
from pathlib import Path

from misc.child import Child
from misc.deployment import Deployment, Slot
from misc.faulting.tcp_proxy import TcpProxy
from misc.fleet import Flag, Fleet
from misc.http import post_json
from misc.testbed import Testbed, local_url


class FaultTestbed(Testbed):
    """Adds a proxy before each agent, and the replacement of processes under their stable names."""

    def __init__(
        self, fleet: Fleet, deployment: Deployment, weights: Path, settings: dict[str, Flag]
    ) -> None:
        super().__init__(fleet, deployment, weights, settings)
        self.proxies: dict[str, TcpProxy] = {}
        self.slots = {slot.name: slot for slot in deployment.slots()}

    async def register_member(self, child: Child, service: str, region: str, zone: str) -> None:
        """Put a process on the member list; an agent is listed at the port of its proxy."""
        if service:
            proxy = TcpProxy(child.ports["port"])
            await proxy.start()
            self.proxies[child.name] = proxy
            child.ports["port"] = proxy.port
        await super().register_member(child, service, region, zone)

    async def control(self, platform: str, action: str, **body: object) -> None:
        """Set a fault of the member list or of the configuration service."""
        await post_json(f"{self.urls[platform + '_url']}/control/{action}", dict(body))

    async def replace_agent(self, name: str) -> None:
        """Start a new agent in the slot; the previous one must have ended."""
        await self.start_agent(self.slots[name])

    async def replace_entry(self, name: str) -> None:
        """Start a new entry under the same name."""
        await self.start_entry(name)

    async def replace_engine(self, slot: Slot) -> None:
        """Restart an ended engine on its earlier port."""
        port = self.upstreams[slot.name].port
        name = f"upstream/{slot.name}"
        self.upstreams[slot.name] = await self.fleet.start_standin("engine", name, port=port)

    async def delay_services(self, delay_s: float) -> None:
        """Set how many seconds each call of a plain service takes."""
        names = [slot.name for slot in self.slots.values() if slot.kind == "plain"]
        urls = [f"{local_url(self.upstreams[name].port)}/control/delay" for name in names]
        await asyncio.gather(*(post_json(url, {"delay_s": delay_s}) for url in urls))
