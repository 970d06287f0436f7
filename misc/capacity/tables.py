"""Costs of the tables and codecs that every process holds, from probes of the package's code."""

from pathlib import Path
from typing import Final

from misc.capacity import target
from misc.capacity.bench import url_of
from misc.capacity.probe import run_probe
from misc.capacity.slope import Point, Slope
from misc.fleet import Fleet

MEMBER_COUNTS: Final = (1548, 3095, 6190, 12380)
DOCUMENT_COUNTS: Final = (128, 256, 512, 1024)
DIGEST_SIZES_MB: Final = (8, 16, 32, 64)
FRAME_COUNTS: Final = (10_000, 20_000, 40_000, 80_000)
DECODER_COUNTS: Final = (16, 32, 64, 128)
SERVICE_COUNTS: Final = (8, 16, 32, 64)
KEY_COUNTS: Final = (4_000, 8_000, 16_000, 32_000)
# Keys stored at one home if every request has one and each is retained for an hour (3600 s).
RETAINED_KEYS: Final = target.REQUESTS_PER_S / target.WORKERS * 3600
# Documents of the whole fleet, at one service per about thirty workers.
DOCUMENTS: Final = 400
# Size of a version in the burst, for the time that a rollout spends on digests.
VERSION_MB: Final = 1000

Costs = dict[int, dict[str, float]]


async def measure_tables(directory: Path) -> list[Slope]:
    """Run every probe at every size."""
    members = await member_costs(directory)
    documents = {n: await run_probe("documents", n) for n in DOCUMENT_COUNTS}
    digests = {n: await run_probe("digest", n) for n in DIGEST_SIZES_MB}
    frames = {n: await run_probe("frames", n) for n in FRAME_COUNTS}
    keys = {n: await run_probe("keys", n) for n in KEY_COUNTS}
    plans = {n: await run_probe("plan", n) for n in SERVICE_COUNTS}
    decoders = {n: await run_probe("decoders", n) for n in DECODER_COUNTS}
    held, links = target.CONTROL_MEMORY_BYTES, target.ENTRY_LINKS
    return [
        *member_slopes(members),
        slope("planned_links", "links", "services", plans, "links", target.SERVICES, None),
        slope("decoder_memory", "B", "links", decoders, "held_bytes", links, held),
        slope("key_memory", "B", "keys", keys, "held_bytes", RETAINED_KEYS, held),
        slope("document_memory", "B", "documents", documents, "held_bytes", DOCUMENTS, held),
        slope("document_change_cpu", "s", "documents", documents, "change_s", DOCUMENTS, None),
        slope("digest_cpu", "s", "MB", digests, "digest_s", VERSION_MB, target.ROLLOUT_S),
        slope(
            "frame_codec_cpu",
            "core",
            "tokens/s",
            frames,
            "codec_s",
            target.TOKENS_PER_ENTRY_S,
            target.WHOLE_CORE,
        ),
    ]


async def member_costs(directory: Path) -> Costs:
    """Run the probe of the member list, with a fresh stand-in for each size."""
    costs: Costs = {}
    for size in MEMBER_COUNTS:
        async with Fleet(directory) as fleet:
            membership = await fleet.start_standin("membership", "membership")
            costs[size] = await run_probe("members", size, url_of(membership))
    return costs


def member_slopes(costs: Costs) -> list[Slope]:
    """Return the slopes of the member list, at one poll a second."""
    core, wire = target.CONTROL_CORE_SHARE, target.CONTROL_BYTES_PER_S
    held, size = target.CONTROL_MEMORY_BYTES, target.MEMBERS
    return [
        slope("member_poll_cpu", "core", "members", costs, "poll_s", size, core),
        slope("member_poll_wire", "B/s", "members", costs, "poll_bytes", size, wire),
        slope("member_change_cpu", "s", "members", costs, "changed_s", size, None),
        slope("member_change_wire", "B", "members", costs, "changed_bytes", size, None),
        slope("member_memory", "B", "members", costs, "held_bytes", size, held),
    ]


def slope(
    name: str,
    unit: str,
    size_unit: str,
    costs: Costs,
    cost: str,
    target_size: float,
    limit: float | None,
) -> Slope:
    """Return the slope of one of the costs that the probes reported."""
    points = [Point(size, found[cost]) for size, found in costs.items()]
    return Slope(name, unit, size_unit, points, target_size, limit)
