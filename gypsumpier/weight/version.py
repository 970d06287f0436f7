"""Brings one version of the service's model live at this agent's engine and keeps it so.

The task runs as long as the document names the version.  It reads the manifest, transfers the
chunks, orders the load once everything is verified and waits until the engine reports the version
live with the manifest's digest.  From then on it watches for two things: the engine may lose the
version, and the content may change under the version's name.  Either starts the round again, the
second with a new manifest and so with a new digest at the engine.
"""

from typing import Final

from gypsumpier.codes.platform import PLATFORM_REFUSED
from gypsumpier.codes.weight import DECISION_TOO_OLD
from gypsumpier.errors import GypsumpierError
from gypsumpier.log import decision
from gypsumpier.platform.engine import EngineStatus, LiveModel
from gypsumpier.weight import phase
from gypsumpier.weight.context import RolloutContext
from gypsumpier.weight.decider import Decider
from gypsumpier.weight.manifest import Manifest, build_manifest
from gypsumpier.weight.tally import Tally
from gypsumpier.weight.transfer import Transfer
from gypsumpier.weight.view import TransferView

RETRY_S: Final = 0.5
LOAD_TIMEOUT_S: Final = 30.0
LOST_AFTER_S: Final = 3.0


class VersionRollout:
    """The task of one (model, version) at one agent."""

    def __init__(self, context: RolloutContext, decider: Decider, model: str, version: str) -> None:
        self.context = context
        self.decider = decider
        self.model = model
        self.version = version
        self.phase = phase.MANIFEST
        self.manifest: Manifest | None = None
        self.transfer: Transfer | None = None
        self.tally = Tally()
        self.reason = ""
        self.started_wall_s = context.clock.wall()
        self.live_wall_s: float | None = None

    async def run(self) -> None:
        """Work until cancelled; a failure is noted, and the round starts again."""
        try:
            while True:
                await self.guarded_round()
        finally:
            if self.transfer is not None:
                self.transfer.unpin()

    async def guarded_round(self) -> None:
        """Run one round; on a failure wait a little, with jitter."""
        try:
            await self.round()
        except GypsumpierError as error:
            self.reason = str(error)
            decision("rollout_retry", model=self.model, version=self.version, reason=self.reason)
            await self.context.clock.sleep(RETRY_S * (1 + self.context.random.random()))

    async def round(self) -> None:
        """Bring the version live and return once it has to be done again."""
        self.phase = phase.MANIFEST
        manifest = await self.read_manifest()
        if not self.is_live(manifest):
            await self.fetch(self.transfer_of(manifest))
            await self.load(manifest)
        await self.stay_live(manifest)

    async def read_manifest(self) -> Manifest:
        """Return the manifest as published now."""
        files = await self.context.draws.files(self.model, self.version)
        self.manifest = build_manifest(self.model, self.version, files)
        return self.manifest

    def transfer_of(self, manifest: Manifest) -> Transfer:
        """Return the transfer of the manifest, a new one where the content has changed."""
        if self.transfer is not None:
            if self.transfer.manifest.layout == manifest.layout:
                return self.transfer
            self.transfer.unpin()
        self.transfer = Transfer(manifest, self.context.engine, self.context.cache)
        return self.transfer

    async def fetch(self, transfer: Transfer) -> None:
        """Draw and stage every chunk that is missing."""
        self.phase = phase.TRANSFER
        await transfer.begin()
        while not transfer.verified:
            index = min(transfer.missing)
            source, content = await self.context.draws.chunk(transfer, index)
            used = await transfer.receive(index, content)
            self.tally.add(source, len(content), used)

    async def load(self, manifest: Manifest) -> None:
        """Order the load until the engine reports the version live."""
        self.phase = phase.LOAD
        while not self.is_live(manifest):
            await self.order_load(manifest)
            await self.wait_live(manifest)
        self.live_wall_s = self.context.clock.wall()
        decision(
            "version_live",
            model=self.model,
            version=self.version,
            digest=manifest.digest,
            reason="reported by the engine",
        )

    async def order_load(self, manifest: Manifest) -> None:
        """Order the load once; an engine that refuses it has lost what was staged."""
        try:
            made = self.decider.decide(f"{self.version} is verified")
            await self.context.orders.load(made, self.model, self.version, manifest.digest)
        except GypsumpierError as error:
            if error.code == PLATFORM_REFUSED and self.transfer is not None:
                self.transfer.reset()
            if error.code != DECISION_TOO_OLD:
                raise

    async def wait_live(self, manifest: Manifest) -> None:
        """Wait until the engine reports the version live or the load has taken too long."""
        ordered_at_s = self.context.clock.monotonic()
        while not self.is_live(manifest):
            await self.context.monitor.next_report()
            if self.context.clock.monotonic() - ordered_at_s > LOAD_TIMEOUT_S:
                return

    async def stay_live(self, manifest: Manifest) -> None:
        """Return when the engine has lost the version or the content has changed."""
        self.phase = phase.LIVE
        self.reason = ""
        seen_at_s = self.context.clock.monotonic()
        while self.context.clock.monotonic() - seen_at_s <= LOST_AFTER_S:
            await self.context.monitor.next_report()
            if self.is_live(manifest):
                seen_at_s = self.context.clock.monotonic()
        self.reason = "the engine no longer reports the version live"
        decision("version_lost", model=self.model, version=self.version, reason=self.reason)
        if self.transfer is not None:
            self.transfer.reset()

    def live_content(self, status: EngineStatus) -> LiveModel | None:
        """Return this version's current content where the engine reports it live."""
        if self.manifest is None:
            return None
        wanted = LiveModel(self.model, self.version, self.manifest.digest)
        return wanted if wanted in status.live else None

    def is_live(self, manifest: Manifest) -> bool:
        """Tell whether the engine reports exactly this content live."""
        wanted = LiveModel(self.model, self.version, manifest.digest)
        return wanted in self.context.monitor.live()

    def view(self, revision: int, live_by_wall_s: float | None) -> TransferView:
        """Return the state for the administration API."""
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
            from_store_bytes=self.tally.store_bytes,
            from_origin_bytes=self.tally.origin_bytes,
            from_region_bytes=self.tally.region_bytes,
            from_other_regions_bytes=self.tally.other_region_bytes,
            wasted_bytes=self.tally.wasted_bytes,
            corrupt_chunks=self.tally.corrupt_chunks,
            peers=0,
            started_wall_s=self.started_wall_s,
            live_wall_s=self.live_wall_s,
            live_by_wall_s=live_by_wall_s,
            reason=self.reason,
        )
