"""Rehearses a rollout in virtual time: the agents' own code, with fakes around it, in one process.

``python -m misc.weights.rehearsal --region bac=100`` for a burst, ``--region bac=2 --region
trung=2 --region nam=2`` for a deployment.  Links have the brief's ratios; nothing of the machine's
load shows, so the figures are the same on every run.  The last line is one JSON object.
"""

import json
from typing import Any, Final

import click

from gypsumpier.test.fleet import CHUNK_BYTES, Fleet
from gypsumpier.test.virtual import run
from misc.weights.scale import Scale

WINDOW_S: Final = 48.0
DIGITS: Final = 3


async def rehearse(regions: dict[str, int], chunks: int, seed: int) -> dict[str, Any]:
    """Roll a version out and return the figures."""
    scale = scale_of(regions, chunks)
    fleet = Fleet(
        regions,
        seed=seed,
        store_rate=scale.origin_bytes_per_s,
        store_region=next(iter(regions)),
        link_bytes_per_s=scale.link_bytes_per_s,
        region_link_bytes_per_s=scale.region_link_bytes_per_s,
    )
    fleet.publish("v1", scale.size_bytes)
    await fleet.start()
    fleet.name("v1")
    seconds = await fleet.wait_live("v1")
    views = [view for agent in fleet.agents for view in agent.rollout.transfers()]
    wasted = sum(view.wasted_bytes for view in views)
    await fleet.stop()
    return {
        "regions": regions,
        "chunks": chunks,
        "seconds_to_all": round(seconds, DIGITS),
        "floor_seconds": round(scale.floor_s(), DIGITS),
        "ratio_to_floor": round(seconds / scale.floor_s(), DIGITS),
        "origin_copies": round(fleet.store.bytes_read / scale.size_bytes, DIGITS),
        "wasted_copies": round(wasted / scale.size_bytes, DIGITS),
        "partial_or_mixed_loads": fleet.bad_loads(),
    }


def scale_of(regions: dict[str, int], chunks: int) -> Scale:
    """Return a scale whose links between regions need as long as the machines' links."""
    size_bytes = chunks * CHUNK_BYTES
    incoming = max(1, len(regions) - 1)
    region_link = round(2 * size_bytes / WINDOW_S / incoming)
    return Scale(size_bytes, CHUNK_BYTES, WINDOW_S, region_link, len(regions))


@click.command()
@click.option("--region", "regions", multiple=True, required=True, help="REGION=AGENTS")
@click.option("--chunks", default=256)
@click.option("--seed", default=1)
def main(regions: tuple[str, ...], chunks: int, seed: int) -> None:
    """Rehearse one rollout."""
    pairs = (text.partition("=") for text in regions)
    counts = {name: int(count) for name, _, count in pairs}
    print(json.dumps(run(rehearse(counts, chunks, seed))))


if __name__ == "__main__":
    main()
