"""The field of a measurement: a deployment's processes, extra ones, and a document per service."""

import asyncio
from pathlib import Path
from typing import Any, Final

from misc.child import Child
from misc.deployment import Place, Slot, load_deployment
from misc.fleet import Flag, Fleet
from misc.http import get_json
from misc.samples import make_weights
from misc.testbed import Testbed, administration_url

DEPLOYMENT: Final = "rung-lab"
EXTRA_SERVICES: Final = 6
SEED: Final = 1


class Field:
    """The processes under test and the documents that are edited."""

    def __init__(self, fleet: Fleet, entries: int, agents: int, settings: dict[str, Flag]) -> None:
        deployment = load_deployment(DEPLOYMENT)
        weights = fleet.directory / "weights"
        for service in deployment.model_services():
            make_weights(weights, deployment.documents[service]["model"], SEED)
        self.fleet = fleet
        self.testbed = Testbed(fleet, deployment, weights, {"log_json": True, **settings})
        self.extra_entries = entries
        self.extra_agents = agents
        self.documents: dict[str, dict[str, Any]] = dict(deployment.documents)
        self.slots: dict[str, Slot] = {slot.name: slot for slot in deployment.slots()}

    async def start(self) -> None:
        """Start the deployment and the extra processes, then publish every document."""
        await self.testbed.start()
        shared = await self.fleet.start_standin("service", "upstream/shared")
        for number in range(self.extra_agents):
            slot = self.extra_slot(number)
            self.slots[slot.name] = slot
            self.testbed.upstreams[slot.name] = shared
            self.documents[slot.service] = plain_document(slot.service, self.places())
        extra = [slot for slot in self.slots.values() if slot.service.startswith("extra-")]
        await asyncio.gather(*(self.testbed.start_agent(slot) for slot in extra))
        await asyncio.gather(*(self.testbed.start_entry(name) for name in self.extra_entry_names()))
        for document in self.documents.values():
            await self.testbed.publish(document)

    def places(self) -> tuple[Place, ...]:
        """Return the zones of the deployment with their regions."""
        return self.testbed.deployment.places

    def extra_slot(self, number: int) -> Slot:
        """Return the slot of an extra agent."""
        place = self.places()[number % len(self.places())]
        service = f"extra-{number % EXTRA_SERVICES}"
        return Slot(f"{service}/{place.zone}/{number}", service, "plain", place)

    def extra_entry_names(self) -> list[str]:
        """Return the names of the extra entries."""
        zones = [place.zone for place in self.places()]
        return [f"entry/{zones[n % len(zones)]}/{100 + n}" for n in range(self.extra_entries)]

    def daemons(self) -> dict[str, Child]:
        """Return the entries and agents by name."""
        return {**self.testbed.entries, **self.testbed.agents}

    def keeps_document(self, name: str, document: str) -> bool:
        """Return whether the instance keeps the document."""
        return name in self.testbed.entries or self.slots[name].service == document

    async def watchers(self, zone: str) -> list[str]:
        """Return the zone's running entries that currently watch the configuration service."""
        found: list[str] = []
        for name, child in sorted(self.testbed.entries.items()):
            if name.split("/")[1] == zone and child.running:
                status = await get_json(f"{administration_url(child)}/v1/status")
                if status["details"]["spread"]["is_watcher"]:
                    found.append(name)
        return found

    async def restart(self, name: str) -> None:
        """Start a replacement for a killed process under its name."""
        if name in self.slots:
            await self.testbed.start_agent(self.slots[name])
        else:
            await self.testbed.start_entry(name)

    def log_paths(self) -> dict[str, Path]:
        """Return the path of each instance's log."""
        return {name: child.log_path for name, child in self.daemons().items()}


def plain_document(service: str, places: tuple[Place, ...]) -> dict[str, Any]:
    """Return the document of an extra service."""
    zones = [{"zone": place.zone, "replicas": 1} for place in places]
    workspaces = [
        {"name": f"team-{n}", "weight": 1, "home_zone": zones[0]["zone"]} for n in range(10)
    ]
    routes = [
        {"prefix": f"/v1/{word}", "methods": ["GET", "POST"], "idempotent": True, "priority": 5}
        for word in ("orders", "bookings", "faces", "runs")
    ]
    return {
        "service": service,
        "kind": "plain",
        "zones": zones,
        "routes": routes,
        "workspaces": workspaces,
    }
