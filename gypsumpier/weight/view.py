"""The state of one version's transfer at one agent, as the administration API shows it."""

from typing import NamedTuple


class TransferView(NamedTuple):
    """The state of one version at one agent, for the administration API.

    ``phase`` is one of the constants of gypsumpier.weight.phase.  Bytes are those received since
    the transfer began, by source; ``wasted_bytes`` were duplicate or corrupt.  ``reason`` holds the
    last failure with its result code, or is empty.
    """

    model: str
    version: str
    digest: str
    revision: int
    phase: str
    chunks: int
    chunks_held: int
    size_bytes: int
    from_store_bytes: int
    from_origin_bytes: int
    from_region_bytes: int
    from_other_regions_bytes: int
    wasted_bytes: int
    corrupt_chunks: int
    peers: int
    started_wall_s: float
    live_wall_s: float | None
    live_by_wall_s: float | None
    reason: str
