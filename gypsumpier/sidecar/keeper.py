"""Switches one engine to the wanted version of its model's weights, and keeps it there."""

import asyncio
import time
from typing import Final

from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.service import ModelTraits
from gypsumpier.fleet.state import FleetState
from gypsumpier.fleet.upstream import whole_version
from gypsumpier.log import decision
from gypsumpier.mesh.mesh import Mesh
from gypsumpier.piece.engine import EngineReport
from gypsumpier.piece.turns import SwitchSchedule
from gypsumpier.sidecar.enginewatch import SWITCH_POLL_S, EngineWatch
from gypsumpier.sidecar.inheritance import inherited_version
from gypsumpier.sidecar.stage import Stage
from gypsumpier.sidecar.stager import ONLY_PLACE, Place, Stager
from gypsumpier.tasks import end_task

CHECK_INTERVAL_S: Final = 0.1
"""Seconds between checks of the wanted version."""
FIRST_VERSION: Final = 1
"""The version of a model before the platform names one."""
DRAIN_TIMEOUT_S: Final = 0.25
"""Seconds for an engine to finish its requests; the rest is then cut and resumed elsewhere."""
LAST_PIECES_TIMEOUT_S: Final = 0.25
"""Seconds to wait, with the engine idle, for last pieces that take longer than estimated."""
ORDER_ANSWER_S: Final = 0.3
"""Seconds for an order to be answered; after that the engine gets requests again meanwhile."""
RECHECK_S: Final = 1.0
"""Seconds between checks of the staged pieces while an order is not answered."""
COMPARED_VERSIONS: Final = 3
"""Newest versions among which that of staged pieces is looked for; entries keep as many."""
RETRY_PAUSE_S: Final = 0.3
"""Seconds before the next attempt after a failed fetch or switch."""
STALL_TIMEOUT_S: Final = 0.8
"""Seconds without a new piece after which another wanted version is tried."""
STALL_PAUSE_S: Final = 2.0
"""Seconds for which a stalled or failed version is skipped in favour of another one."""
FINISH_FETCH_SHARE: Final = 0.6
"""Share of fetched pieces from which a version is completed although a newer one was named."""


class VersionKeeper:
    """Keeps the engine of ``watch`` at the newest available version.

    ``stalled_until_s`` maps versions to the time until which they are skipped.  ``inheriting`` is
    the task that finds out whether an earlier run of this process may have given an order.
    ``rechecked_at_s`` is the time of the last check of the staged pieces beside that of an order.
    """

    def __init__(
        self,
        mesh: Mesh,
        fleet_state: FleetState,
        schedule: SwitchSchedule,
        watch: EngineWatch,
        service: str,
    ) -> None:
        self.mesh = mesh
        self.fleet_state = fleet_state
        self.schedule = schedule
        self.watch = watch
        self.service = service
        self.stage = Stage(watch.engine)
        self.inheriting: asyncio.Task[None] | None = None
        self.stagers: dict[tuple[str, int], Stager] = {}
        self.active: Stager | None = None
        self.rechecked_at_s = float("-inf")
        self.stalled_until_s: dict[int, float] = {}

    async def run(self) -> None:
        """Switch the engine to the target version whenever it differs, until cancelled."""
        try:
            while True:
                await asyncio.sleep(CHECK_INTERVAL_S)
                await self.check()
        finally:
            await end_task(self.inheriting)

    async def check(self) -> None:
        """Switch the engine to the target version if it differs."""
        traits, report = self.traits(), self.watch.report
        if traits is None or not traits.models or report is None:
            return
        self.stage.settle(report, traits.layers)
        if self.watch.is_busy():
            return
        pending = self.stage.pending
        model = pending.model if pending else traits.models[0]
        held = self.held(traits)
        target = self.target(model, held)
        if target == held:
            return
        if self.inheriting is None:
            self.inheriting = asyncio.create_task(self.inherit(model, held, traits))
        try:
            await self.switch_to(model, target, traits)
        except GypsumpierError as error:
            decision(
                "version_failed",
                model=model,
                version=target,
                code=error.code.number,
                reason=error.detail,
            )
            self.stalled_until_s[target] = time.monotonic() + STALL_PAUSE_S
            await asyncio.sleep(RETRY_PAUSE_S)

    async def inherit(self, model: str, held: int, traits: ModelTraits) -> None:
        """Assume an order for the version that an earlier run of this process has staged."""
        while True:
            report = self.watch.report
            try:
                version = await inherited_version(
                    lambda version: self.known_stager(model, version),
                    self.compared_versions(model, held),
                    traits.piece_count,
                )
                if report is not None:
                    break
            except GypsumpierError as error:
                decision("staged_version_unread", reason=error.detail)
            await asyncio.sleep(RETRY_PAUSE_S)
        if version is not None and self.held(traits) != version:
            self.stage.assume_order(model, version, report)

    def compared_versions(self, model: str, held: int) -> list[int]:
        """Return the versions that may be staged, the newest first; that one is to be loaded.

        The store tells only the newest, so that those before it may not have been heard of.
        """
        named = [wanted.version for wanted in self.fleet_state.versions.get(model, [])]
        newest = max([held, FIRST_VERSION, *named])
        before = [version for version in (newest - 1, newest - 2) if version >= FIRST_VERSION]
        candidates = [newest, held or newest, *sorted(named)[-COMPARED_VERSIONS:], *before]
        return list(dict.fromkeys(candidates))

    def traits(self) -> ModelTraits | None:
        """Return the model traits of the engine's service; None while they are unknown."""
        configuration = self.fleet_state.configuration
        service = configuration.services.get(self.service) if configuration else None
        return service.model if service else None

    def held(self, traits: ModelTraits) -> int:
        """Return the version that the engine has loaded; 0 for none or an incomplete one."""
        report = self.watch.report
        return whole_version(report.layers, traits.layers) if report else 0

    def target(self, model: str, held: int) -> int:
        """Return the version to switch the engine to.

        That is the newest one, unless an order for another one may still be accepted, its fetch has
        stalled and an older one is available, or most pieces of an older one are already fetched.
        """
        if self.stage.pending is not None:
            return self.stage.pending.version
        newer_versions = [
            wanted.version
            for wanted in self.fleet_state.versions.get(model, [])
            if wanted.version > held
        ]
        if not newer_versions:
            return held or FIRST_VERSION
        now_s = time.monotonic()
        ready = [
            version for version in newer_versions if self.stalled_until_s.get(version, 0.0) < now_s
        ]
        active = self.active
        is_ready = active is not None and active.model == model and active.version in ready
        if active is not None and is_ready and active.share() >= FINISH_FETCH_SHARE:
            return active.version
        return max(ready or newer_versions)

    def stager(self, model: str, version: int, held: int) -> Stager:
        """Return the stager of a version with the pieces fetched so far, and make it active.

        Stagers of versions older than ``held``, the engine's version, are dropped.
        """
        self.stagers = {
            key: stager
            for key, stager in self.stagers.items()
            if stager.model == model and stager.version >= held
        }
        self.active = self.known_stager(model, version)
        return self.active

    def known_stager(self, model: str, version: int) -> Stager:
        """Return the stager of a version with the pieces fetched so far."""
        key = model, version
        if key not in self.stagers:
            self.stagers[key] = Stager(self.mesh, self.stage, model, version, self.place)
        return self.stagers[key]

    def place(self) -> Place:
        """Return the place of the engine among those of its service in its zone."""
        addresses = sorted(
            f"{record.host}:{record.port}"
            for record in self.fleet_state.upstreams.values()
            if record.service == self.service and record.zone == self.mesh.own.zone
        )
        if self.watch.address not in addresses:
            return ONLY_PLACE
        return Place(addresses.index(self.watch.address), len(addresses))

    async def piece(self, model: str, version: int, number: int) -> bytes | None:
        """Return a piece of a version being fetched or loaded; None where it is not here.

        The caller has to verify it.
        """
        known = self.stagers.get((model, version))
        if known is not None and number in known.pieces:
            return known.pieces[number]
        traits = self.traits()
        is_held = traits is not None and self.held(traits) == version
        return await self.watch.engine.staged(model, number) if is_held else None

    async def switch_to(self, model: str, version: int, traits: ModelTraits) -> None:
        """Fetch and stage a version, and order the engine to load it at its turn."""
        stager = self.stager(model, version, self.held(traits))
        stager.resume()
        fetching = asyncio.create_task(stager.fetch())
        ahead = asyncio.create_task(self.fetch_ahead(model, version))
        try:
            if not await self.wait_for_turn(stager, fetching, traits):
                return
            # The last step before the order, as staged pieces may become corrupt at any time.  The
            # order is not sent if pieces are corrupt even after they have been staged again.
            checked_at_s = boot_time_s()
            if await stager.restage_bad():
                checked_at_s = boot_time_s()
                if await stager.restage_bad():
                    return
            if self.watch.report is None:
                return
            self.watch.set_switching(True)
            accepted = await self.order(stager, self.watch.report, checked_at_s)
            decision("switch_ordered", model=model, version=version, accepted=accepted)
            await asyncio.sleep(SWITCH_POLL_S)
            await self.watch.read()
        finally:
            await end_task(ahead)
            await end_task(fetching)
            self.watch.set_switching(False)

    async def order(self, stager: Stager, report: EngineReport, checked_at_s: float) -> bool:
        """Order the engine to load a version, and keep its pieces intact until it has answered."""
        ordering = asyncio.create_task(
            self.stage.order(stager.model, stager.version, report, checked_at_s)
        )
        try:
            await asyncio.wait({ordering}, timeout=ORDER_ANSWER_S)
            if not ordering.done():
                self.watch.set_switching(False)
            while not ordering.done():
                await self.keep_intact(stager)
                await asyncio.wait({ordering}, timeout=SWITCH_POLL_S)
            return await ordering
        finally:
            await end_task(ordering)

    async def keep_intact(self, stager: Stager) -> None:
        """Check the staged pieces again if that was done more than RECHECK_S ago."""
        now_s = time.monotonic()
        if now_s - self.rechecked_at_s >= RECHECK_S:
            self.rechecked_at_s = now_s
            await stager.restage_bad()

    async def fetch_ahead(self, model: str, version: int) -> None:
        """Fetch the newest version into memory while an order for an older one is pending."""
        named = self.fleet_state.versions.get(model, [])
        if self.stage.pending is None or not named or named[-1].version <= version:
            return
        try:
            await self.known_stager(model, named[-1].version).fetch()
        except GypsumpierError as error:
            decision("fetch_ahead_failed", version=named[-1].version, reason=error.detail)

    async def wait_for_turn(
        self, stager: Stager, fetching: "asyncio.Task[None]", traits: ModelTraits
    ) -> bool:
        """Wait for the pieces and for this engine's turn, then drain the engine.

        Return False where another version should be loaded instead; raise GypsumpierError where
        the pieces can't be fetched.
        """
        while True:
            if fetching.done():
                await self.finish_fetch(fetching)
            is_owner = self.claim_stage(stager, traits)
            if is_owner and fetching.done():
                await self.keep_intact(stager)
            held = self.held(traits)
            if held == stager.version or self.target(stager.model, held) != stager.version:
                return False
            if self.is_stalled(stager, fetching, traits):
                until_s = time.monotonic() + STALL_PAUSE_S
                self.stalled_until_s[stager.version] = until_s
                decision("version_stalled", version=stager.version, fetched=len(stager.pieces))
                self.stage.drop_assumed_order("its fetch has stalled")
                return False
            is_fetched = fetching.done() or stager.estimated_remaining_s() < DRAIN_TIMEOUT_S
            is_ready = is_owner and is_fetched
            if is_ready and not self.is_waiting_for_turn() and await self.drain(fetching):
                return True
            await asyncio.sleep(SWITCH_POLL_S)

    def claim_stage(self, stager: Stager, traits: ModelTraits) -> bool:
        """Return whether the pieces of this version may be staged now."""
        if self.inheriting is not None and not self.inheriting.done():
            return False
        if self.watch.report is not None:
            self.stage.settle(self.watch.report, traits.layers)
        return self.stage.claim(stager.model, stager.version)

    async def finish_fetch(self, fetching: "asyncio.Task[None]") -> None:
        """Raise the error of a fetch that has failed; an assumed order is then given up."""
        try:
            await fetching
        except GypsumpierError as error:
            self.stage.drop_assumed_order(error.detail)
            raise

    def is_waiting_for_turn(self) -> bool:
        """Return whether the engine has layers loaded and its turn is still to come.

        An order that was sent already may be accepted at any time, and is repeated at once.  So is
        one that is assumed for a version before the newest, whose turn is over.
        """
        pending, report = self.stage.pending, self.watch.report
        turn = self.schedule.turn(self.service, self.watch.address)
        if turn is None or report is None or not report.layers:
            return False
        if pending is not None and not (pending.is_assumed and pending.version == turn.version):
            return False
        return boot_time_s() < turn.at_s

    def is_stalled(
        self, stager: Stager, fetching: "asyncio.Task[None]", traits: ModelTraits
    ) -> bool:
        """Return whether the fetch has stalled while another newer version could be loaded."""
        if fetching.done() or stager.idle_s() < STALL_TIMEOUT_S:
            return False
        held = self.held(traits)
        named = self.fleet_state.versions.get(stager.model, [])
        return any(wanted.version > held and wanted.version != stager.version for wanted in named)

    async def drain(self, fetching: "asyncio.Task[None]") -> bool:
        """Route requests to other engines until this one is idle and the last pieces are fetched.

        Return False where pieces are still missing after ``LAST_PIECES_TIMEOUT_S``; the engine then
        goes on serving its loaded version.
        """
        if self.watch.report is not None and self.watch.report.layers:
            self.watch.set_switching(True)
            until_s = time.monotonic() + DRAIN_TIMEOUT_S
            while time.monotonic() < until_s and (report := self.watch.report) and report.active:
                await asyncio.sleep(SWITCH_POLL_S)
        await asyncio.wait({fetching}, timeout=LAST_PIECES_TIMEOUT_S)
        if fetching.done():
            await self.finish_fetch(fetching)
            return True
        self.watch.set_switching(False)
        decision("drain_given_up", version=self.active.version if self.active else 0)
        return False
