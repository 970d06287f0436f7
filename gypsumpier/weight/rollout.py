"""The component of a model agent that makes the document's versions live at its engine.

Each version that the document names has its own task (``VersionRollout``).  A version that is no
longer named is unloaded only once the engine reports every named version as live; until then the
old version keeps serving.  Only the engine's reports determine what is live.
"""

import asyncio
from random import Random

from gypsumpier.clock import Clock
from gypsumpier.document.service import Accepted
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.engine import LiveModel
from gypsumpier.external.store import Store
from gypsumpier.log import decision
from gypsumpier.options import Options
from gypsumpier.weight.cache import ChunkCache
from gypsumpier.weight.context import RolloutContext, VersionKey
from gypsumpier.weight.decider import Decider
from gypsumpier.weight.inputs import Documents, Members, NoRetirement, Retirement, WeightEngine
from gypsumpier.weight.monitor import EngineMonitor
from gypsumpier.weight.order import Orders
from gypsumpier.weight.storereader import StoreReader
from gypsumpier.weight.swarm import Swarm
from gypsumpier.weight.unloads import Unloads
from gypsumpier.weight.version import VersionRollout
from gypsumpier.weight.view import TransferView
from gypsumpier.wire.stream import Dialer, Stream


class Rollout:
    """Runs a task for each version that the service's document names, and unloads the others."""

    def __init__(
        self,
        options: Options,
        clock: Clock,
        documents: Documents,
        members: Members,
        engine: WeightEngine,
        store: Store,
        origin: Store | None,
        dialer: Dialer,
        random: Random,
        retirement: Retirement | None = None,
    ) -> None:
        self.options = options
        self.clock = clock
        self.documents = documents
        self.monitor = EngineMonitor(options, clock, engine)
        self.orders = Orders(clock, engine)
        self.decider = Decider(options, clock, documents, members)
        self.unloads = Unloads(clock, self.monitor, self.orders, retirement or NoRetirement())
        self.context = RolloutContext(
            options=options,
            clock=clock,
            random=random,
            documents=documents,
            members=members,
            engine=engine,
            monitor=self.monitor,
            orders=self.orders,
            unloads=self.unloads,
            store_reader=StoreReader(clock, random, store, origin),
            cache=ChunkCache(options.weight_memory_bytes),
        )
        self.swarm = Swarm(self.context, dialer)
        self.versions: dict[VersionKey, VersionRollout] = {}
        self.version_tasks: dict[VersionKey, asyncio.Task[None]] = {}
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Subscribe to the document and start the tasks."""
        self.documents.subscribe(self.on_document)
        self.tasks = [
            asyncio.create_task(self.monitor.run()),
            asyncio.create_task(self.decider.run()),
            asyncio.create_task(self.unloads.run()),
            asyncio.create_task(self.unload_loop()),
            asyncio.create_task(self.swarm.run()),
            asyncio.create_task(self.swarm.catalogue.run()),
            asyncio.create_task(self.swarm.standings.run()),
        ]
        self.sync_versions()

    async def serve(self, stream: Stream) -> None:
        """Serve the connection of an agent that has dialled ``bulk_port`` until it ends."""
        await self.swarm.serve(stream)

    async def stop(self) -> None:
        """Stop every task; the engine keeps serving its live versions."""
        running = self.tasks + list(self.version_tasks.values())
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def transfers(self) -> list[TransferView]:
        """Return the transfer state of each version, for the administration API."""
        accepted = self.context.accepted()
        revision = accepted.revision if accepted is not None else 0
        document = self.context.document()
        live_by = document.live_by if document is not None else None
        return [version.view(revision, live_by) for version in self.versions.values()]

    def on_document(self, accepted: Accepted) -> None:
        """Apply a new revision of the service's document; ignore other documents."""
        if accepted.name == self.options.service:
            self.sync_versions()

    def sync_versions(self) -> None:
        """Start and cancel tasks so that each version named by the document has exactly one."""
        wanted = self.context.named()
        for key in [key for key in self.versions if key not in wanted]:
            decision(
                "version_dropped",
                model=key[0],
                version=key[1],
                reason="the document no longer names it",
            )
            self.version_tasks.pop(key).cancel()
            del self.versions[key]
        for key in wanted:
            if key not in self.versions:
                decision("version_wanted", model=key[0], version=key[1], reason="named")
                self.versions[key] = VersionRollout(self.context, self.decider, self.swarm, key)
                self.version_tasks[key] = asyncio.create_task(self.versions[key].run())

    async def unload_loop(self) -> None:
        """After each engine report, unload the contents that the document no longer names."""
        while True:
            await self.monitor.next_report()
            try:
                await self.unload_unnamed()
            except GypsumpierError as error:
                decision("unload_failed", reason=str(error))

    async def unload_unnamed(self) -> None:
        """Unload superseded contents once every named version is live."""
        if self.context.accepted() is None:
            return
        kept = self.named_and_live()
        if kept is None:
            return
        for live in [live for live in self.unloads.live() if live not in kept]:
            await self.unload(live)

    async def unload(self, live: LiveModel) -> None:
        """Retire a content and unload it, unless it is needed again once it is retired."""
        async with self.unloads.turn:
            if live not in self.unloads.live():
                return
            await self.unloads.retire(live)
            await self.monitor.next_report()
            kept = self.named_and_live()
            if kept is None or live in kept:
                decision("unload_dropped", version=live.version, reason="it is still needed")
                self.unloads.restore(live)
                return
            try:
                decided = self.decider.decide(
                    f"{live.version} is no longer named or its content has changed"
                )
                await self.unloads.unload(decided, live)
            except GypsumpierError:
                self.unloads.restore(live)
                raise

    def named_and_live(self) -> list[LiveModel] | None:
        """Return the named contents if all of them are live, or else None."""
        kept = []
        for version in self.versions.values():
            live = version.live_content()
            if live is None:
                return None
            kept.append(live)
        return kept
