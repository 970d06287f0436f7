"""What a request requires of its upstream."""

from typing import NamedTuple

from gypsumpier.fleet.regions import AllowedRegions


class Needs(NamedTuple):
    """The service of a request, the oldest version of its weights and the allowed regions.

    ``regions`` is None where any region is allowed.  Requests with equal needs have the same
    candidates.
    """

    service: str
    least_version: int = 0
    regions: AllowedRegions = None
