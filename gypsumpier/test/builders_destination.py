"""Builders of the explanation of destinations, without a network."""

from collections.abc import Callable
from typing import Any, Final

from gypsumpier.fleet.state import FleetState
from gypsumpier.gateway.admission import Admission
from gypsumpier.gateway.crashes import CrashTracker
from gypsumpier.gateway.destination import Destinations
from gypsumpier.gateway.destinationquery import DestinationQuery
from gypsumpier.gateway.intake import Intake
from gypsumpier.mesh.mesh import ENTRY
from gypsumpier.mesh.peer import Peer
from gypsumpier.platform.settings import Reader, node_settings
from gypsumpier.stopschedule import StopSchedule
from gypsumpier.test.builders_platform import ZONE, settings_body
from gypsumpier.test.builders_regions import regional_admission
from gypsumpier.test.fakes_mesh import RecordingMesh

REPORTS: Final = DestinationQuery("lab.example", "/reports/2f", "", "lab", "", (), 0, 0)
"""A request to the engines."""


def crash_tracker() -> CrashTracker:
    """Return the crash tracker of an entry without peers."""
    mesh: Any = RecordingMesh(Peer("front-bac-a-1", ENTRY, ZONE, "bac", "127.0.0.1", 1, "1"), [])
    return CrashTracker(mesh)


def destinations_of(
    fleet_state: FleetState,
    admission: Admission | None = None,
    stop_schedule: Callable[[], StopSchedule | None] = lambda: None,
) -> Destinations:
    """Return the explanation of an entry with this fleet state that knows the regions."""
    intake = Intake(node_settings(Reader(settings_body())), fleet_state)
    admission = admission or regional_admission(fleet_state)
    return Destinations(intake, admission, crash_tracker(), stop_schedule)
