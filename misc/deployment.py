"""A deployment read from JSON files: deployment.json and one document per service."""

import json
from pathlib import Path
from typing import Any, Final, NamedTuple

EXAMPLES: Final = Path(__file__).resolve().parent.parent / "examples"
BITS_PER_BYTE: Final = 8


class Place(NamedTuple):
    """An availability zone and its region."""

    region: str
    zone: str


class Slot(NamedTuple):
    """One planned upstream and its agent; ``name`` is the agent's name."""

    name: str
    service: str
    kind: str
    place: Place


class Deployment(NamedTuple):
    """The locations, entries and documents of one deployment."""

    name: str
    places: tuple[Place, ...]
    store_region: str
    region_link_bytes_per_s: int
    entries: dict[str, int]
    documents: dict[str, dict[str, Any]]

    def place(self, zone: str) -> Place:
        """Return the zone with its region; raise StopIteration if the deployment lacks it."""
        return next(place for place in self.places if place.zone == zone)

    def slots(self) -> list[Slot]:
        """Return one slot for each replica that the documents request."""
        return [slot for name in self.documents for slot in self.service_slots(name)]

    def service_slots(self, service: str) -> list[Slot]:
        """Return one slot for each requested replica of the service."""
        document = self.documents[service]
        return [
            Slot(f"{service}/{item['zone']}/{number}", service, document["kind"], place)
            for item in document["zones"]
            for place in [self.place(item["zone"])]
            for number in range(item["replicas"])
        ]

    def entry_names(self) -> list[str]:
        """Return the names of the entries."""
        return [f"entry/{zone}/{n}" for zone, count in self.entries.items() for n in range(count)]

    def model_services(self) -> list[str]:
        """Return the services whose upstreams are model engines."""
        return [name for name, body in self.documents.items() if body["kind"] == "model"]


def load_deployment(name: str) -> Deployment:
    """Read one of the example deployments."""
    directory = EXAMPLES / name
    content = json.loads((directory / "deployment.json").read_text())
    documents = [json.loads((directory / f).read_text()) for f in content["documents"]]
    return Deployment(
        name=name,
        places=tuple(Place(**item) for item in content["places"]),
        store_region=content["store_region"],
        region_link_bytes_per_s=content["region_link_bits_per_s"] // BITS_PER_BYTE,
        entries=content["entries"],
        documents={document["service"]: document for document in documents},
    )


def with_version(document: dict[str, Any], version: str) -> dict[str, Any]:
    """Return the document with all traffic on the version."""
    return {**document, "versions": [{"version": version, "share_percent": 100}]}
