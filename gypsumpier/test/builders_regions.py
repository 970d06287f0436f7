"""Builders of configurations that limit requests to regions, and of entries that know zones."""

from typing import Any, Final

from gypsumpier.fleet.record import Record
from gypsumpier.fleet.state import FleetState
from gypsumpier.gateway.admission import Admission
from gypsumpier.test.builders_gateway import admission_of, selector_of
from gypsumpier.test.builders_platform import (
    KEY,
    command_route_body,
    configuration_record,
    engine_record,
    fleet_state_of,
    route_body,
)

REGIONS_BY_ZONE: Final = {"bac-a": "bac", "bac-b": "bac", "nam-a": "nam", "sud-a": "sud"}
OPEN_PREFIX: Final = "/open/"
"""Prefix of a route to the engines without regions."""


def regional_configuration(
    route: list[str] | None = None,
    tenant: list[str] | None = None,
    version: int = 1,
    revision: int = 1,
    **route_fields: Any,
) -> Record:
    """Return a configuration whose route and tenant allow these regions; None for any."""
    limits: dict[str, Any] = {} if route is None else {"allowed_regions": route}
    routes = [
        route_body(**route_fields, **limits),
        route_body("open", prefix=OPEN_PREFIX, **route_fields),
        command_route_body(**limits),
    ]
    owner: dict[str, Any] = {"name": "lab", "api_keys": [KEY]}
    if tenant is not None:
        owner["allowed_regions"] = tenant
    return configuration_record(revision, version=version, routes=routes, tenants=[owner])


def regional_engines(zones: list[str], **fields: Any) -> list[Record]:
    """Return the records of one engine in each of the zones, named from ``i-1`` on."""
    return [
        engine_record(number, 100 + number, zone=zone, **fields)
        for number, zone in enumerate(zones, 1)
    ]


def regional_fleet(
    zones: list[str], route: list[str] | None = None, tenant: list[str] | None = None
) -> FleetState:
    """Return a fleet state with one engine in each of the zones."""
    return fleet_state_of(regional_configuration(route, tenant), *regional_engines(zones))


def regional_admission(fleet_state: FleetState) -> Admission:
    """Return the admission of an entry that knows the regions of the zones."""
    selector = selector_of(fleet_state)
    selector.set_regions(REGIONS_BY_ZONE)
    return admission_of(fleet_state, selector)
