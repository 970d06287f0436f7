"""The application of a sidecar."""

import asyncio
from typing import Final

from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.beliefs import Beliefs
from gypsumpier.fleet.change import FleetSource
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.node import Address, NodeSettings
from gypsumpier.fleet.service import ModelTraits
from gypsumpier.fleet.upstream import whole_version
from gypsumpier.fleet.watcher import StoreWatcher
from gypsumpier.gateway.loadshare import ENGINE
from gypsumpier.gateway.status import StatusServer
from gypsumpier.log import decision
from gypsumpier.mesh.feed import BeliefFeed
from gypsumpier.mesh.mesh import ENTRY, SIDECAR, Mesh
from gypsumpier.mesh.peer import Peer
from gypsumpier.piece.engine import Engine, EngineReport
from gypsumpier.piece.turns import Turns
from gypsumpier.sidecar.stager import Stager
from gypsumpier.tasks import end_task
from gypsumpier.upstream.enginestate import EngineState
from gypsumpier.wire.tcp import TcpDialer

POLL_S: Final = 0.2
"""Seconds between two reads of the engine's report, which is free on its own machine."""
SWITCH_POLL_S: Final = 0.05
"""Seconds between two reads while the engine switches, when every tenth of a second counts."""
REPEAT_S: Final = 1.0
"""Seconds after which an unchanged state is told again."""
FIRST_VERSION: Final = 1
"""The version that a model has before another one is named."""
DRAIN_S: Final = 0.25
"""Seconds for an engine to finish what it runs before the rest is cut and goes on elsewhere."""
RETRY_S: Final = 0.3
"""Seconds before pieces are fetched again after a failure."""


class SidecarApplication:
    """One process beside a model engine."""

    def __init__(
        self, settings: NodeSettings, run: str, source: FleetSource, engine: Engine
    ) -> None:
        assert settings.engine_address is not None
        self.settings = settings
        self.engine = engine
        self.address = str(settings.engine_address)
        own = Peer(settings.name, SIDECAR, settings.zone, settings.region, settings.host, 0, run)
        self.beliefs = Beliefs(source)
        self.mesh = Mesh(own, settings.seeds, TcpDialer())
        self.feed = BeliefFeed(self.mesh, self.beliefs)
        self.watcher = StoreWatcher(source, self.beliefs, self.feed.has_duty, self.feed.share)
        self.turns = Turns(self.beliefs, settings.bounds.version_in_force_s)
        self.status = StatusServer(lambda: True)
        self.report: EngineReport | None = None
        self.stager: Stager | None = None
        self.is_switching = False
        self.sequence = 0
        self.told: EngineState | None = None
        self.told_at_s = 0.0
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start every part."""
        self.status.listen_metrics(Address(self.settings.host, self.settings.last_port))
        self.mesh.on_peer.append(lambda link: self.tell(again=True))
        self.mesh.start()
        self.watcher.start()
        for work in (self.watch_engine(), self.keep_version()):
            self.tasks.append(asyncio.create_task(work))

    async def stop(self) -> None:
        """End every part; the engine goes on with what it has."""
        for task in self.tasks:
            await end_task(task)
        await self.watcher.stop()
        await self.mesh.stop()
        self.engine.close()
        await self.status.stop()

    def reload(self, settings: NodeSettings) -> None:
        """Take changed seeds and bounds; addresses stay as they were bound at the start."""
        self.settings = settings
        self.mesh.seeds = settings.seeds

    async def watch_engine(self) -> None:
        """Read the engine's report and tell the entries what has changed."""
        was_reachable = True
        while True:
            try:
                self.note_report(await self.engine.report())
                if not was_reachable:
                    decision("dependency_regained", dependency="engine", address=self.address)
                was_reachable = True
            except GypsumpierError as error:
                if was_reachable:
                    decision("dependency_lost", dependency="engine", reason=error.detail)
                was_reachable = False
                self.report = None
            await asyncio.sleep(SWITCH_POLL_S if self.is_switching_now() else POLL_S)

    def is_switching_now(self) -> bool:
        """Tell whether the engine starts nothing new at the moment."""
        return self.is_switching or (self.report is not None and self.report.is_busy)

    def note_report(self, report: EngineReport) -> None:
        """Take a report; an engine that has started anew holds nothing of before."""
        known = self.report
        if known is not None and known.started_ms != report.started_ms:
            decision("engine_restarted", address=self.address, started_ms=report.started_ms)
        self.report = report
        self.tell(again=False)

    def tell(self, again: bool) -> None:
        """Tell the entries the engine's state where it has changed or was told long ago."""
        report = self.report
        if report is None:
            return
        is_switching = self.is_switching_now()
        key = (is_switching, report.layers)
        told_key = (self.told.is_switching, self.told.layers) if self.told else None
        now_s = asyncio.get_running_loop().time()
        if key == told_key and now_s - self.told_at_s < REPEAT_S and not again:
            return
        self.sequence += 1
        self.told_at_s = now_s
        self.told = EngineState(
            self.address,
            self.mesh.own.run,
            self.sequence,
            is_switching,
            report.active,
            report.queued,
            report.layers,
        )
        self.mesh.post_all(self.mesh.peers(ENTRY), ENGINE, {"state": self.told.as_list()})
        if key != told_key:
            decision(
                "engine_state",
                address=self.address,
                is_switching=is_switching,
                layers=[tuple(part) for part in report.layers],
                active=report.active,
                queued=report.queued,
            )

    def traits(self) -> ModelTraits | None:
        """Return how the engine's service works; None while that is unknown."""
        configuration = self.beliefs.configuration
        if configuration is None:
            return None
        service = configuration.services.get(self.settings.engine_service)
        return service.model if service else None

    async def keep_version(self) -> None:
        """Bring the engine to the wanted version, for ever."""
        while True:
            await asyncio.sleep(POLL_S)
            traits = self.traits()
            if traits is None or self.report is None or not traits.models:
                continue
            model = traits.models[0]
            wanted = self.beliefs.versions.get(model)
            version = wanted.version if wanted else FIRST_VERSION
            held = whole_version(self.report.layers, traits.layers)
            if held == version or self.report.is_busy:
                continue
            try:
                await self.bring(model, version)
            except GypsumpierError as error:
                decision(
                    "version_failed",
                    model=model,
                    version=version,
                    code=error.code.number,
                    reason=error.detail,
                )
                await asyncio.sleep(RETRY_S)

    async def bring(self, model: str, version: int) -> None:
        """Stage a version and order it live when it is this engine's turn."""
        stager = self.stager
        if stager is None or (stager.model, stager.version) != (model, version):
            stager = self.stager = Stager(self.mesh, self.engine, model, version)
        fetching = asyncio.create_task(stager.fetch())
        try:
            await self.drain(stager, fetching)
            await fetching
            # The last thing before the order, as staged pieces may go bad at any time.
            if await stager.restore() and await stager.restore():
                return
            wanted = self.beliefs.versions.get(model)
            if wanted is None or wanted.version == version:
                accepted = await self.engine.start(model, version, preempt=True)
                decision("switch_ordered", model=model, version=version, accepted=accepted)
                await asyncio.sleep(SWITCH_POLL_S)
                self.report = await self.engine.report()
        finally:
            await end_task(fetching)
            self.is_switching = False
            self.tell(again=False)

    async def drain(self, stager: Stager, fetching: "asyncio.Task[None]") -> None:
        """Wait for this engine's turn, then let it finish what it runs, for a limited time.

        An engine that serves nothing yet has no turn and needs no drain.
        """
        turn = self.turns.turn(self.settings.engine_service, self.address)
        if turn is None or self.report is None or not self.report.layers:
            return
        while boot_time_s() < turn.at_s or (stager.left_s() > DRAIN_S and not fetching.done()):
            await asyncio.sleep(SWITCH_POLL_S)
        self.is_switching = True
        self.tell(again=False)
        until_s = boot_time_s() + DRAIN_S
        while boot_time_s() < until_s and (self.report is None or self.report.active):
            await asyncio.sleep(SWITCH_POLL_S)
