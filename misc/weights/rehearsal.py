"""Simulates a rollout in virtual time: the real agent code in one process, with fakes around it.

``python -m misc.weights.rehearsal --region bac=100`` for a burst, ``--region bac=2 --region
trung=2 --region nam=2`` for a deployment.  Links have the ratios of misc/weights/scale.py.  The
machine's load has no influence, so the figures are the same on every run.  The last line is one
JSON object.
"""

import json
from typing import Any, Final

import click

from gypsumpier.test.fleet import CHUNK_BYTES, Fleet
from gypsumpier.test.virtual import run
from misc.weights.scale import Scale

WINDOW_S: Final = 48.0
DIGITS: Final = 3


async def simulate_rollout(regions: dict[str, int], chunks: int, seed: int) -> dict[str, Any]:
    """Simulate the rollout of one version and return the figures."""
    scale = make_scale(regions, chunks)
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


def make_scale(regions: dict[str, int], chunks: int) -> Scale:
    """Return a scale whose inter-region links take as long as the machines' links.

    They need WINDOW_S for two copies, spread over the incoming links of a region.
    """
    size_bytes = chunks * CHUNK_BYTES
    incoming = max(1, len(regions) - 1)
    region_link = round(2 * size_bytes / WINDOW_S / incoming)
    return Scale(size_bytes, CHUNK_BYTES, WINDOW_S, region_link, len(regions))


@click.command()
@click.option("--region", "regions", multiple=True, required=True, help="REGION=AGENTS")
@click.option("--chunks", default=256)
@click.option("--seed", default=1)
def main(regions: tuple[str, ...], chunks: int, seed: int) -> None:
    """Simulate one rollout."""
    pairs = (text.partition("=") for text in regions)
    counts = {name: int(count) for name, _, count in pairs}
    print(json.dumps(run(simulate_rollout(counts, chunks, seed))))


if __name__ == "__main__":
    main()
