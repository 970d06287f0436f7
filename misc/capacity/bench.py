"""Starts the stand-ins and peers around one measured process."""

import json
from typing import Any, Final

from misc.child import Child
from misc.fleet import Fleet
from misc.http import get_json, post_json

ZONE: Final = "zone-a"
REGION: Final = "region-a"
SERVICE: Final = "plain"
INCARNATION: Final = "1"
IDLE_INTERVAL_S: Final = 3600.0


class Bench:
    """The platform's stand-ins, and the settings with which processes find them."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.settings: dict[str, Any] = {}
        self.membership_url = ""
        self.configuration_url = ""
        self.service_url = ""
        self.platform_ports: frozenset[int] = frozenset()

    async def start(self) -> None:
        """Start the stand-ins and publish one document."""
        configuration = await self.fleet.start_standin("configuration", "configuration")
        membership = await self.fleet.start_standin("membership", "membership")
        service = await self.fleet.start_standin("service", "service")
        self.configuration_url = url_of(configuration)
        self.membership_url = url_of(membership)
        self.service_url = url_of(service)
        self.platform_ports = frozenset((configuration.port, membership.port, service.port))
        self.settings = {
            "incarnation": INCARNATION,
            "region": REGION,
            "zone": ZONE,
            "configuration_url": self.configuration_url,
            "membership_url": self.membership_url,
            "log_level": "WARNING",
        }

    async def start_entry(self, name: str, **settings: Any) -> Child:
        """Start one entry process and put it on the member list."""
        settings = self.settings | settings
        child = await self.fleet.start_daemon(name, role="entry", **settings)
        place = {"region": settings["region"], "zone": settings["zone"]}
        await self.list_members([self.member(child, "entry", "") | place])
        return child

    async def start_agent(self, name: str, **settings: Any) -> Child:
        """Start one agent process for the plain service, without listing it."""
        return await self.fleet.start_daemon(
            name,
            role="agent",
            service=SERVICE,
            upstream_kind="plain",
            upstream_url=self.service_url,
            **self.settings,
            **settings,
        )

    async def start_swarm(self, role: str, count: int) -> Child:
        """Start many peers in one process and put them on the member list.

        The peers poll the platform rarely, because their own cost is not measured.
        """
        settings = self.settings | {"role": role, "engine_poll_s": IDLE_INTERVAL_S}
        if role == "agent":
            settings |= {
                "service": SERVICE,
                "upstream_kind": "plain",
                "upstream_url": self.service_url,
                "membership_interval_s": IDLE_INTERVAL_S,
            }
        arguments = ["--count", str(count), "--settings", json.dumps(settings)]
        swarm = await self.fleet.start("swarm", "misc.capacity.swarm", arguments)
        listed = await get_json(f"{url_of(swarm)}/members")
        await self.list_members(listed["members"])
        return swarm

    def member(self, child: Child, role: str, service: str) -> dict[str, Any]:
        """Return the member-list record of a process."""
        return {
            "name": child.name,
            "incarnation": INCARNATION,
            "role": role,
            "service": service,
            "region": REGION,
            "zone": ZONE,
            "host": "127.0.0.1",
            "port": child.ports["port"],
            "bulk_port": child.ports["bulk_port"],
            "leaving": False,
        }

    async def list_members(self, members: list[dict[str, Any]]) -> None:
        """Put members on the member list."""
        await post_json(f"{self.membership_url}/control/put", {"members": members})

    async def publish(self, document: dict[str, Any]) -> None:
        """Publish a document to the configuration service."""
        body = {"name": document["service"], "body": json.dumps(document)}
        await post_json(f"{self.configuration_url}/control/put", body)


def url_of(child: Child) -> str:
    """Return the URL of a stand-in."""
    return f"http://127.0.0.1:{child.port}"
