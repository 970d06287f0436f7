"""The home slot of a key: a pure function of the document, never of a view of live instances."""

from hashlib import blake2b
from typing import Final

from gypsumpier.document.service import ServiceDocument
from gypsumpier.idempotency.key import KeyId

SCORE_BYTES: Final = 8


def home_slot(document: ServiceDocument, key_id: KeyId) -> str:
    """Return the name of the slot that runs the key, or an empty string if there is no slot."""
    zone = home_zone(document, key_id.workspace)
    slots = zone_slots(document, zone)
    return rendezvous_choice(slots, f"{key_id.workspace}\0{key_id.key}")


def home_zone(document: ServiceDocument, workspace: str) -> str:
    """Return the workspace's home zone.

    Rendezvous hashing chooses a zone if the workspace has no home zone with upstreams.
    """
    zones = [zone.zone for zone in document.zones if zone.replicas > 0]
    for policy in document.workspaces:
        if policy.name == workspace and policy.home_zone in zones:
            return policy.home_zone
    return rendezvous_choice(zones, workspace)


def zone_slots(document: ServiceDocument, zone: str) -> list[str]:
    """Return the names of the service's slots in the zone."""
    counts = [entry.replicas for entry in document.zones if entry.zone == zone]
    replicas = max(counts, default=0)
    return [f"{document.service}/{zone}/{number}" for number in range(replicas)]


def homes_signature(document: ServiceDocument) -> str:
    """Return a digest of everything that ``home_slot`` depends on."""
    zones = sorted((zone.zone, zone.replicas) for zone in document.zones)
    workspaces = sorted((policy.name, policy.home_zone) for policy in document.workspaces)
    return blake2b(repr((document.service, zones, workspaces)).encode()).hexdigest()


def rendezvous_choice(names: list[str], subject: str) -> str:
    """Return the name with the highest rendezvous score for the subject."""
    return max(names, key=lambda name: (score(name, subject), name), default="")


def score(name: str, subject: str) -> int:
    """Return the rendezvous score of the name for the subject."""
    digest = blake2b(f"{name}\0{subject}".encode(), digest_size=SCORE_BYTES)
    return int.from_bytes(digest.digest(), "big")
