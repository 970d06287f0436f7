"""A schedule of faults on real processes, with the time window of each fault per instance."""

import asyncio
import time
from typing import Final, NamedTuple

from misc.documents.field import Field
from misc.http import post_json

EVERY_PLACE: Final = "*"
OUTAGE_DURATION_S: Final = 15.0
FREEZE_DURATION_S: Final = 8.0
STALE_DURATION_S: Final = 8.0
RESTART_DELAY_S: Final = 5.0
PAUSE_BETWEEN_S: Final = 6.0


class Window(NamedTuple):
    """A fault and its begin and end in wall-clock time.

    ``place`` is the name of the affected instance, EVERY_PLACE for all, or empty for none.
    """

    fault: str
    place: str
    begin_s: float
    end_s: float


class Faults:
    """Injects the faults one after another and records their windows."""

    def __init__(self, field: Field) -> None:
        self.field = field
        self.windows: list[Window] = []

    async def run(self) -> None:
        """Inject all faults in sequence."""
        zones = [place.zone for place in self.field.places()]
        await self.service_down()
        await asyncio.sleep(PAUSE_BETWEEN_S)
        await self.freeze_watchers(zones[0])
        await asyncio.sleep(PAUSE_BETWEEN_S)
        await self.restart_while_stale(zones[1])
        await asyncio.sleep(PAUSE_BETWEEN_S)
        await self.kill_watchers(zones[2])
        await asyncio.sleep(PAUSE_BETWEEN_S)

    async def control(self, action: str, body: dict[str, object]) -> None:
        """Set or clear a fault of the configuration service's stand-in."""
        url = self.field.testbed.urls["configuration_url"]
        await post_json(f"{url}/control/{action}", body)

    async def service_down(self) -> None:
        """Make the configuration service unavailable for OUTAGE_DURATION_S."""
        begin_s = time.time()
        await self.control("down", {"on": True})
        await asyncio.sleep(OUTAGE_DURATION_S)
        await self.control("down", {"on": False})
        self.record_fault("service_down", EVERY_PLACE, begin_s)

    async def freeze_watchers(self, zone: str) -> None:
        """Pause all watchers of a zone and resume them after FREEZE_DURATION_S."""
        names = await self.field.watchers(zone)
        begin_s = time.time()
        for name in names:
            self.field.fleet.freeze(name)
        await asyncio.sleep(FREEZE_DURATION_S)
        for name in names:
            self.field.fleet.thaw(name)
            self.record_fault("frozen_watcher", name, begin_s)
        # The zone's other instances receive changes again once they detect the missing watchers.
        self.record_zone_fault("frozen_watchers_zone", zone, begin_s, names)

    async def restart_while_stale(self, zone: str) -> None:
        """Replace instances while the configuration service answers with an old state."""
        names = (await self.field.watchers(zone))[:1] + self.agents_in(zone)[:2]
        begin_s = time.time()
        await self.control("stale", {"position": 0})
        await self.replace(names, 0.0, "replaced_while_stale")
        await asyncio.sleep(STALE_DURATION_S)
        await self.control("stale", {"position": None})
        self.record_fault("service_stale", EVERY_PLACE, begin_s)

    async def kill_watchers(self, zone: str) -> None:
        """Kill all watchers of a zone and replace them after RESTART_DELAY_S."""
        names = await self.field.watchers(zone)
        begin_s = time.time()
        await self.replace(names, RESTART_DELAY_S, "killed_watcher")
        self.record_zone_fault("killed_watchers_zone", zone, begin_s, names)

    async def replace(self, names: list[str], restart_delay_s: float, fault: str) -> None:
        """Kill instances and start their replacements after ``restart_delay_s`` seconds."""
        begin_s = time.time()
        for name in names:
            await self.field.fleet.kill(name)
        await asyncio.sleep(restart_delay_s)
        await asyncio.gather(*(self.field.restart(name) for name in names))
        for name in names:
            self.record_fault(fault, name, begin_s)

    def agents_in(self, zone: str) -> list[str]:
        """Return the names of the zone's agents."""
        return [name for name, slot in sorted(self.field.slots.items()) if slot.place.zone == zone]

    def record_fault(self, fault: str, place: str, begin_s: float) -> None:
        """Record a fault of a place that ends now."""
        self.windows.append(Window(fault, place, begin_s, time.time()))

    def record_zone_fault(self, fault: str, zone: str, begin_s: float, names: list[str]) -> None:
        """Record a fault of a zone's watchers, for the report only.

        The zone's other instances have to keep working during the fault.  The place of the window
        is therefore empty: it delays no timing, and edits inside it count from their publication.
        """
        self.windows.append(Window(f"{fault} {zone} {len(names)}", "", begin_s, time.time()))
