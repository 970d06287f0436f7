"""Fakes for the transfer of weight pieces: an engine, an origin and an in-memory mesh."""

import asyncio
import hashlib
import random
from collections.abc import Callable
from typing import Any

from gypsumpier.codes.platform import PLATFORM_UNREACHABLE
from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.state import FleetState
from gypsumpier.fleet.upstream import LoadedLayers
from gypsumpier.mesh.peer import Peer
from gypsumpier.piece.cache import PieceCache
from gypsumpier.piece.engine import Engine, EngineReport, PieceList, PieceOrigin, SwitchOrder
from gypsumpier.sidecar.stage import Stage
from gypsumpier.test.builders_platform import LAYERS

PIECES = 16
PIECE_BYTES = 20_000


def piece_of(version: int, number: int) -> bytes:
    """Return a piece's bytes."""
    return random.Random(f"{version}/{number}").randbytes(PIECE_BYTES)


def list_of(model: str, version: int) -> PieceList:
    """Return the digests of a version."""
    digests = [hashlib.sha256(piece_of(version, n)).hexdigest() for n in range(PIECES)]
    return PieceList(model, version, tuple(digests))


def owned_stage(engine: Engine, model: str, version: int) -> Stage:
    """Return the stage of an engine at which pieces of that version may be staged."""
    stage = Stage(engine)
    stage.claim(model, version)
    return stage


def entry_peer(name: str, zone: str) -> Peer:
    """Return an entry as a peer."""
    return Peer(name, "entry", zone, zone.split("-")[0], "127.0.0.1", 1, "run")


class FakeEngine:
    """An engine; pieces in ``corrupt_when_staged`` are corrupted once each, when staged."""

    def __init__(self) -> None:
        self.pieces: dict[int, bytes] = {}
        self.corrupt_when_staged: set[int] = set()
        self.loaded: list[dict[int, bytes]] = []
        self.version = 0

    async def report(self) -> EngineReport:
        layers = (LoadedLayers("m", self.version, 0, LAYERS),) if self.version else ()
        return EngineReport(layers, False, len(self.loaded), 0, 0, 1, 1.0)

    async def stage(self, model: str, number: int, content: bytes) -> None:
        corrupts = number in self.corrupt_when_staged
        self.corrupt_when_staged.discard(number)
        self.pieces[number] = b"rotten" if corrupts else content

    async def staged(self, model: str, number: int) -> bytes | None:
        return self.pieces.get(number)

    async def start(self, order: SwitchOrder) -> bool:
        if order.after_orders != len(self.loaded):
            return False
        self.loaded.append(dict(self.pieces))
        self.version = order.version
        return True

    def close(self) -> None:
        return None


class LateEngine(FakeEngine):
    """An engine that carries out an order ``late_s`` seconds after it has accepted it."""

    def __init__(self, late_s: float) -> None:
        super().__init__()
        self.late_s = late_s

    async def start(self, order: SwitchOrder) -> bool:
        if order.after_orders != len(self.loaded):
            return False
        self.loaded.append(dict(self.pieces))
        asyncio.get_running_loop().call_later(self.late_s, self.finish, order.version)
        return True

    def finish(self, version: int) -> None:
        """Serve the version from now on."""
        self.version = version


class FakeOrigin:
    """The origin; pieces in ``bad`` are served corrupt once each, and ``down`` fails every call.

    The next lists of digests are those that the functions in ``list_faults`` make of the right one.
    """

    def __init__(self) -> None:
        self.fetched_pieces: list[int] = []
        self.lists_read = 0
        self.bad: set[int] = set()
        self.list_faults: list[Callable[[PieceList], PieceList]] = []
        self.down = False

    async def piece_list(self, model: str, version: int) -> PieceList:
        self.check()
        self.lists_read += 1
        found = list_of(model, version)
        return self.list_faults.pop(0)(found) if self.list_faults else found

    async def piece(self, model: str, version: int, number: int) -> bytes:
        self.check()
        self.fetched_pieces.append(number)
        if number in self.bad:
            self.bad.discard(number)
            return b"corrupt"
        return piece_of(version, number)

    def check(self) -> None:
        """Raise GypsumpierError while the origin is down."""
        if self.down:
            raise GypsumpierError(PLATFORM_UNREACHABLE, "down")

    def close(self) -> None:
        return None


class FakeMesh:
    """One process's view of an in-memory network; requests to peers in ``cut`` time out."""

    def __init__(self, own: Peer, network: "dict[str, FakeMesh]") -> None:
        self.own = own
        self.network = network
        self.request_handlers: dict[str, Any] = {}
        self.bulk_kinds: set[str] = set()
        self.cut: set[str] = set()
        self.requested_peers: list[str] = []
        network[own.name] = self

    def peers(self, role: str = "entry", zone: str = "") -> list[Peer]:
        found = [mesh.own for mesh in self.network.values() if mesh is not self]
        return sorted(
            peer for peer in found if peer.role == role and (not zone or peer.zone == zone)
        )

    def link(self, name: str) -> "FakeLink | None":
        found = self.network.get(name)
        return FakeLink(self, found) if found else None


class FakeLink:
    """A link that calls the request handlers of another process directly."""

    def __init__(self, mesh: FakeMesh, other: FakeMesh) -> None:
        self.mesh = mesh
        self.other = other

    async def request(self, kind: str, payload: dict[str, Any], timeout_s: float) -> dict[str, Any]:
        self.mesh.requested_peers.append(self.other.own.name)
        if self.other.own.name in self.mesh.cut:
            raise TimeoutError
        answer: dict[str, Any] = await self.other.request_handlers[kind](self.mesh.own, payload)
        return answer


def cache_of(mesh: FakeMesh, fleet_state: FleetState, origin: PieceOrigin) -> PieceCache:
    """Return the piece cache of an entry."""
    return PieceCache(
        mesh, fleet_state, lambda host, port: origin, lambda model, version: []  # type: ignore[arg-type]
    )
