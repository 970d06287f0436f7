"""Runs one fetch: its tasks, its announcements and its end."""

import asyncio
from typing import Final

from gypsumpier.codes.weight import VERSION_CHANGED
from gypsumpier.errors import GypsumpierError
from gypsumpier.weight.context import VersionKey
from gypsumpier.weight.fetch import Fetch
from gypsumpier.weight.imports import Imports
from gypsumpier.weight.message import Got
from gypsumpier.weight.regionrequests import RegionRequests
from gypsumpier.weight.storedownloads import StoreDraws
from gypsumpier.weight.swarm import Swarm
from gypsumpier.weight.tally import Tally
from gypsumpier.weight.transfer import Transfer

CHECK_S: Final = 0.25
ANNOUNCE_S: Final = 0.03
STORE_TASKS: Final = 2
LINK_TASKS: Final = 2


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
                await self.fetch.wait_change(CHECK_S)
                await self.check()
        finally:
            await self.end()

    async def begin(self) -> None:
        """Take up what the cache and the peers hold already, and start the tasks."""
        swarm = self.swarm
        await self.transfer.begin()
        swarm.fetches[self.layout] = self.fetch
        swarm.uploads.add(self.transfer)
        swarm.woken.set()
        for peer in swarm.peers.by_name.values():
            self.fetch.on_holds(peer, peer.holds.get(self.layout, set()))
            swarm.uploads.announce(peer, self.transfer)
        self.fetch.availability.note_seen(self.transfer.held, self.fetch.plan)
        self.start(RegionRequests(self.fetch, swarm.peers, swarm.pacing))
        for _ in range(STORE_TASKS):
            self.start(StoreDraws(self.fetch, swarm.peers, swarm.pacing))
        self.tasks.append(asyncio.create_task(self.announce()))
        self.start_imports()

    def start(self, part: RegionRequests | StoreDraws | Imports) -> None:
        """Run one part of the fetch as a task."""
        self.tasks.append(asyncio.create_task(part.run()))

    def start_imports(self) -> None:
        """Have tasks for each other region, so that their waits for a link's budget overlap."""
        own = self.swarm.options.region
        for region in set(self.fetch.plan.regions) - self.import_regions - {own}:
            self.import_regions.add(region)
            for _ in range(LINK_TASKS):
                self.start(Imports(self.fetch, self.swarm.peers, self.swarm.pacing, region))

    async def announce(self) -> None:
        """Tell the peers of new chunks, in small batches, until cancelled."""
        while True:
            await self.fetch.freshened.wait()
            await self.swarm.clock.sleep(ANNOUNCE_S)
            self.post_fresh()

    def post_fresh(self) -> None:
        """Tell each peer the new chunks that it doesn't hold itself."""
        fresh = self.fetch.fresh
        self.fetch.fresh = set()
        self.fetch.freshened.clear()
        for peer in self.swarm.peers.by_name.values():
            news = sorted(fresh - peer.holds.get(self.layout, set()))
            if news:
                peer.post(Got(self.layout, news))

    async def check(self) -> None:
        """Look after slow peers, new regions, failures and a change of the version."""
        self.fetch.expire(self.swarm.peers.by_name.values())
        self.start_imports()
        for task in self.tasks:
            if task.done():
                task.result()
        if self.fetch.failure is not None:
            raise self.fetch.failure
        if self.fetch.doubt:
            self.fetch.doubt = False
            await self.swarm.catalogue.doubt(self.key)
        if self.swarm.catalogue.has_changed(self.transfer.manifest):
            raise GypsumpierError(VERSION_CHANGED, f"{self.key[1]} changed under its name")

    async def end(self) -> None:
        """Stop the tasks and take back what is still asked for."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.post_fresh()
        for index in list(self.fetch.asks):
            self.fetch.take_back(index)
        self.swarm.fetches.pop(self.layout, None)
