"""Tells requests that only evacuated zones could serve from those that nothing can serve."""

from typing import Final

from gypsumpier.eligibility.needs import Needs
from gypsumpier.eligibility.obstacle import Reason
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.upstream.selector import UpstreamSelector

EVACUATED_WAIT_S: Final = 1.0
"""Shortest Retry-After, in seconds before jitter, of a request that only evacuated zones could
serve.  The end of an evacuation is not known, but operators end none within a second."""


def could_evacuated_serve(selector: UpstreamSelector, needs: Needs) -> bool:
    """Return whether an upstream of an evacuated zone could serve if the evacuation ended.

    An engine that is switching its weights could serve soon.
    """
    zones = selector.fleet_state.evacuations.zones
    if not zones:
        return False
    return any(
        record.service == needs.service
        and record.zone in zones
        and selector.regions.allows(record, needs.regions)
        and (is_only_evacuated(selector, record, needs) or selector.is_switching(record))
        for record in selector.fleet_state.upstreams.values()
    )


def is_only_evacuated(selector: UpstreamSelector, record: UpstreamRecord, needs: Needs) -> bool:
    """Return whether nothing but the evacuation excludes the upstream.

    The selector asks for evacuations last, after all other standing constraints.
    """
    obstacle = selector.eligibility.standing_obstacle(record, needs)
    return obstacle is not None and obstacle.reason is Reason.EVACUATED
