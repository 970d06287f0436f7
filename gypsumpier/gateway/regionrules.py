"""Which regions a request may be served in, by every configuration that binds it."""

from collections.abc import Iterable

from gypsumpier.fleet.configuration import FleetConfiguration
from gypsumpier.fleet.regions import AllowedRegions, common_regions
from gypsumpier.fleet.state import FleetState
from gypsumpier.gateway.request import GatewayRequest


class RegionRules:
    """Looks up the regions of requests.

    A request is bound by the configuration under which it was admitted and by the one in force.
    ``later`` holds what the one in force allows requests that were admitted under an earlier one,
    by route, workspace and key.
    """

    def __init__(self, fleet_state: FleetState) -> None:
        self.fleet_state = fleet_state
        self.later: dict[tuple[str, str, str, str, str], AllowedRegions] = {}
        self.later_configuration: FleetConfiguration | None = None

    def regions(self, request: GatewayRequest) -> AllowedRegions:
        """Return the regions that the request may be served in now; None for any."""
        in_force = self.fleet_state.configuration
        if in_force is None or in_force is request.configuration:
            return request.regions
        return common_regions(request.regions, self.later_regions(in_force, request))

    def all_regions(self, requests: Iterable[GatewayRequest]) -> AllowedRegions:
        """Return the regions that at least one of the requests may be served in; None for any."""
        found: set[str] = set()
        for request in requests:
            regions = self.regions(request)
            if regions is None:
                return None
            found |= regions
        return frozenset(found)

    def later_regions(
        self, in_force: FleetConfiguration, request: GatewayRequest
    ) -> AllowedRegions:
        """Return the regions that a configuration allows a request admitted under another one."""
        if in_force is not self.later_configuration:
            self.later.clear()
            self.later_configuration = in_force
        head = request.head
        subject = (request.route.name, head.host, head.path, request.workspace_name, head.key)
        if subject not in self.later:
            self.later[subject] = regions_in(in_force, request)
        return self.later[subject]


def regions_in(configuration: FleetConfiguration, request: GatewayRequest) -> AllowedRegions:
    """Return the regions that a configuration allows the request.

    Its route and its workspace are those that the configuration would give it, or else those that
    have the names of the present ones.
    """
    head = request.head
    route = configuration.match(head.host, head.path) or configuration.route_named(
        request.route.name
    )
    allowed = route.allowed_regions if route else None
    if request.workspace is None and (route is None or route.is_public):
        return allowed
    workspace = (configuration.workspaces_by_key or {}).get(head.key)
    workspace = workspace or configuration.workspaces_by_name.get(request.workspace_name)
    return common_regions(allowed, workspace.allowed_regions if workspace else None)
