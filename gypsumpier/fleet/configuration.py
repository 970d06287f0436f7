"""A version of the configuration, and the choice of a request's route in it."""

from functools import cached_property
from typing import NamedTuple

from gypsumpier.fleet.regions import AllowedRegions
from gypsumpier.fleet.route import Route
from gypsumpier.fleet.service import Origin, Service


class Workspace(NamedTuple):
    """The owner of API keys.  Its ``priority``, where set, overrides the route's.

    Lower values are served first.  Upstreams outside ``allowed_regions`` get none of its requests.
    """

    name: str
    priority: int | None
    allowed_regions: AllowedRegions = None


class CallerLimits(NamedTuple):
    """Limits on callers' connections and requests; sizes in bytes, times in seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class FleetConfiguration:
    """One version of routes, services and keys.

    ``workspaces_by_key`` is None where the deployment has no keys.
    """

    def __init__(
        self,
        version: int,
        routes: list[Route],
        services: dict[str, Service],
        workspaces_by_key: dict[str, Workspace] | None,
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        self.workspaces_by_key = workspaces_by_key
        self.limits = limits
        self.routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda found: len(found.prefix), reverse=True):
            self.routes_by_host.setdefault(route.host.lower(), []).append(route)

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching prefix of the path, or None."""
        name = host.lower()
        routes = self.routes_by_host.get(name) or self.routes_by_host.get(without_port(name), [])
        return next((route for route in routes if path.startswith(route.prefix)), None)

    def route_named(self, name: str) -> Route | None:
        """Return the route of that name; None where there is none."""
        return next((route for route in self.routes if route.name == name), None)

    @cached_property
    def workspaces_by_name(self) -> dict[str, Workspace]:
        """The workspaces that have a key, by name."""
        workspaces = (self.workspaces_by_key or {}).values()
        return {workspace.name: workspace for workspace in workspaces}

    def origin(self) -> Origin | None:
        """Return the origin of weights; None where the deployment has none."""
        return next((found.origin for found in self.services.values() if found.origin), None)

    def service_of_model(self, model: str) -> Service | None:
        """Return the service whose engines serve the model; None where there is none."""
        for service in self.services.values():
            if service.model is not None and model in service.model.models:
                return service
        return None


def without_port(host: str) -> str:
    """Return the host without a port number."""
    return host.rsplit(":", 1)[0] if ":" in host else host
