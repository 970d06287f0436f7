"""Finds the version that an earlier run of this process may have ordered its engine to load.

The order of a run that has ended may still be accepted, and only the staged pieces tell of it: they
are left alone for as long as it may be.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

from gypsumpier.codes.weight import CHUNK_UNAVAILABLE
from gypsumpier.errors import GypsumpierError
from gypsumpier.log import decision
from gypsumpier.piece.engine import PieceList, digest_of
from gypsumpier.sidecar.stager import CONCURRENT_READS, Stager
from gypsumpier.tasks import in_parallel

INTACT_SHARE_MIN: Final = 0.5
"""Share of the staged pieces that must match a version for it to be the ordered one; the others may
have become corrupt."""

LIST_TIMEOUT_S: Final = 1.0
"""Seconds to read the digests of one version; no process may have them, or the origin be down."""
LIST_ATTEMPTS: Final = 2
"""Attempts to read the digests of one version."""


async def inherited_version(
    stager_of: Callable[[int], Stager], versions: Iterable[int], piece_count: int
) -> int | None:
    """Return the version of which all pieces were staged; None if there is none or it is unknown.

    ``versions`` are those to compare with; the digests of some may not be had.  Pieces of a second
    version show that the first one's order was no longer pending.  Raises GypsumpierError where the
    staged pieces or all lists can't be read.
    """
    staged: list[str] = []
    matches: dict[int, set[int]] = {}
    for version in versions:
        stager = stager_of(version)
        staged = staged or await staged_digests(stager, piece_count)
        if not staged:
            return None
        listed = await read_list(stager)
        if listed is None:
            continue
        pairs = enumerate(zip(listed.digests, staged, strict=False))
        stager.digests = stager.digests or listed.digests
        matches[version] = {number for number, (digest, found) in pairs if digest.lower() == found}
        if len(matches[version]) >= INTACT_SHARE_MIN * piece_count:
            is_only_one = all(other <= matches[version] for other in matches.values())
            return version if is_only_one else None
    if not matches:
        raise GypsumpierError(CHUNK_UNAVAILABLE, "no list of digests to compare with")
    return None


async def read_list(stager: Stager) -> PieceList | None:
    """Return the digests of a version; None where no attempt succeeds."""
    for _ in range(LIST_ATTEMPTS):
        try:
            async with asyncio.timeout(LIST_TIMEOUT_S):
                return await stager.read_list()
        except (GypsumpierError, TimeoutError) as error:
            decision("staged_version_unread", version=stager.version, reason=repr(error))
    return None


async def staged_digests(stager: Stager, piece_count: int) -> list[str]:
    """Return the digest of each staged piece; an empty list if any is missing."""
    digests: dict[int, str] = {}

    async def read(number: int) -> None:
        content = await stager.engine.staged(stager.model, number)
        if content is not None:
            digests[number] = digest_of(content)

    await in_parallel(range(piece_count), read, CONCURRENT_READS)
    return [digests[number] for number in sorted(digests)] if len(digests) == piece_count else []
