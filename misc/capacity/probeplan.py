"""Number of links that an entry plans in a fleet of the target size, by number of services."""

from typing import Final

from gypsumpier.document.validator import parse
from gypsumpier.entry.linkplan import plan_links
from gypsumpier.external.membership import Member
from gypsumpier.options import Options
from gypsumpier.test.builders_document import document_body
from misc.capacity import target

ENTRIES_PER_ZONE: Final = round(target.ENTRIES_PER_ZONE)


async def probe_plan(size: int, url: str) -> dict[str, float]:
    """Distribute that many services evenly over all workers and zones; return an entry's links."""
    services = [f"service-{number}" for number in range(size)]
    zones = [f"zone-{number}" for number in range(target.ZONES)]
    members = [
        member(f"entry/{zone}/{number}", "entry", zone, "")
        for zone in zones
        for number in range(ENTRIES_PER_ZONE)
    ]
    for number in range(target.WORKERS):
        zone, service = zones[number % len(zones)], services[number // len(zones) % size]
        members.append(member(f"{service}/{zone}/{number}", "agent", zone, service))
    documents = {service: parse(document_body(service=service)) for service in services}
    options = Options(name=f"entry/{zones[0]}/0", zone=zones[0])
    return {"links": len(plan_links(options, members, documents))}


def member(name: str, role: str, zone: str, service: str) -> Member:
    """Return a member with placeholder addresses."""
    return Member(name, "1", role, service, "region", zone, "10.0.0.1", 1, 2, False)
