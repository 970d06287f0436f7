"""Cache of pieces of weights on an entry: fetched once from the origin and sent to sidecars.

The first entry by name of each availability zone fetches from the first entry of the origin's zone,
which fetches from the origin; the other entries of a zone fetch from its first one.  Entries are
ranked by name and no leader is elected: an entry that does not answer in time is skipped.

A list of digests may be corrupt.  A piece that does not match its digest, from a source that has
verified it, casts doubt on the list: the source's list is read, and the digest that the piece
matches replaces the known one.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Any, Final

from prometheus_client import Counter

from gypsumpier.codes.weight import CHUNK_CORRUPT
from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.state import FleetState
from gypsumpier.log import decision
from gypsumpier.mesh.mesh import ENTRY, Mesh
from gypsumpier.mesh.peer import Peer
from gypsumpier.metrics import REGISTRY
from gypsumpier.piece.engine import PieceList, PieceOrigin, is_intact
from gypsumpier.piece.originfetcher import ORIGIN_CONCURRENCY, OriginFetcher
from gypsumpier.tasks import in_parallel

PIECE: Final = "piece"
PIECE_LIST: Final = "piece_list"
SLICE_BYTES: Final = 8 * 1024
"""Bytes of a slice: 17 ms of transfer on a link of 3.8 Mbit/s, longer than the round trip."""
MAX_HOLDERS_TRIED: Final = 2
"""Sidecars that hold a piece and are tried before other sources."""
REQUEST_TIMEOUT_S: Final = 1.5
"""Seconds for a peer to answer; the origin needs about 0.2 s for the pieces requested at once."""
NEWLY_NAMED_S: Final = 1.0
"""Age in seconds up to which a version counts as newly named."""
DISCOVERY_WAIT_S: Final = 1.0
"""Seconds after the start for which an entry without peers waits before it uses the origin."""
DISCOVERY_POLL_S: Final = 0.05
"""Seconds between checks for peers during that wait."""
KEPT_VERSIONS: Final = 3
"""Versions of a model that are kept: the one being replaced and its next successors."""
WHOLE_COPY_ENTRIES: Final = 2
"""Entries of the origin's zone that keep a whole copy of a newly named version."""
ALL_PIECES: Final = -2
"""Piece number in the task key of a prefetch of a whole version."""

FETCHED_BYTES: Final = Counter(
    "gypsumpier_piece_bytes", "Bytes of pieces taken, by source.", ["source"], registry=REGISTRY
)

CORRECTED_DIGESTS: Final = Counter(
    "gypsumpier_corrected_digests",
    "Digests of pieces that were corrupt in a list and were replaced.",
    registry=REGISTRY,
)

PieceKey = tuple[str, int, int]


class PieceCache:
    """Pieces by model, version and number.

    ``fetch_tasks`` holds the running fetches, so that concurrent requests for one key share one.
    ``holders`` returns the sidecars of the own zone that hold a version.
    """

    def __init__(
        self,
        mesh: Mesh,
        fleet_state: FleetState,
        dial_origin: Callable[[str, int], PieceOrigin],
        holders: Callable[[str, int], list[Peer]],
    ) -> None:
        self.mesh = mesh
        self.fleet_state = fleet_state
        self.origin_fetcher = OriginFetcher(fleet_state, dial_origin)
        self.holders = holders
        self.started_at_s = time.monotonic()
        self.lists: dict[tuple[str, int], PieceList] = {}
        self.pieces: dict[PieceKey, bytes] = {}
        self.fetch_tasks: dict[tuple[str, int, int], asyncio.Task[Any]] = {}
        self.holder_locks: dict[str, asyncio.Lock] = {}
        mesh.request_handlers[PIECE] = self.answer_piece
        mesh.bulk_kinds.add(PIECE)
        mesh.request_handlers[PIECE_LIST] = self.answer_list

    async def answer_list(self, peer: Peer, payload: dict[str, Any]) -> dict[str, Any]:
        """Answer a peer's request for the digests of a version."""
        found = await self.piece_list(str(payload["model"]), int(payload["version"]))
        return {"digests": list(found.digests)}

    async def answer_piece(self, peer: Peer, payload: dict[str, Any]) -> dict[str, Any]:
        """Answer a peer's request for a piece, or for ``length`` bytes of it from ``offset``."""
        key = str(payload["model"]), int(payload["version"]), int(payload["number"])
        content = await self.piece(*key)
        if "offset" not in payload:
            return {"content": content, "size": len(content)}
        offset, length = int(payload["offset"]), int(payload["length"])
        return {"content": content[offset : offset + length], "size": len(content)}

    async def piece_list(self, model: str, version: int) -> PieceList:
        """Return the digests of a version; raise GypsumpierError where no source has them."""
        if (model, version) in self.lists:
            return self.lists[model, version]
        found: PieceList = await self.run_once(
            (model, version, -1), self.fetch_list(model, version)
        )
        self.lists[model, version] = found
        self.evict_old_versions(model)
        return found

    async def piece(self, model: str, version: int, number: int) -> bytes:
        """Return one verified piece; raise GypsumpierError where no source has it."""
        key = model, version, number
        if key not in self.pieces:
            found: bytes = await self.run_once(key, self.fetch_piece(model, version, number))
            self.pieces[key] = found
        return self.pieces[key]

    async def run_once(self, key: PieceKey, work: Any) -> Any:
        """Run the work, or wait for the task that already runs for the key; return its result."""
        task = self.fetch_tasks.get(key)
        if task is None:
            task = self.start_task(key, work)
        else:
            work.close()
        return await asyncio.shield(task)

    def start_task(self, key: PieceKey, work: Any) -> "asyncio.Task[Any]":
        """Start a task for the work and register it under the key while it runs."""
        task = asyncio.create_task(work)
        self.fetch_tasks[key] = task
        task.add_done_callback(lambda _: self.fetch_tasks.pop(key, None))
        return task

    def prefetch_new_versions(self) -> None:
        """Start to prefetch every piece of newly named versions, if this entry keeps whole copies.

        The origin may go down a moment later, and sidecars request pieces no faster than their
        links allow.  A version that was named earlier is fetched on demand: after a restart of all
        processes no entry knows the others yet, and each would fetch a whole copy over the one slow
        link of the origin.
        """
        if not self.keeps_whole_copies():
            return
        newly_named_from_s = boot_time_s() - NEWLY_NAMED_S
        for model, named in self.fleet_state.versions.items():
            newest = named[-1]
            key = model, newest.version, ALL_PIECES
            is_new = key[:2] not in self.lists and key not in self.fetch_tasks
            if is_new and newest.learned_at_s > newly_named_from_s:
                self.start_task(key, self.prefetch_all(model, newest.version))

    def keeps_whole_copies(self) -> bool:
        """Return whether this entry is known to be one of the first of the origin's zone.

        The first fetches from the origin and the next one from the first, so that no piece is lost
        when one of them stops.
        """
        configuration = self.fleet_state.configuration
        origin_config = configuration.origin() if configuration else None
        own = self.mesh.own
        if origin_config is None or own.zone != origin_config.zone or not self.mesh.peers(ENTRY):
            return False
        own_zone_entries = [peer for peer in self.mesh.peers(ENTRY) if peer.zone == own.zone]
        return own in sorted([own, *own_zone_entries])[:WHOLE_COPY_ENTRIES]

    async def prefetch_all(self, model: str, version: int) -> None:
        """Fetch every piece of a version; after a failure, pieces are fetched on demand."""
        began_s = time.monotonic()
        try:
            found = await self.piece_list(model, version)

            async def fetch(number: int) -> None:
                await self.piece(model, version, number)

            # As many at once as the origin's concurrency limit: with a longer queue the answers to
            # other entries would take longer than their request timeout.
            await in_parallel(range(len(found.digests)), fetch, ORIGIN_CONCURRENCY)
        except GypsumpierError as error:
            decision("version_not_drawn", model=model, version=version, reason=error.detail)
            return
        took_s = round(time.monotonic() - began_s, 3)
        decision("version_drawn", model=model, version=version, took_s=took_s)

    async def fetch_list(self, model: str, version: int) -> PieceList:
        """Return a version's digests from the other entries by rank, else from the origin."""
        for peer in self.source_entries():
            found = await self.list_of(peer, model, version)
            if found is not None:
                return found
        return await self.origin_fetcher.piece_list(model, version)

    async def list_of(self, peer: Peer, model: str, version: int) -> PieceList | None:
        """Return the digests that a peer has; None where it does not answer with such a list."""
        answer = await self.request_from(peer, PIECE_LIST, {"model": model, "version": version})
        if answer is None:
            return None
        found = PieceList(model, version, tuple(str(digest) for digest in answer["digests"]))
        return found if found.is_well_formed() else None

    async def fetch_piece(self, model: str, version: int, number: int) -> bytes:
        """Return a piece from sidecars, other entries by rank or the origin; verify its digest."""
        found = await self.piece_list(model, version)
        if not 0 <= number < len(found.digests):
            raise GypsumpierError(CHUNK_CORRUPT, f"no piece {number} of {model} {version}")
        payload = {"model": model, "version": version, "number": number}
        content = await self.fetch_from_sidecars(payload, found.digests[number])
        if content is not None:
            return content
        await self.wait_for_entries()
        for peer in self.source_entries():
            content = await self.fetch_from_entry(peer, found, number)
            if content is not None:
                FETCHED_BYTES.labels("peer").inc(len(content))
                return content

        piece = await self.origin_fetcher.piece(model, version, number, found.digests[number])
        if piece.is_corrected:
            self.correct_list(found, number, piece.content, "origin")
        FETCHED_BYTES.labels("origin").inc(len(piece.content))
        return piece.content

    async def fetch_from_entry(self, peer: Peer, known: PieceList, number: int) -> bytes | None:
        """Return a piece from another entry; None where it has none that matches a digest.

        The entry has verified it with its own list, which decides where the known one differs.
        """
        payload = {"model": known.model, "version": known.version, "number": number}
        answer = await self.request_from(peer, PIECE, payload)
        content = answer.get("content") if answer else None
        if not isinstance(content, bytes) or known.matches(number, content):
            return content if isinstance(content, bytes) else None
        listed = await self.list_of(peer, known.model, known.version)
        if listed is None or not listed.matches(number, content):
            return None
        self.correct_list(known, number, content, peer.name)
        return content

    def correct_list(self, known: PieceList, number: int, content: bytes, source: str) -> None:
        """Replace the digest of a piece that matches its digest in another reading of the list."""
        key = known.model, known.version
        self.lists[key] = self.lists.get(key, known).with_digest_of(number, content)
        CORRECTED_DIGESTS.inc()
        log_corrected_digest(known.model, known.version, number, source)

    async def fetch_from_sidecars(self, payload: dict[str, Any], digest: str) -> bytes | None:
        """Return a piece that a sidecar of the own zone has staged; None where none has it.

        The responses of a sidecar's engine share its slow link, so slices are requested from a
        sidecar one at a time.
        """
        holders = self.holders(payload["model"], payload["version"])
        for peer in holders[payload["number"] % max(1, len(holders)) :][:MAX_HOLDERS_TRIED]:
            content = await self.fetch_slices(peer, payload)
            if is_intact(content, digest):
                FETCHED_BYTES.labels("sidecar").inc(len(content))
                return content
        return None

    async def fetch_slices(self, peer: Peer, payload: dict[str, Any]) -> bytes:
        """Return a piece fetched from a sidecar in slices; truncated where an answer fails."""
        content = b""
        lock = self.holder_locks.setdefault(peer.name, asyncio.Lock())
        while True:
            async with lock:
                wanted = payload | {"offset": len(content), "length": SLICE_BYTES}
                answer = await self.request_from(peer, PIECE, wanted)
            found = answer.get("content") if answer else None
            if not isinstance(found, bytes) or not found:
                return content
            content += found
            if answer is None or len(content) >= int(answer["size"]):
                return content

    async def wait_for_entries(self) -> None:
        """Wait after the start until another entry is connected, as it may have the piece."""
        until_s = self.started_at_s + DISCOVERY_WAIT_S
        while not self.mesh.peers(ENTRY) and time.monotonic() < until_s:
            await asyncio.sleep(DISCOVERY_POLL_S)

    async def request_from(
        self, peer: Peer, kind: str, payload: dict[str, Any]
    ) -> dict[str, Any] | None:
        """Return a peer's answer; None where it is not connected, or, logged, where it fails."""
        link = self.mesh.link(peer.name)
        if link is None:
            return None
        try:
            return await link.request(kind, payload, REQUEST_TIMEOUT_S)
        except (GypsumpierError, TimeoutError) as error:
            decision("piece_source_failed", peer=peer.name, kind=kind, reason=repr(error))
            return None

    def source_entries(self) -> list[Peer]:
        """Return the entries to try before the origin, by rank."""
        own = self.mesh.own
        configuration = self.fleet_state.configuration
        origin_config = configuration.origin() if configuration else None
        entries = sorted([own, *self.mesh.peers(ENTRY)])
        own_zone_entries = [peer for peer in entries if peer.zone == own.zone]
        origin_zone_entries = [
            peer for peer in entries if origin_config and peer.zone == origin_config.zone
        ] or entries
        if own == origin_zone_entries[0]:
            return []
        if own == own_zone_entries[0]:
            return [peer for peer in origin_zone_entries[:2] if peer != own]
        return [peer for peer in (own_zone_entries[0], origin_zone_entries[0]) if peer != own]

    def evict_old_versions(self, model: str) -> None:
        """Evict all but the newest ``KEPT_VERSIONS`` versions of the model."""
        versions = sorted(version for name, version in self.lists if name == model)
        for version in versions[:-KEPT_VERSIONS]:
            del self.lists[model, version]
            for key in [key for key in self.pieces if key[:2] == (model, version)]:
                del self.pieces[key]

    def close(self) -> None:
        """Cancel the running fetches and release the clients of the origin."""
        for task in list(self.fetch_tasks.values()):
            task.cancel()
        self.origin_fetcher.close()


def log_corrected_digest(model: str, version: int, number: int, source: str) -> None:
    """Log that the digest of a piece was corrupt in the known list."""
    decision("piece_digest_corrected", model=model, version=version, number=number, source=source)
