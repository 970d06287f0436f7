"""Builders of an entry's parts without a network: upstream selector, admission, requests."""

import time
from typing import Any

from gypsumpier.fleet.state import FleetState
from gypsumpier.gateway.admission import Admission
from gypsumpier.gateway.intake import Intake
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.piece.turns import SwitchSchedule
from gypsumpier.platform.settings import Reader, node_settings
from gypsumpier.ratelimit.demand import DemandShares
from gypsumpier.test.builders_platform import (
    BOUNDS,
    ZONE,
    caller_head_of,
    configuration_record,
    engine_record,
    fleet_state_of,
    settings_body,
)
from gypsumpier.upstream.selector import UpstreamSelector


def selector_of(fleet_state: FleetState, zone: str = ZONE) -> UpstreamSelector:
    """Return the upstream selector of an entry in the zone."""
    return UpstreamSelector(
        fleet_state, zone, SwitchSchedule(fleet_state, BOUNDS.version_in_force_s)
    )


def demand_of(mesh: Any) -> DemandShares:
    """Return the demand at an entry that gets no requests, in a deployment of its zone alone."""
    return DemandShares(mesh, frozenset(), lambda service: 0.0)


def engines(count: int, **fields: Any) -> FleetState:
    """Return a fleet state with a configuration and ``count`` engines, named from ``i-1`` on."""
    records = [engine_record(number, 1 + number, **fields) for number in range(1, count + 1)]
    return fleet_state_of(configuration_record(), *records)


def engines_in(zones: tuple[str, ...], count: int, **fields: Any) -> FleetState:
    """Return a fleet state with a configuration and engines by turns in each of the zones."""
    records = [
        engine_record(number, 1 + number, zone=zones[(number - 1) % len(zones)], **fields)
        for number in range(1, count + 1)
    ]
    return fleet_state_of(configuration_record(), *records)


def admission_of(fleet_state: FleetState, selector: UpstreamSelector | None = None) -> Admission:
    """Return the admission of an entry with this fleet state; no version is required yet."""
    return Admission(fleet_state, selector or selector_of(fleet_state), lambda service: 0)


def request_of(fleet_state: FleetState, age_s: float = 0.0, **fields: Any) -> GatewayRequest:
    """Return a request to the engines that was received ``age_s`` seconds ago."""
    intake = Intake(node_settings(Reader(settings_body())), fleet_state)
    return intake.request(caller_head_of(**fields), b"{}", time.monotonic() - age_s)
