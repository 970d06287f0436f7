"""The regions in which upstreams may serve a request."""

AllowedRegions = frozenset[str] | None
"""Names of regions; None for any region."""


def common_regions(first: AllowedRegions, second: AllowedRegions) -> AllowedRegions:
    """Return the regions that both allow."""
    if first is None or second is None:
        return second if first is None else first
    return first & second
