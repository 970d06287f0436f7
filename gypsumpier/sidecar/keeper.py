"""Brings one engine to the wanted version of its model's weights, and keeps it there."""

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
from gypsumpier.piece.turns import Turns
from gypsumpier.sidecar.enginewatch import SWITCH_POLL_S, EngineWatch
from gypsumpier.sidecar.stager import Stager
from gypsumpier.tasks import end_task

CHECK_INTERVAL_S: Final = 0.1
"""Seconds between two looks at what is wanted."""
FIRST_VERSION: Final = 1
"""The version that a model has before another one is named."""
DRAIN_TIMEOUT_S: Final = 0.25
"""Seconds for an engine to finish what it runs before the rest is cut and goes on elsewhere."""
LAST_PIECES_TIMEOUT_S: Final = 0.25
"""Seconds that the last pieces may take longer than was estimated, while the engine is idle."""
RETRY_PAUSE_S: Final = 0.3
"""Seconds before pieces are fetched again after a failure."""
STALL_TIMEOUT_S: Final = 0.8
"""Seconds without a new piece after which another version that is wanted too is tried."""
STALL_PAUSE_S: Final = 2.0
"""Seconds for which a version whose pieces do not come is left for another one."""
FINISH_FETCH_SHARE: Final = 0.6
"""Share of the pieces from which a version is finished although a newer one has been named."""


class VersionKeeper:
    """Keeps the engine of ``watch`` at the newest version that can be had."""

    def __init__(
        self, mesh: Mesh, fleet_state: FleetState, turns: Turns, watch: EngineWatch, service: str
    ) -> None:
        self.mesh = mesh
        self.fleet_state = fleet_state
        self.turns = turns
        self.watch = watch
        self.service = service
        self.stagers: dict[tuple[str, int], Stager] = {}
        self.active: Stager | None = None
        self.stalled_until_s: dict[int, float] = {}

    async def run(self) -> None:
        """Bring the engine to what is wanted, for ever."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            traits = self.traits()
            if traits is None or not traits.models:
                continue
            if self.watch.report is None or self.watch.is_busy():
                continue
            model, held = traits.models[0], self.held(traits)
            target = self.target(model, held)
            if target == held:
                continue
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

    def traits(self) -> ModelTraits | None:
        """Return how the engine's service works; None while that is unknown."""
        configuration = self.fleet_state.configuration
        service = configuration.services.get(self.service) if configuration else None
        return service.model if service else None

    def held(self, traits: ModelTraits) -> int:
        """Return the version that the engine serves; 0 for none."""
        report = self.watch.report
        return whole_version(report.layers, traits.layers) if report else 0

    def target(self, model: str, held: int) -> int:
        """Return the version to bring the engine to.

        That is the newest one, unless its pieces have stopped coming and an older one can be had,
        or an older one is nearly there.
        """
        newer_versions = [
            it.version for it in self.fleet_state.versions.get(model, []) if it.version > held
        ]
        if not newer_versions:
            return held or FIRST_VERSION
        now_s = time.monotonic()
        ready = [it for it in newer_versions if self.stalled_until_s.get(it, 0.0) < now_s]
        active = self.active
        is_ready = active is not None and active.model == model and active.version in ready
        if active is not None and is_ready and active.share() >= FINISH_FETCH_SHARE:
            return active.version
        return max(ready or newer_versions)

    def stager(self, model: str, version: int, held: int) -> Stager:
        """Return the stager of a version with the pieces that have come so far.

        Those of versions older than the one that the engine holds are dropped.
        """
        self.stagers = {
            key: stager
            for key, stager in self.stagers.items()
            if stager.model == model and stager.version >= held
        }
        key = model, version
        if key not in self.stagers:
            self.stagers[key] = Stager(self.mesh, self.watch.engine, model, version)
        self.active = self.stagers[key]
        return self.active

    async def piece(self, model: str, version: int, number: int) -> bytes | None:
        """Return a piece of a version under way or held, which the caller has to verify."""
        known = self.stagers.get((model, version))
        if known is not None and number in known.pieces:
            return known.pieces[number]
        traits = self.traits()
        is_held = traits is not None and self.held(traits) == version
        return await self.watch.engine.staged(model, number) if is_held else None

    async def switch_to(self, model: str, version: int, traits: ModelTraits) -> None:
        """Fetch a version, stage it, and order it live when it is this engine's turn."""
        stager = self.stager(model, version, self.held(traits))
        stager.resume()
        fetching = asyncio.create_task(stager.fetch())
        try:
            if not await self.wait_for_turn(stager, fetching, traits):
                return
            if self.watch.report is None:
                return
            # The last thing before the order, as staged pieces may go bad at any time.
            if await stager.restage_bad() and await stager.restage_bad():
                return
            self.watch.set_switching(True)
            accepted = await self.watch.engine.start(model, version, preempt=True)
            decision("switch_ordered", model=model, version=version, accepted=accepted)
            await asyncio.sleep(SWITCH_POLL_S)
            await self.watch.read()
        finally:
            await end_task(fetching)
            self.watch.set_switching(False)

    async def wait_for_turn(
        self, stager: Stager, fetching: "asyncio.Task[None]", traits: ModelTraits
    ) -> bool:
        """Wait for the pieces and for this engine's turn, then let it finish what it runs.

        Return False where another version is to be brought instead; raise GypsumpierError where
        the pieces can't be had.
        """
        while True:
            if fetching.done():
                await fetching
            if self.target(stager.model, self.held(traits)) != stager.version:
                return False
            if self.is_stalled(stager, fetching, traits):
                until_s = time.monotonic() + STALL_PAUSE_S
                self.stalled_until_s[stager.version] = until_s
                decision("version_stalled", version=stager.version, fetched=len(stager.pieces))
                return False
            is_ready = fetching.done() or stager.estimated_remaining_s() < DRAIN_TIMEOUT_S
            if is_ready and not self.is_waiting_for_turn() and await self.drain(fetching):
                return True
            await asyncio.sleep(SWITCH_POLL_S)

    def is_waiting_for_turn(self) -> bool:
        """Tell whether the engine serves and its turn is still to come."""
        turn = self.turns.turn(self.service, self.watch.address)
        report = self.watch.report
        return turn is not None and bool(report and report.layers) and boot_time_s() < turn.at_s

    def is_stalled(
        self, stager: Stager, fetching: "asyncio.Task[None]", traits: ModelTraits
    ) -> bool:
        """Tell whether pieces have stopped coming and another version could be had instead."""
        if fetching.done() or stager.idle_s() < STALL_TIMEOUT_S:
            return False
        held = self.held(traits)
        named = self.fleet_state.versions.get(stager.model, [])
        return any(wanted.version > held and wanted.version != stager.version for wanted in named)

    async def drain(self, fetching: "asyncio.Task[None]") -> bool:
        """Send requests elsewhere until the engine is idle and the last pieces are there.

        Return False where pieces are still missing after a limited time; the engine goes on with
        what it holds then.
        """
        if self.watch.report is not None and self.watch.report.layers:
            self.watch.set_switching(True)
            until_s = time.monotonic() + DRAIN_TIMEOUT_S
            while time.monotonic() < until_s and (report := self.watch.report) and report.active:
                await asyncio.sleep(SWITCH_POLL_S)
        await asyncio.wait({fetching}, timeout=LAST_PIECES_TIMEOUT_S)
        if fetching.done():
            await fetching
            return True
        self.watch.set_switching(False)
        decision("drain_given_up", version=self.active.version if self.active else 0)
        return False
