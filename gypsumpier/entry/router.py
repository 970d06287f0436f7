"""The choice of version and upstream for one request.

The version is picked by a stable hash of the workspace and the request's key, so that a repeated
request gets the same version while the split is unchanged.  Only upstreams whose engine reports
exactly that version as live are candidates; the entry's own availability zone is preferred.
"""

from random import Random
from typing import NamedTuple

from blake3 import blake3

from gypsumpier.document.service import ServiceDocument, VersionShare
from gypsumpier.entry.affinity import choose_by_load, choose_by_prefix
from gypsumpier.entry.link import Link
from gypsumpier.entry.request import CallerRequest


class Choice(NamedTuple):
    """An upstream and the version that must answer, which is empty for a plain service."""

    link: Link
    version: str
    reason: str


def choose(
    request: CallerRequest,
    document: ServiceDocument,
    links: list[Link],
    zone: str,
    random: Random,
) -> Choice | None:
    """Return the choice for the request, or None if no upstream is usable for it."""
    usable = [link for link in links if link.is_usable()]
    version = ""
    if document.kind == "model":
        version = pick_version(request, document, usable)
        usable = [link for link in usable if link.serves(document.model, version)]
    if not usable:
        return None
    candidates, reason = prefer_own_zone(usable, zone, document.limits.in_flight_per_upstream)
    if request.prefix:
        link = choose_by_prefix(candidates, name_of, Link.load, request.prefix)
        return Choice(link, version, f"prefix, {reason}")
    return Choice(choose_by_load(candidates, Link.load, random), version, f"load, {reason}")


def prefer_own_zone(links: list[Link], zone: str, limit: int) -> tuple[list[Link], str]:
    """Return the candidates and the reason: upstreams below ``limit`` in the own zone.

    Without any, those below the limit in any zone; if all are full, all of the own zone, or of any
    zone where the own zone has none.
    """
    own_zone = [link for link in links if link.member.zone == zone]
    with_capacity = [link for link in own_zone if link.load() < limit]
    if with_capacity:
        return with_capacity, "own zone"
    other_with_capacity = [link for link in links if link.load() < limit]
    return other_with_capacity or own_zone or links, (
        "own zone is full" if own_zone else "no upstream in own zone"
    )


def name_of(link: Link) -> str:
    """Return the name by which an upstream is ranked."""
    return link.member.name


def pick_version(request: CallerRequest, document: ServiceDocument, links: list[Link]) -> str:
    """Return the version by the document's split among the versions that are live anywhere.

    While a new version is not live yet, an older one that is still live keeps the service
    available.
    """
    live = [share for share in document.versions if is_live(document.model, share, links)]
    if live:
        return version_by_share(live, request)
    other = [model for link in links for model in link.live if model.model == document.model]
    return max((model.version for model in other), default=document.versions[0].version)


def is_live(model: str, share: VersionShare, links: list[Link]) -> bool:
    """Return whether the version has a share and any upstream reports it as live."""
    return share.share_percent > 0 and any(link.serves(model, share.version) for link in links)


def version_by_share(shares: list[VersionShare], request: CallerRequest) -> str:
    """Return the version to which the request's hash maps."""
    total = sum(share.share_percent for share in shares)
    text = f"{request.workspace}\0{request.key or request.request_id}"
    digest = blake3(text.encode()).digest(length=8)
    point = int.from_bytes(digest) % total
    for share in shares:
        point -= share.share_percent
        if point < 0:
            return share.version
    return shares[-1].version
