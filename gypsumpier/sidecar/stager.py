"""Fetches the pieces of one version, stages them at the engine and verifies them.

Pieces are kept in memory, and staged as they arrive if their version owns the stage.  Staged pieces
may become corrupt, and the engine loads whatever is staged when it accepts the order to switch.  So
every piece is read back and compared with its digest just before the order, and again while the
order may still be accepted.
"""

import math
import time
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from gypsumpier.codes.weight import CHUNK_CORRUPT, CHUNK_UNAVAILABLE
from gypsumpier.errors import GypsumpierError
from gypsumpier.log import decision
from gypsumpier.mesh.mesh import ENTRY, Mesh
from gypsumpier.mesh.peer import Peer
from gypsumpier.piece.cache import PIECE, PIECE_LIST, SLICE_BYTES, log_corrected_digest
from gypsumpier.piece.engine import PieceList, is_intact
from gypsumpier.sidecar.stage import Stage
from gypsumpier.tasks import in_parallel

CONCURRENT_SLICES: Final = 2
"""Slices requested at once.  Requests to the engine share its slow link and queue behind them."""
REQUEST_TIMEOUT_S: Final = 2.5
"""Seconds for an entry to answer; it may have to fetch the piece from the origin first."""
ENGINES_PER_SOURCE: Final = 4
"""Engines of a zone to which one entry passes pieces on before another one does as well."""
CONCURRENT_READS: Final = 4
"""Staged pieces read back at once; the engine is on the same machine."""
ESTIMATE_VALID_S: Final = 0.25
"""Seconds without a piece, some four times the time of one, after which no estimate is valid."""


class Place(NamedTuple):
    """The rank of an engine among those of its service in its zone, from 0, and their number."""

    rank: int
    engine_count: int


ONLY_PLACE: Final = Place(0, 1)
"""The place of an engine that is alone."""


class Stager:
    """The transfer of one version of a model's weights to one engine, which stands at ``place``.

    ``pieces`` holds the verified pieces in memory.  ``remaining`` counts the pieces still to be
    fetched, None while that is unknown; ``fetched`` those fetched since ``fetch_started_at_s``.
    """

    def __init__(
        self,
        mesh: Mesh,
        stage: Stage,
        model: str,
        version: int,
        place: Callable[[], Place] = lambda: ONLY_PLACE,
    ) -> None:
        self.mesh = mesh
        self.place = place
        self.stage = stage
        self.engine = stage.engine
        self.model = model
        self.version = version
        self.digests: tuple[str, ...] = ()
        self.pieces: dict[int, bytes] = {}
        self.remaining: int | None = None
        self.fetched = 0
        self.fetch_started_at_s = time.monotonic()
        self.progress_at_s = self.fetch_started_at_s

    def share(self) -> float:
        """Return the share of the pieces that is in memory, from 0 to 1."""
        return len(self.pieces) / len(self.digests) if self.digests else 0.0

    def idle_s(self) -> float:
        """Return the seconds since the last piece arrived or the fetch was resumed."""
        return time.monotonic() - self.progress_at_s

    def resume(self) -> None:
        """Restart the idle time: no pieces were requested while the fetch was suspended."""
        self.progress_at_s = time.monotonic()
        self.remaining = None

    async def fetch(self) -> None:
        """Fetch and stage every missing piece; raise GypsumpierError on failure."""
        call_started_at_s = time.monotonic()
        self.resume()
        if not self.digests:
            self.digests = (await self.read_list()).digests
        wanted = [number for number in range(len(self.digests)) if number not in self.pieces]
        await self.load_staged(wanted)
        wanted = [number for number in wanted if number not in self.pieces]
        self.remaining, self.fetch_started_at_s = len(wanted), time.monotonic()
        self.fetched = 0
        await in_parallel(wanted, self.fetch_piece, CONCURRENT_SLICES)
        if wanted:
            decision(
                "pieces_fetched",
                model=self.model,
                version=self.version,
                fetched=len(wanted),
                took_s=round(time.monotonic() - call_started_at_s, 3),
            )

    async def load_staged(self, numbers: list[int]) -> None:
        """Load the pieces that are already staged at the engine and intact."""

        async def load(number: int) -> None:
            content = await self.engine.staged(self.model, number)
            if is_intact(content, self.digests[number]):
                self.pieces[number] = content

        await in_parallel(numbers, load, CONCURRENT_READS)

    async def fetch_piece(self, number: int) -> None:
        """Fetch one piece, verify and stage it; raise GypsumpierError where it is corrupt."""
        content = await self.fetch_slices(number)
        if not is_intact(content, self.digests[number]):
            await self.correct_digest(number, content)
        self.pieces[number] = content
        self.progress_at_s = time.monotonic()
        await self.stage.write(self.model, self.version, number, content)
        self.remaining = max(0, (self.remaining or 0) - 1)
        self.fetched += 1

    async def correct_digest(self, number: int, content: bytes) -> None:
        """Replace the digest of a piece by the one that it matches in the list as entries have it.

        Raises GypsumpierError with CHUNK_CORRUPT where it matches neither.
        """
        listed = await self.read_list()
        if not listed.matches(number, content):
            raise GypsumpierError(
                CHUNK_CORRUPT, f"piece {number} from an entry does not match its digest"
            )
        known = PieceList(self.model, self.version, self.digests)
        self.digests = known.with_digest_of(number, content).digests
        log_corrected_digest(self.model, self.version, number, "entries")

    async def read_list(self) -> PieceList:
        """Return the list of digests as the entries have it; raise GypsumpierError without one."""
        answer = await self.request(PIECE_LIST, {})
        digests = tuple(str(digest) for digest in answer["digests"])
        return PieceList(self.model, self.version, digests)

    def estimated_remaining_s(self) -> float:
        """Return an estimate of the seconds for the remaining pieces; infinity if unknown."""
        if self.remaining == 0:
            return 0.0
        if self.remaining is None or not self.fetched or self.idle_s() > ESTIMATE_VALID_S:
            return float("inf")
        return (time.monotonic() - self.fetch_started_at_s) / self.fetched * self.remaining

    async def fetch_slices(self, number: int) -> bytes:
        """Return one piece, fetched in slices; raise GypsumpierError on a malformed slice."""
        content = b""
        while True:
            wanted = {"number": number, "offset": len(content), "length": SLICE_BYTES}
            answer = await self.request(PIECE, wanted)
            found, size = answer.get("content"), answer.get("size")
            if not isinstance(found, bytes) or not found or not isinstance(size, int):
                raise GypsumpierError(
                    CHUNK_CORRUPT, f"malformed slice of piece {number} from an entry"
                )
            content += found
            if len(content) >= size:
                return content

    async def request(self, kind: str, payload: dict[str, Any]) -> dict[str, Any]:
        """Return the first answer of the entries, tried by rank.

        Raises GypsumpierError with CHUNK_UNAVAILABLE where no entry answers.
        """
        payload = payload | {"model": self.model, "version": self.version}
        for peer in self.entries():
            link = self.mesh.link(peer.name)
            if link is None:
                continue
            try:
                return await link.request(kind, payload, REQUEST_TIMEOUT_S)
            except (GypsumpierError, TimeoutError) as error:
                decision("piece_source_failed", peer=peer.name, kind=kind, reason=repr(error))
        raise GypsumpierError(
            CHUNK_UNAVAILABLE, f"no entry answered the request for {kind} {payload}"
        )

    def entries(self) -> list[Peer]:
        """Return the connected entries, those of the own zone first, then by name.

        The engines of a large zone draw from several of its entries by turns: the link of one would
        carry a copy for each of them.
        """
        place = self.place()
        local = self.mesh.peers(ENTRY, self.mesh.own.zone)
        first = place.rank % min(len(local), source_count(place.engine_count)) if local else 0
        others = [peer for peer in self.mesh.peers(ENTRY) if peer.zone != self.mesh.own.zone]
        return [*local[first : first + 1], *local[:first], *local[first + 1 :], *others]

    async def restage_bad(self) -> int:
        """Read every staged piece back and stage what is not intact again; return their number."""
        bad: list[int] = []

        async def check(number: int) -> None:
            content = await self.engine.staged(self.model, number)
            if not is_intact(content, self.digests[number]):
                bad.append(number)

        await in_parallel(list(range(len(self.digests))), check, CONCURRENT_READS)
        for number in bad:
            await self.stage.write(self.model, self.version, number, self.pieces[number])
        if bad:
            decision("staged_pieces_bad", model=self.model, version=self.version, numbers=bad)
        return len(bad)


def source_count(engine_count: int) -> int:
    """Return how many entries of a zone pass pieces on to so many engines.

    Each of them draws a copy from the first one, which therefore sends the fewest copies where
    their number is the square root of that of the engines.
    """
    return min(math.ceil(engine_count / ENGINES_PER_SOURCE), math.ceil(math.sqrt(engine_count)))
