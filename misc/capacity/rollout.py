"""Time until new weights are live on all instances, and the copies read from the store.

All instances are model agents of one region, each with its own engine; the store's rate allows one
copy per ``COPY_DURATION_S``.  The move to a second version is measured, from the edit of the
document to the last engine's report.
"""

import asyncio
import shutil
import time
from pathlib import Path
from typing import Any, Final, NamedTuple

from gypsumpier.test import builders
from misc.capacity import target
from misc.capacity.bench import ZONE, Bench, url_of
from misc.capacity.slope import Point, Slope
from misc.child import Child
from misc.fleet import Fleet
from misc.http import get_json

INSTANCE_COUNTS: Final = (4, 8, 16, 32)
VERSION_BYTES: Final = 4_000_000
COPY_DURATION_S: Final = 1.0
LIVE_TIMEOUT_S: Final = 100.0
POLL_S: Final = 0.1
COPIES_LIMIT: Final = 4.0


class RolloutCost(NamedTuple):
    """The cost of the move; ``copies`` is the bytes the store sent over a version's size."""

    instances: int
    live_s: float
    copies: float


async def measure_rollout(directory: Path) -> list[Slope]:
    """Measure a rollout to each number of instances."""
    costs = [await rollout_cost(directory, count) for count in INSTANCE_COUNTS]
    times = [Point(one.instances, one.live_s) for one in costs]
    copies = [Point(one.instances, one.copies) for one in costs]
    burst = target.BURST_INSTANCES
    return [
        Slope("rollout_time", "s", "instances", times, burst, target.ROLLOUT_S),
        Slope("rollout_store_copies", "copies", "instances", copies, burst, COPIES_LIMIT),
    ]


async def rollout_cost(directory: Path, count: int) -> RolloutCost:
    """Measure a rollout to that many instances."""
    weights = directory / "weights"
    for seed, version in enumerate(("v1", "v2")):
        builders.write_weights(weights, "model", version, VERSION_BYTES, seed)
    async with Fleet(directory) as fleet:
        bench = Bench(fleet)
        await bench.start()
        rate = VERSION_BYTES / COPY_DURATION_S
        store = await fleet.start_standin("store", "store", directory=weights, rate=rate)
        engines = await start_instances(bench, url_of(store), count)
        await bench.publish(document(count, "v1"))
        await wait_live(engines, "v1")
        sent_before = await sent_bytes(store)
        started_s = time.monotonic()
        await bench.publish(document(count, "v2"))
        await wait_live(engines, "v2")
        live_s = time.monotonic() - started_s
        copies = (await sent_bytes(store) - sent_before) / VERSION_BYTES
    shutil.rmtree(weights)
    return RolloutCost(count, live_s, copies)


async def start_instances(bench: Bench, store_url: str, count: int) -> list[Child]:
    """Start the engines and agents and one entry; return the engines."""
    await bench.start_entry(f"entry/{ZONE}/0")
    return list(
        await asyncio.gather(*(start_instance(bench, store_url, number) for number in range(count)))
    )


async def start_instance(bench: Bench, store_url: str, number: int) -> Child:
    """Start one engine with its agent and put the agent on the member list."""
    engine = await bench.fleet.start_standin("engine", f"engine-{number}", load_s=0.1)
    settings = bench.settings | {"store_url": store_url, "origin_url": store_url}
    agent = await bench.fleet.start_daemon(
        f"model/{ZONE}/{number}",
        role="agent",
        service="model",
        upstream_url=url_of(engine),
        **settings,
    )
    await bench.list_members([bench.member(agent, "agent", "model")])
    return engine


def document(count: int, version: str) -> dict[str, Any]:
    """Return the document.

    All instances may change at once, as when they load beside the old version.
    """
    return builders.model_document(
        service="model",
        model="model",
        versions=[{"version": version, "share_percent": 100}],
        zones=[{"zone": ZONE, "replicas": count}],
        max_unavailable=count,
        workspaces=[builders.workspace("lab", 1, ZONE)],
    )


async def wait_live(engines: list[Child], version: str) -> None:
    """Wait until the version is live on every engine; assert no load was partial or mixed."""
    deadline_s = time.monotonic() + LIVE_TIMEOUT_S
    waiting = list(engines)
    while waiting:
        assert time.monotonic() < deadline_s, f"{len(waiting)} engines do not serve {version}"
        counts = [await get_json(f"{url_of(engine)}/control/counts") for engine in waiting]
        assert not any(count["partial_or_mixed_loads"] for count in counts)
        waiting = [
            engine
            for engine, count in zip(waiting, counts, strict=True)
            if version not in {live["version"] for live in count["live"]}
        ]
        await asyncio.sleep(POLL_S)


async def sent_bytes(store: Child) -> int:
    """Return the bytes that the store has sent."""
    return int((await get_json(f"{url_of(store)}/control/counts"))["total_bytes"])
