"""Keeps requests from upstreams outside their regions."""

from gypsumpier.eligibility.needs import Needs
from gypsumpier.eligibility.obstacle import Obstacle, Reason
from gypsumpier.fleet.regions import AllowedRegions
from gypsumpier.fleet.upstream import UpstreamRecord


class RegionConstraint:
    """An upstream must be in one of the request's regions.

    One in a zone that ``regions_by_zone`` does not list is in no known region.
    """

    def __init__(self, regions_by_zone: dict[str, str]) -> None:
        self.regions_by_zone = regions_by_zone

    def region(self, record: UpstreamRecord) -> str:
        """Return the region of the upstream; empty if it is not known."""
        return self.regions_by_zone.get(record.zone, "")

    def allows(self, record: UpstreamRecord, regions: AllowedRegions) -> bool:
        """Return whether the upstream is in one of the regions."""
        return regions is None or self.region(record) in regions

    def outside(
        self, records: list[UpstreamRecord], regions: frozenset[str]
    ) -> list[UpstreamRecord]:
        """Return the upstreams that are in none of the regions."""
        if not regions:
            return records
        return [record for record in records if self.region(record) not in regions]

    def obstacle(self, record: UpstreamRecord, needs: Needs) -> Obstacle | None:
        return None if self.allows(record, needs.regions) else Obstacle(Reason.REGION)
