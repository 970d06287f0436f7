"""Builders of an entry's parts without any network: board, admission, requests."""

import time
from typing import Any

from gypsumpier.fleet.state import FleetState
from gypsumpier.gateway.admission import Admission
from gypsumpier.gateway.intake import Intake
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.piece.switchschedule import SwitchSchedule
from gypsumpier.platform.settings import Reader, node_settings
from gypsumpier.test.builders_platform import (
    BOUNDS,
    ZONE,
    beliefs_of,
    caller_head_of,
    configuration_record,
    engine_record,
    settings_body,
)
from gypsumpier.upstream.selector import UpstreamSelector


def board_of(beliefs: FleetState, zone: str = ZONE) -> UpstreamSelector:
    """Return the board of an entry of that zone."""
    return UpstreamSelector(beliefs, zone, SwitchSchedule(beliefs, BOUNDS.version_in_force_s))


def engines(count: int, **fields: Any) -> FleetState:
    """Return beliefs in a configuration and so many engines, ``i-1`` and on."""
    records = [engine_record(number, 1 + number, **fields) for number in range(1, count + 1)]
    return beliefs_of(configuration_record(), *records)


def admission_of(beliefs: FleetState) -> Admission:
    """Return an admission over these beliefs, without a version that is due."""
    return Admission(beliefs, board_of(beliefs), lambda service: 0)


def request_of(beliefs: FleetState, age_s: float = 0.0, **fields: Any) -> GatewayRequest:
    """Return a request to the engines that arrived ``age_s`` seconds ago."""
    intake = Intake(node_settings(Reader(settings_body())), beliefs)
    return intake.request(caller_head_of(**fields), b"{}", time.monotonic() - age_s)
