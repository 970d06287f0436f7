"""Starts a whole deployment as processes: stand-ins, agents and entries.

The platform's stand-ins start first.  Each agent and each entry is put on the member list once its
ports are known, as the platform would do.
"""

import asyncio
import json
from pathlib import Path
from typing import Any, Final

from misc.child import Child
from misc.deployment import Deployment, Slot
from misc.fleet import Flag, Fleet
from misc.http import get_json, get_status, post_json

READY_POLL_S: Final = 0.1


class Testbed:
    """A deployment whose processes run in a fleet.

    ``settings`` are passed to every daemon, ``engine_flags`` to every engine and ``store_flags`` to
    the store and the origin.
    """

    def __init__(
        self,
        fleet: Fleet,
        deployment: Deployment,
        weights: Path,
        settings: dict[str, Flag] | None = None,
        engine_flags: dict[str, Flag] | None = None,
        store_flags: dict[str, Flag] | None = None,
    ) -> None:
        self.fleet = fleet
        self.deployment = deployment
        self.weights = weights
        self.settings = settings or {}
        self.engine_flags = engine_flags or {}
        self.store_flags = store_flags or {}
        self.upstreams: dict[str, Child] = {}
        self.agents: dict[str, Child] = {}
        self.entries: dict[str, Child] = {}
        self.urls: dict[str, str] = {}

    async def start(self) -> None:
        """Start everything."""
        await self.start_platform()
        await asyncio.gather(*(self.start_slot(slot) for slot in self.deployment.slots()))
        await asyncio.gather(*(self.start_entry(name) for name in self.deployment.entry_names()))

    async def start_platform(self) -> None:
        """Start the configuration service, the member list, the store and the origin."""
        flags: dict[str, Flag] = {"directory": self.weights, **self.store_flags}
        configuration, membership, store, origin = await asyncio.gather(
            self.fleet.start_standin("configuration", "configuration"),
            self.fleet.start_standin("membership", "membership"),
            self.fleet.start_standin("store", "store", **flags),
            self.fleet.start_standin("store", "origin", **flags),
        )
        self.urls = {
            "configuration_url": local_url(configuration.port),
            "membership_url": local_url(membership.port),
            "store_url": local_url(store.port),
            "origin_url": local_url(origin.port),
        }

    async def start_slot(self, slot: Slot) -> None:
        """Start an upstream and the agent beside it."""
        await self.start_upstream(slot)
        await self.start_agent(slot)

    async def start_upstream(self, slot: Slot) -> None:
        """Start the engine or the plain service of a slot; a restart reuses the earlier port."""
        name = f"upstream/{slot.name}"
        earlier = self.upstreams.get(slot.name)
        flags: dict[str, Flag] = {"port": earlier.port if earlier else 0}
        if slot.kind == "model":
            child = await self.fleet.start_standin("engine", name, **flags, **self.engine_flags)
        else:
            child = await self.fleet.start_standin("service", name, **flags)
        self.upstreams[slot.name] = child

    async def start_agent(self, slot: Slot) -> None:
        """Start the agent of a slot and put it on the member list."""
        place = slot.place
        self.agents[slot.name] = child = await self.fleet.start_daemon(
            slot.name,
            role="agent",
            region=place.region,
            zone=place.zone,
            service=slot.service,
            upstream_kind=slot.kind,
            upstream_url=self.upstream_url(slot),
            region_link_bytes_per_s=self.deployment.region_link_bytes_per_s,
            **self.urls,
            **self.settings,
        )
        await self.register_member(child, slot.service, place.region, place.zone)

    def upstream_url(self, slot: Slot) -> str:
        """Return the URL of the slot's upstream."""
        return local_url(self.upstreams[slot.name].port)

    async def start_entry(self, name: str) -> None:
        """Start an entry and put it on the member list."""
        self.entries[name] = await self.new_entry(name)

    async def replace_entry(self, name: str) -> None:
        """Restart an entry; callers are routed to it only once it is ready."""
        child = await self.new_entry(name)
        while await get_status(f"{administration_url(child)}/readyz") != 200:
            await asyncio.sleep(READY_POLL_S)
        self.entries[name] = child

    async def new_entry(self, name: str) -> Child:
        """Start an entry's process and put it on the member list."""
        place = self.deployment.place(name.split("/")[1])
        child = await self.fleet.start_daemon(
            name,
            role="entry",
            region=place.region,
            zone=place.zone,
            configuration_url=self.urls["configuration_url"],
            membership_url=self.urls["membership_url"],
            region_link_bytes_per_s=self.deployment.region_link_bytes_per_s,
            **self.settings,
        )
        await self.register_member(child, "", place.region, place.zone)
        return child

    async def register_member(self, child: Child, service: str, region: str, zone: str) -> None:
        """Put a process on the member list."""
        status = await get_json(f"{administration_url(child)}/v1/status")
        member = {
            "name": child.name,
            "incarnation": status["incarnation"],
            "role": status["role"],
            "service": service,
            "region": region,
            "zone": zone,
            "host": "127.0.0.1",
            "port": child.ports["port"],
            "bulk_port": child.ports["bulk_port"],
            "leaving": False,
        }
        await post_json(f"{self.urls['membership_url']}/control/put", member)

    async def publish(self, document: dict[str, Any]) -> int:
        """Put a document at the configuration service; return its revision."""
        body = {"name": document["service"], "body": json.dumps(document)}
        url = f"{self.urls['configuration_url']}/control/put"
        return int((await post_json(url, body))["revision"])

    def standin_url(self, name: str) -> str:
        """Return the URL of the platform's stand-in whose process has the name."""
        return local_url(self.fleet.children[name].port)

    def balanced_url(self, name: str) -> str:
        """Return the URL of the entry or, if it isn't running, of the next one that is.

        A load balancer would choose likewise.
        """
        names = list(self.entries)
        first = names.index(name)
        running = [n for n in names[first:] + names[:first] if self.entries[n].running]
        return local_url(self.entries[running[0]].ports["http_port"])

    def entry_urls(self) -> list[str]:
        """Return the URL of each entry's port for callers."""
        return [local_url(child.ports["http_port"]) for child in self.entries.values()]


def local_url(port: int) -> str:
    """Return the URL of a port on this machine."""
    return f"http://127.0.0.1:{port}"


def administration_url(child: Child) -> str:
    """Return the administration URL of a daemon."""
    return local_url(child.ports["administration_port"])
