"""Entries and a sidecar that pass on pieces of weights, before a fake origin."""

from gypsumpier.mesh.peer import Peer
from gypsumpier.piece.cache import PieceCache
from gypsumpier.sidecar.stager import Stager
from gypsumpier.test.builders_platform import configuration_record, fleet_state_of
from gypsumpier.test.fakes_piece import (
    PIECES,
    FakeEngine,
    FakeMesh,
    FakeOrigin,
    cache_of,
    entry_peer,
    owned_stage,
    piece_of,
)

ENTRIES = ("bac-a", "bac-a", "nam-a", "nam-a")


class PieceFleet:
    """Four entries in two zones and one sidecar in nam-a; the origin is in the first zone."""

    def __init__(self) -> None:
        self.network: dict[str, FakeMesh] = {}
        self.origin = FakeOrigin()
        self.engine = FakeEngine()
        self.fleet_state = fleet_state = fleet_state_of(configuration_record())
        self.meshes: list[FakeMesh] = []
        self.caches: list[PieceCache] = []
        for number, zone in enumerate(ENTRIES):
            mesh = FakeMesh(entry_peer(f"front-{zone}-{number}", zone), self.network)
            self.meshes.append(mesh)
            self.caches.append(cache_of(mesh, fleet_state, self.origin))
        own = Peer("side-nam-a-1", "sidecar", "nam-a", "nam", "127.0.0.1", 0, "run")
        self.sidecar = FakeMesh(own, self.network)

    def stager(self, version: int = 2, model: str = "m") -> Stager:
        """Return the stager of a version at the sidecar's engine."""
        stage = owned_stage(self.engine, model, version)
        return Stager(self.sidecar, stage, model, version)  # type: ignore[arg-type]

    def is_staged(self, version: int = 2) -> bool:
        """Return whether exactly that version is staged at the engine."""
        return self.engine.pieces == {number: piece_of(version, number) for number in range(PIECES)}
