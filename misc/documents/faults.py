"""A schedule of faults on real processes, and the windows in which each place was affected."""

import asyncio
import time
from typing import Final, NamedTuple

from misc.documents.field import Field
from misc.http import post_json

EVERY_PLACE: Final = "*"
DOWN_S: Final = 15.0
FROZEN_S: Final = 8.0
STALE_S: Final = 8.0
DEAD_S: Final = 5.0
BETWEEN_S: Final = 6.0


class Window(NamedTuple):
    """A fault from its begin to its end, in wall-clock time; EVERY_PLACE affects all."""

    fault: str
    place: str
    begin_s: float
    end_s: float


class Faults:
    """Injects one fault after the other."""

    def __init__(self, field: Field) -> None:
        self.field = field
        self.windows: list[Window] = []

    async def run(self) -> None:
        """Run the whole schedule."""
        zones = [place.zone for place in self.field.places()]
        await self.service_down()
        await asyncio.sleep(BETWEEN_S)
        await self.frozen_watchers(zones[0])
        await asyncio.sleep(BETWEEN_S)
        await self.restart_while_stale(zones[1])
        await asyncio.sleep(BETWEEN_S)
        await self.killed_watchers(zones[2])
        await asyncio.sleep(BETWEEN_S)

    async def control(self, action: str, body: dict[str, object]) -> None:
        """Set a fault of the configuration service."""
        url = self.field.testbed.urls["configuration_url"]
        await post_json(f"{url}/control/{action}", body)

    async def service_down(self) -> None:
        """The configuration service answers nothing useful for a while."""
        begin_s = time.time()
        await self.control("down", {"on": True})
        await asyncio.sleep(DOWN_S)
        await self.control("down", {"on": False})
        self.note("service_down", EVERY_PLACE, begin_s)

    async def frozen_watchers(self, zone: str) -> None:
        """All watchers of a zone are paused and wake later."""
        names = await self.field.watchers(zone)
        begin_s = time.time()
        for name in names:
            self.field.fleet.freeze(name)
        await asyncio.sleep(FROZEN_S)
        for name in names:
            self.field.fleet.thaw(name)
            self.note("frozen_watcher", name, begin_s)
        # The zone's other instances get changes again once the silence is noticed.
        self.note_zone("frozen_watchers_zone", zone, begin_s, names)

    async def restart_while_stale(self, zone: str) -> None:
        """Instances are replaced while the service answers an old state."""
        names = (await self.field.watchers(zone))[:1] + self.agents_in(zone)[:2]
        begin_s = time.time()
        await self.control("stale", {"position": 0})
        await self.replace(names, 0.0, "replaced_while_stale")
        await asyncio.sleep(STALE_S)
        await self.control("stale", {"position": None})
        self.note("service_stale", EVERY_PLACE, begin_s)

    async def killed_watchers(self, zone: str) -> None:
        """All watchers of a zone die and are replaced some seconds later."""
        names = await self.field.watchers(zone)
        begin_s = time.time()
        await self.replace(names, DEAD_S, "killed_watcher")
        self.note_zone("killed_watchers_zone", zone, begin_s, names)

    async def replace(self, names: list[str], dead_s: float, fault: str) -> None:
        """Kill instances and start others in their places."""
        begin_s = time.time()
        for name in names:
            await self.field.fleet.kill(name)
        await asyncio.sleep(dead_s)
        await asyncio.gather(*(self.field.restart(name) for name in names))
        for name in names:
            self.note(fault, name, begin_s)

    def agents_in(self, zone: str) -> list[str]:
        """Return the agents of a zone."""
        return [name for name, slot in sorted(self.field.slots.items()) if slot.place.zone == zone]

    def note(self, fault: str, place: str, begin_s: float) -> None:
        """Note a fault that has ended now."""
        self.windows.append(Window(fault, place, begin_s, time.time()))

    def note_zone(self, fault: str, zone: str, begin_s: float, names: list[str]) -> None:
        """Note a fault of a zone for the instances that were not hit themselves.

        They have to go on during the fault; so this window has no length and only shows in the
        report that edits inside it count from their publication.
        """
        self.windows.append(Window(f"{fault} {zone} {len(names)}", "", begin_s, time.time()))
