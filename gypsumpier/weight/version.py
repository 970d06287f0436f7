"""Makes one version of the service's model live at this agent's engine and keeps it live.

The task runs as long as the document names the version.  It reads the manifest, transfers the
chunks, orders the load once everything is verified and waits until the engine reports the version
as live with the manifest's digest.  From then on it checks for two events: the engine loses the
version, or the content published under the version's name changes.  Both start a new round; after
a change of content the round uses a new manifest and so a new digest at the engine.
"""

from typing import Final

from gypsumpier.codes.platform import PLATFORM_REFUSED
from gypsumpier.codes.weight import WRONG_CONTENT
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.engine import LiveModel
from gypsumpier.log import decision
from gypsumpier.weight import phase
from gypsumpier.weight.context import RolloutContext, VersionKey
from gypsumpier.weight.decider import Decider
from gypsumpier.weight.fetchrun import FetchRun
from gypsumpier.weight.manifest import Manifest
from gypsumpier.weight.memoryreclaim import MemoryReclaim
from gypsumpier.weight.order import may_take_effect
from gypsumpier.weight.swarm import Swarm
from gypsumpier.weight.tally import ORIGIN, OTHER_REGION, REGION, STORE, Tally
from gypsumpier.weight.transfer import Transfer
from gypsumpier.weight.view import TransferView

RETRY_DELAY_S: Final = 0.5
"""Shortest delay between a failed round and the next one; jitter adds up to as much again."""
LOAD_TIMEOUT_S: Final = 30.0
"""Time after which a load that the engine hasn't reported as live is ordered again."""
LOST_TIMEOUT_S: Final = 3.0
"""Time without a report of the version as live after which it counts as lost."""


class VersionRollout:
    """The rollout of one (model, version) at one agent."""

    def __init__(
        self, context: RolloutContext, decider: Decider, swarm: Swarm, key: VersionKey
    ) -> None:
        self.context = context
        self.decider = decider
        self.swarm = swarm
        self.key = key
        self.model, self.version = key
        self.phase = phase.MANIFEST
        self.manifest: Manifest | None = None
        self.transfer: Transfer | None = None
        self.tally = Tally()
        self.reason = ""
        self.started_wall_s = context.clock.wall()
        self.live_wall_s: float | None = None

    async def run(self) -> None:
        """Run rounds until cancelled; then drop the transfer and the manifest."""
        try:
            while True:
                await self.try_round()
        finally:
            self.drop_transfer()
            self.swarm.catalogue.drop(self.key)
            self.return_to_service()

    async def try_round(self) -> None:
        """Run one round; on a failure record the reason and wait with jitter."""
        try:
            await self.round()
        except GypsumpierError as error:
            self.reason = str(error)
            decision("rollout_retry", model=self.model, version=self.version, reason=self.reason)
            await self.context.clock.sleep(RETRY_DELAY_S * (1 + self.context.random.random()))

    async def round(self) -> None:
        """Make the version live; return when it is lost or its content has changed."""
        self.phase = phase.MANIFEST
        manifest = await self.swarm.catalogue.manifest(self.key)
        self.manifest = manifest
        if self.context.monitor.status is None:
            await self.context.monitor.next_report()
        if not self.is_live(manifest):
            await self.context.unloads.wait_settled(*self.key)
        if not self.is_live(manifest):
            transfer = self.transfer_of(manifest)
            await self.reclaim_memory(transfer)
            while not self.is_live(manifest):
                await self.fetch(transfer)
                await self.load(manifest)
        self.record_live(manifest)
        self.return_to_service()
        await self.stay_live(manifest)

    def transfer_of(self, manifest: Manifest) -> Transfer:
        """Return the manifest's transfer; create one where there is none or the layout differs."""
        if self.transfer is not None:
            if self.transfer.manifest.layout == manifest.layout:
                return self.transfer
            self.drop_transfer()
        self.transfer = Transfer(manifest, self.context.engine, self.context.cache)
        self.transfer.restarts = self.context.monitor.restarts
        return self.transfer

    async def fetch(self, transfer: Transfer) -> None:
        """Fetch and stage all chunks; repeat where the engine may have lost some of them."""
        self.phase = phase.TRANSFER
        while not transfer.verified or transfer.restarts != self.context.monitor.restarts:
            if transfer.restarts != self.context.monitor.restarts:
                transfer.reset()
                transfer.restarts = self.context.monitor.restarts
            await FetchRun(self.swarm, transfer, self.tally).run()
            # The next report shows whether the engine restarted and lost staged chunks.
            await self.context.monitor.next_report()

    def drop_transfer(self) -> None:
        """End the transfer; its chunks stay in the cache until they are evicted."""
        if self.transfer is not None:
            self.transfer.unpin()
            self.swarm.uploads.remove(self.transfer)
            self.transfer = None

    async def reclaim_memory(self, transfer: Transfer) -> None:
        """If the old and the new content don't fit together, free engine memory in turn."""
        reclaim = MemoryReclaim(self.context, self.decider, self.swarm.standings, transfer)
        await reclaim.wait_unloaded()
        if not reclaim.is_memory_short():
            return
        self.phase = phase.TURN
        await reclaim.wait_turn()
        self.phase = phase.DRAIN
        await reclaim.free_memory()

    def return_to_service(self) -> None:
        """Report this agent's engine as in service again, after ``reclaim_memory``."""
        self.swarm.standings.out = False

    async def load(self, manifest: Manifest) -> None:
        """Order the load once and wait for the engine to report the version as live."""
        self.phase = phase.LOAD
        run_name = self.context.monitor.run_name()
        before = set(self.context.monitor.live())
        await self.order_load(manifest)
        await self.wait_live(manifest, run_name, before)

    def record_live(self, manifest: Manifest) -> None:
        """Record and log that the engine reports the version as live."""
        self.live_wall_s = self.context.clock.wall()
        decision(
            "version_live",
            model=self.model,
            version=self.version,
            digest=manifest.digest,
            reason="the engine reports it as live",
        )

    async def order_load(self, manifest: Manifest) -> None:
        """Order the load once; raise GypsumpierError if it is refused or not sent.

        A load without an answer counts as ordered: ordered again, it could take effect twice, and
        late.  An engine that refuses the load has lost what was staged, so the transfer is reset.
        """
        try:
            decided = self.decider.decide(f"{self.version} is completely verified")
            await self.context.orders.load(decided, self.model, self.version, manifest.digest)
        except GypsumpierError as error:
            if error.code == PLATFORM_REFUSED and self.transfer is not None:
                self.transfer.reset()
            if not may_take_effect(error):
                raise
            self.reason = str(error)
            decision("load_unsure", model=self.model, version=self.version, reason=self.reason)

    async def wait_live(self, manifest: Manifest, run_name: str, before: set[LiveModel]) -> None:
        """Wait until the version is live, a timeout passes or the engine's run may have ended.

        ``run_name`` and ``before``, which was live, are those of the time before the order.
        """
        ordered_at_s = self.context.clock.monotonic()
        while not self.is_live(manifest):
            status = await self.context.monitor.next_report()
            await self.unload_wrong(manifest, [one for one in status.live if one not in before])
            if self.context.clock.monotonic() - ordered_at_s > LOAD_TIMEOUT_S:
                return
            if self.context.monitor.run_name() != run_name:
                return

    async def unload_wrong(self, manifest: Manifest, loaded: list[LiveModel]) -> None:
        """Unload what the engine has loaded in place of the ordered content.

        Raises GypsumpierError with WRONG_CONTENT after the unload, or what the order raised.
        """
        for live in loaded:
            if (live.model, live.version) != self.key or live.digest == manifest.digest:
                continue
            # What is staged is wrong whatever becomes of the unload.
            if self.transfer is not None:
                self.transfer.reset()
            decided = self.decider.decide("the engine reports a content other than the one ordered")
            await self.context.unloads.unload(decided, live)
            raise GypsumpierError(
                WRONG_CONTENT, f"instead of the ordered content the engine has loaded {live.digest}"
            )

    async def stay_live(self, manifest: Manifest) -> None:
        """Return when the engine has lost the version or the published content has changed."""
        self.phase = phase.LIVE
        self.reason = ""
        last_live_at_s = self.context.clock.monotonic()
        while self.context.clock.monotonic() - last_live_at_s <= LOST_TIMEOUT_S:
            await self.context.monitor.next_report()
            if self.swarm.catalogue.has_changed(manifest):
                return
            if self.is_live(manifest):
                last_live_at_s = self.context.clock.monotonic()
        self.reason = "the engine no longer reports the version as live"
        decision("version_lost", model=self.model, version=self.version, reason=self.reason)
        if self.transfer is not None:
            self.transfer.reset()

    def live_content(self) -> LiveModel | None:
        """Return this version's current content if it is live, or else None."""
        if self.manifest is None or not self.is_live(self.manifest):
            return None
        return LiveModel(self.model, self.version, self.manifest.digest)

    def is_live(self, manifest: Manifest) -> bool:
        """Return whether the engine reports exactly this content as live and is to keep it."""
        wanted = LiveModel(self.model, self.version, manifest.digest)
        return wanted in self.context.unloads.live()

    def view(self, revision: int, live_by_wall_s: float | None) -> TransferView:
        """Return the state of the transfer, for the administration API."""
        manifest = self.manifest
        return TransferView(
            model=self.model,
            version=self.version,
            digest=manifest.digest if manifest is not None else "",
            revision=revision,
            phase=self.phase,
            chunks=len(manifest.chunks) if manifest is not None else 0,
            chunks_held=len(self.transfer.held) if self.transfer is not None else 0,
            size_bytes=manifest.size_bytes if manifest is not None else 0,
            from_store_bytes=self.tally.bytes_by_source[STORE],
            from_origin_bytes=self.tally.bytes_by_source[ORIGIN],
            from_region_bytes=self.tally.bytes_by_source[REGION],
            from_other_regions_bytes=self.tally.bytes_by_source[OTHER_REGION],
            wasted_bytes=self.tally.wasted_bytes,
            corrupt_chunks=self.tally.corrupt_chunks,
            peers=len(self.swarm.peers.by_name),
            started_wall_s=self.started_wall_s,
            live_wall_s=self.live_wall_s,
            live_by_wall_s=live_by_wall_s,
            reason=self.reason,
        )
