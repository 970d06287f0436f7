"""Measures a rollout of new weights over real processes, against floors and baselines.

``python -m misc.measure_weights --deployment rung-lab|relojera|burst --seed N [--faults]``.
The agents' own settings and the store's stand-in limit the link rates; misc/weights/scale.py scales
the sizes down.  Live requests run before and during the rollout.  The last line is one JSON object.
"""

import asyncio
import json
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any, Final

import click

from gypsumpier.test.builders import write_weights
from misc.deployment import Deployment, load_deployment, with_version
from misc.fleet import Fleet
from misc.http import get_json
from misc.load import run_load
from misc.load_arrivals import Profile
from misc.load_call import Target
from misc.load_result import LoadResult
from misc.progress import agents_not_live, entries_not_ready, wait_until
from misc.testbed import Testbed, administration_url
from misc.weights.baseline import chain_duration_s, fetch_all_from_origin
from misc.weights.burst import BurstTestbed
from misc.weights.disturbance import inject_faults
from misc.weights.scale import BURST_SCALE, DEPLOYMENT_SCALE, LIVE_SHARE, Scale

EXAMPLES: Final = {"rung-lab": "rung-lab", "relojera": "relojera"}
FIRST_VERSION_BYTES: Final = 256 * 1024
LIVE_TIMEOUT_S: Final = 120.0
LOAD_BEFORE_S: Final = 12.0
REQUESTS_PER_S: Final = 15.0
MAX_TOKENS: Final = 16
REQUEST_TIMEOUT_S: Final = 10.0


class Measurement:
    """One started testbed and the rollout measured on it."""

    def __init__(self, testbed: Testbed, scale: Scale, seed: int) -> None:
        self.testbed = testbed
        self.scale = scale
        self.seed = seed
        self.service = testbed.deployment.model_services()[0]
        self.document = testbed.deployment.documents[self.service]
        self.agents = [s.name for s in testbed.deployment.slots() if s.service == self.service]
        self.published_wall_s = 0.0

    async def start(self) -> None:
        """Start all processes and wait until the small first version is live."""
        await self.testbed.start()
        for document in self.testbed.deployment.documents.values():
            wanted = with_version(document, "1") if document["kind"] == "model" else document
            await self.testbed.publish(wanted)
        await wait_until(lambda: agents_not_live(self.testbed, "1"), LIVE_TIMEOUT_S, click.echo)
        await wait_until(lambda: entries_not_ready(self.testbed, "1"), LIVE_TIMEOUT_S, click.echo)

    async def load(self, seconds: float) -> LoadResult:
        """Send live requests for that many seconds."""
        workspaces = tuple(item["name"] for item in self.document["workspaces"])
        profile = Profile(REQUESTS_PER_S, seconds, self.seed, 1.0, workspaces)
        target = Target(
            tuple(self.testbed.entry_urls()),
            self.service,
            max_tokens=MAX_TOKENS,
            timeout_s=REQUEST_TIMEOUT_S,
        )
        return await run_load(profile, target)

    async def roll_out(self, with_faults: bool) -> dict[str, Any]:
        """Publish the large version and return the figures once it is live everywhere."""
        before = await self.load(LOAD_BEFORE_S)
        served_before = await self.served_bytes()
        during_task = asyncio.create_task(self.load(0.9 * self.scale.floor_s()))
        self.published_wall_s = time.time()
        await self.testbed.publish(with_version(self.document, "2"))
        done: list[str] = []
        if with_faults:
            done = await inject_faults(self.testbed, self.service, self.seed, self.scale.floor_s())
        await wait_until(lambda: agents_not_live(self.testbed, "2"), LIVE_TIMEOUT_S, click.echo)
        during = await during_task
        transfer_views = await self.views()
        served = await self.served_bytes() - served_before
        return (
            self.timing_figures(transfer_views)
            | self.transfer_figures(transfer_views, served)
            | live_figures(before, during)
            | {"faults": done, "partial_or_mixed_loads": await self.count_bad_loads()}
        )

    async def views(self) -> list[dict[str, Any]]:
        """Return each agent's view of its transfer of the large version."""
        children = [self.testbed.agents[name] for name in self.agents]
        urls = [f"{administration_url(child)}/v1/transfers" for child in children]
        answers = await asyncio.gather(*(get_json(url) for url in urls))
        return [
            view for answer in answers for view in answer["transfers"] if view["version"] == "2"
        ]

    def timing_figures(self, views: list[dict[str, Any]]) -> dict[str, Any]:
        """Return the seconds from publication to live, and their ratio to the floor."""
        took_s = [view["live_wall_s"] - self.published_wall_s for view in views]
        floor_s = self.scale.floor_s()
        return {
            "replicas": len(self.agents),
            "size_bytes": self.scale.size_bytes,
            "seconds_to_all": round(max(took_s), 2),
            "seconds_to_half": round(statistics.median(took_s), 2),
            "floor_seconds": round(floor_s, 2),
            "ratio_to_floor": round(max(took_s) / floor_s, 3),
            "floor_seconds_whole_links": round(self.scale.floor_s(1.0), 2),
        }

    def transfer_figures(self, views: list[dict[str, Any]], served: int) -> dict[str, Any]:
        """Return the copies served by store and origin, those into a region, and the waste."""
        entered: dict[str, int] = {}
        for name, view in zip(self.agents, views, strict=False):
            region = self.testbed.deployment.place(name.split("/")[1]).region
            entered[region] = entered.get(region, 0) + view["from_other_regions_bytes"]
        received = sum(
            view["from_store_bytes"]
            + view["from_origin_bytes"]
            + view["from_region_bytes"]
            + view["from_other_regions_bytes"]
            for view in views
        )
        wasted = sum(view["wasted_bytes"] for view in views)
        return {
            "origin_copies": round(served / self.scale.size_bytes, 3),
            "inter_region_copies_max": round(max(entered.values()) / self.scale.size_bytes, 3),
            "wasted_bytes_share": round(wasted / max(1, received), 4),
        }

    async def served_bytes(self) -> int:
        """Return the bytes that the store and the origin have served so far."""
        urls = [f"{self.testbed.standin_url(name)}/control/counts" for name in ("store", "origin")]
        return sum([int((await get_json(url))["total_bytes"]) for url in urls])

    async def count_bad_loads(self) -> int:
        """Return how many loads of all engines had partial or mixed content."""
        slots = [slot for slot in self.testbed.deployment.slots() if slot.service == self.service]
        urls = [f"{self.testbed.upstream_url(slot)}/control/counts" for slot in slots]
        counts = await asyncio.gather(*(get_json(url) for url in urls))
        return sum(int(count["partial_or_mixed_loads"]) for count in counts)

    async def baselines(self) -> dict[str, Any]:
        """Return the figures of the two baselines."""
        replicas = len(self.agents)
        url = self.testbed.urls["origin_url"]
        origin_result = await fetch_all_from_origin(
            url, self.document["model"], "2", replicas, self.scale
        )
        return {
            "baseline_seconds": round(origin_result.seconds, 2),
            "baseline_origin_copies": origin_result.copies,
            "baseline_measured_share": round(origin_result.measured_share, 3),
            "chain_seconds": round(await chain_duration_s(replicas, self.scale), 2),
        }


def live_figures(before: LoadResult, during: LoadResult) -> dict[str, Any]:
    """Return the live requests' outcomes and the 99th percentile of whole-answer times."""
    before_s = before.whole.percentile_s(99.0)
    during_s = during.whole.percentile_s(99.0)
    return {
        "live_p99_before_s": round(before_s, 4),
        "live_p99_during_s": round(during_s, 4),
        "live_request_p99_ratio": round(during_s / before_s, 3) if before_s else None,
        "live_outcomes": before.summary()["outcomes"] | {"during": during.summary()["outcomes"]},
    }


def publish_weights(directory: Path, deployment: Deployment, scale: Scale) -> None:
    """Write a small first and a large second version of each model."""
    for service in deployment.model_services():
        model = deployment.documents[service]["model"]
        write_weights(directory, model, "1", FIRST_VERSION_BYTES, seed=1)
        write_weights(directory, model, "2", scale.size_bytes, seed=2)


def make_testbed(fleet: Fleet, name: str, replicas: int, weights: Path) -> tuple[Testbed, Scale]:
    """Return the testbed of a deployment, or of a burst, with its scale."""
    scale = BURST_SCALE if name == "burst" else DEPLOYMENT_SCALE
    store_flags = {"rate": scale.origin_bytes_per_s, "chunk_bytes": scale.chunk_bytes}
    settings = {
        "link_bytes_per_s": scale.link_bytes_per_s,
        "live_traffic_share": LIVE_SHARE,
        "weight_memory_bytes": 3 * scale.size_bytes,
    }
    if name == "burst":
        testbed: Testbed = BurstTestbed(
            fleet, replicas, weights, settings=settings, store_flags=store_flags
        )
    else:
        deployment = load_deployment(EXAMPLES[name])
        testbed = Testbed(fleet, deployment, weights, dict(settings), None, dict(store_flags))
    testbed.settings["store_region"] = testbed.deployment.store_region
    publish_weights(weights, testbed.deployment, scale)
    return testbed, scale


async def measure(name: str, seed: int, replicas: int, with_faults: bool) -> dict[str, Any]:
    """Run one measurement."""
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder) / "logs") as fleet:
            testbed, scale = make_testbed(fleet, name, replicas, Path(folder) / "weights")
            measurement = Measurement(testbed, scale, seed)
            await measurement.start()
            click.echo(f"{len(measurement.agents)} agents serve version 1")
            figures = await measurement.roll_out(with_faults)
            click.echo(json.dumps(figures))
            return {"deployment": name} | figures | await measurement.baselines()


@click.command()
@click.option("--deployment", type=click.Choice(["rung-lab", "relojera", "burst"]), required=True)
@click.option("--seed", default=1)
@click.option("--replicas", default=100, help="Agents of a burst.")
@click.option("--faults", "with_faults", is_flag=True, help="Kill, freeze and corrupt.")
def main(deployment: str, seed: int, replicas: int, with_faults: bool) -> None:
    """Measure one rollout; the last line is one JSON object."""
    print(json.dumps(asyncio.run(measure(deployment, seed, replicas, with_faults))))


if __name__ == "__main__":
    main()
