"""The application of a sidecar: builds, starts and stops its parts."""

import asyncio
from typing import Any

from gypsumpier.codes.weight import CHUNK_UNAVAILABLE
from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.change import FleetSource
from gypsumpier.fleet.node import NodeSettings
from gypsumpier.fleet.state import FleetState
from gypsumpier.fleet.watcher import StoreWatcher
from gypsumpier.gateway.status import StatusServer, metrics_address
from gypsumpier.mesh.feed import FleetStateFeed
from gypsumpier.mesh.mesh import SIDECAR, Mesh
from gypsumpier.mesh.peer import Peer
from gypsumpier.options import Options
from gypsumpier.piece.cache import PIECE
from gypsumpier.piece.engine import Engine
from gypsumpier.piece.turns import SwitchSchedule
from gypsumpier.quarantine.quarantine import FIRST_REFUSAL_S, Quarantine
from gypsumpier.quarantine.share import QuarantineShare
from gypsumpier.sidecar.enginewatch import EngineWatch
from gypsumpier.sidecar.keeper import VersionKeeper
from gypsumpier.tasks import end_task
from gypsumpier.wire.tcp import TcpDialer


class SidecarApplication:
    """The sidecar process of one model engine."""

    def __init__(
        self, settings: NodeSettings, options: Options, source: FleetSource, engine: Engine
    ) -> None:
        assert settings.engine_address is not None
        self.settings = settings
        self.options = options
        self.engine = engine
        own = Peer(
            settings.name,
            SIDECAR,
            settings.zone,
            settings.region,
            settings.host,
            0,
            options.incarnation,
        )
        self.fleet_state = FleetState(source)
        self.mesh = Mesh(own, settings.seeds, TcpDialer())
        self.feed = FleetStateFeed(self.mesh, self.fleet_state)
        self.watcher = StoreWatcher(source, self.fleet_state, self.feed)
        self.status = StatusServer(lambda: True)
        self.watch = EngineWatch(self.mesh, engine, str(settings.engine_address))
        schedule = SwitchSchedule(self.fleet_state, settings.bounds.version_in_force_s)
        self.keeper = VersionKeeper(
            self.mesh, self.fleet_state, schedule, self.watch, settings.engine_service
        )
        # The entries of the zone may all restart at once and then know no suspect.
        self.quarantine_share = QuarantineShare(self.mesh, Quarantine(FIRST_REFUSAL_S))
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start every part."""
        self.status.listen_metrics(metrics_address(self.settings, self.options))
        self.mesh.request_handlers[PIECE] = self.answer_piece
        self.mesh.on_peer_connected.append(lambda link: self.watch.publish_state(force=True))
        self.mesh.start()
        self.watcher.start()
        for work in (self.watch.run(), self.keeper.run()):
            self.tasks.append(asyncio.create_task(work))

    async def stop(self) -> None:
        """Stop every part; the engine keeps serving the version that it has loaded."""
        for task in self.tasks:
            await end_task(task)
        # The next run of this process would know of no write that is still under way.
        await self.keeper.stage.finish_writes()
        await self.watcher.stop()
        await self.mesh.stop()
        self.engine.close()
        await self.status.stop()

    def reload(self, settings: NodeSettings) -> None:
        """Apply changed settings; new seeds take effect at once.

        Addresses stay as they were bound at the start, and the schedule of switches keeps the
        bounds of the start.
        """
        self.settings = settings
        self.mesh.seeds = settings.seeds

    async def answer_piece(self, peer: Peer, payload: dict[str, Any]) -> dict[str, Any]:
        """Answer an entry's request for a slice of a piece that this sidecar has.

        Raises GypsumpierError with CHUNK_UNAVAILABLE where it has no such piece.
        """
        model, version, number = payload["model"], payload["version"], int(payload["number"])
        content = await self.keeper.piece(str(model), int(version), number)
        if content is None:
            raise GypsumpierError(CHUNK_UNAVAILABLE, f"piece {number} of {model} {version}")
        offset, length = int(payload["offset"]), int(payload["length"])
        return {"content": content[offset : offset + length], "size": len(content)}
