"""Runs one fetch: starts its tasks, announces its chunks and stops it."""

import asyncio
from typing import Final

from gypsumpier.codes.weight import VERSION_CHANGED
from gypsumpier.errors import GypsumpierError
from gypsumpier.weight.context import VersionKey
from gypsumpier.weight.fetch import Fetch
from gypsumpier.weight.imports import RegionImports
from gypsumpier.weight.message import Got
from gypsumpier.weight.regionrequests import RegionRequests
from gypsumpier.weight.storedownloads import StoreDownloads
from gypsumpier.weight.swarm import Swarm
from gypsumpier.weight.tally import Tally
from gypsumpier.weight.transfer import Transfer

CHECK_INTERVAL_S: Final = 0.25
ANNOUNCE_INTERVAL_S: Final = 0.03
STORE_TASKS: Final = 2
IMPORT_TASKS_PER_REGION: Final = 2


class FetchRun:
    """The tasks of one fetch."""

    def __init__(self, swarm: Swarm, transfer: Transfer, tally: Tally) -> None:
        self.swarm = swarm
        self.transfer = transfer
        self.layout = transfer.manifest.layout
        self.key: VersionKey = (transfer.manifest.model, transfer.manifest.version)
        self.fetch = Fetch(swarm.context, transfer, tally, swarm.plan(self.layout))
        self.tasks: list[asyncio.Task[None]] = []
        self.import_regions: set[str] = set()

    async def run(self) -> None:
        """Return once the transfer is verified.

        Raises GypsumpierError with VERSION_CHANGED, FILE_CORRUPT or what the engine raised.
        """
        await self.begin()
        try:
            while not self.transfer.verified:
                await self.fetch.wait_for_change(CHECK_INTERVAL_S)
                await self.check()
        finally:
            await self.end()

    async def begin(self) -> None:
        """Use the chunks that the cache and the peers already hold, and start the tasks."""
        swarm = self.swarm
        await self.transfer.stage_cached()
        swarm.fetches[self.layout] = self.fetch
        swarm.uploads.add(self.transfer)
        swarm.woken.set()
        for peer in swarm.peers.by_name.values():
            self.fetch.on_holds(peer, peer.holds.get(self.layout, set()))
            swarm.uploads.announce(peer, self.transfer)
        self.fetch.availability.mark_seen(self.transfer.held, self.fetch.plan)
        self.start_task(RegionRequests(self.fetch, swarm.peers, swarm.pacing))
        for _ in range(STORE_TASKS):
            self.start_task(StoreDownloads(self.fetch, swarm.peers, swarm.pacing))
        self.tasks.append(asyncio.create_task(self.announce_chunks()))
        self.start_imports()

    def start_task(self, worker: RegionRequests | StoreDownloads | RegionImports) -> None:
        """Run one worker of the fetch as a task."""
        self.tasks.append(asyncio.create_task(worker.run()))

    def start_imports(self) -> None:
        """Start several tasks for each other region, so that their waits for pacing overlap."""
        own = self.swarm.options.region
        for region in set(self.fetch.plan.regions) - self.import_regions - {own}:
            self.import_regions.add(region)
            for _ in range(IMPORT_TASKS_PER_REGION):
                self.start_task(
                    RegionImports(self.fetch, self.swarm.peers, self.swarm.pacing, region)
                )

    async def announce_chunks(self) -> None:
        """Announce new chunks to the peers in small batches until cancelled."""
        while True:
            await self.fetch.announcement_due.wait()
            await self.swarm.clock.sleep(ANNOUNCE_INTERVAL_S)
            self.post_announcements()

    def post_announcements(self) -> None:
        """Announce to each peer the new chunks that it doesn't hold itself."""
        unannounced = self.fetch.unannounced
        self.fetch.unannounced = set()
        self.fetch.announcement_due.clear()
        for peer in self.swarm.peers.by_name.values():
            new = sorted(unannounced - peer.holds.get(self.layout, set()))
            if new:
                peer.post(Got(self.layout, new))

    async def check(self) -> None:
        """Cancel overdue requests, start imports from new regions and raise what ends the fetch."""
        self.fetch.expire(self.swarm.peers.by_name.values())
        self.start_imports()
        for task in self.tasks:
            if task.done():
                task.result()
        if self.fetch.failure is not None:
            raise self.fetch.failure
        if self.fetch.recheck_list:
            self.fetch.recheck_list = False
            await self.swarm.catalogue.recheck(self.key)
        if self.swarm.catalogue.has_changed(self.transfer.manifest):
            raise GypsumpierError(
                VERSION_CHANGED, f"{self.key[1]} has other content than before under the same name"
            )

    async def end(self) -> None:
        """Stop the tasks, send the last announcements and cancel the open requests."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.post_announcements()
        for index in list(self.fetch.requested_from):
            self.fetch.cancel_requests(index)
        self.swarm.fetches.pop(self.layout, None)
