"""Measures goodput, fairness, prefix cache hits and the latency that entry and agent add.

Starts the Rung Lab deployment with engines of a known capacity, offers load at that capacity and at
three times that, then kills all engines under load.  A second deployment routes by load alone and
gives the baseline of prefix hits.  Times depend on the machine.  The last line is one JSON object.
"""

import asyncio
import json
import tempfile
from pathlib import Path
from typing import Any, Final

import click

from misc.deployment import Deployment, load_deployment, with_version
from misc.fleet import Fleet
from misc.load import run_load
from misc.load_arrivals import Profile
from misc.load_call import Target
from misc.load_result import LoadResult
from misc.progress import agents_not_live, entries_not_ready, wait_until
from misc.requesting.added import measure_added_latency
from misc.requesting.counters import attempts_logged, cache_counts, entry_cpu_s, model_engines
from misc.samples import make_weights
from misc.testbed import Testbed, local_url

SERVICE: Final = "gypsum-llm"
LIVE_TIMEOUT_S: Final = 45.0
ENGINE_CAPACITY: Final = 8
ENGINE_STEP_S: Final = 0.02
CACHE_BLOCKS: Final = 64
"""Blocks that an engine caches: as many as the shared prompt prefixes of the load have in all."""
STEP_S_PER_STREAM: Final = 0.0002
TOKENS: Final = 24
DEADLINE_S: Final = 4.0
LOAD_DURATION_S: Final = 12.0
OVERLOAD_FACTOR: Final = 3.0
SMALL_RATE_PER_S: Final = 3.0
OUTAGE_RATE_PER_S: Final = 40.0
OUTAGE_S: Final = 8.0
LARGE_WORKSPACES: Final = ("ha-noi-structures", "sai-gon-towers")
SMALL_WORKSPACE: Final = "small-workspace"


def capacity_per_s(engines: int) -> float:
    """Return how many requests a second the engines can answer with full batches."""
    step_s = ENGINE_STEP_S + ENGINE_CAPACITY * STEP_S_PER_STREAM
    return engines * ENGINE_CAPACITY / (step_s * (TOKENS + 1))


class Measurement:
    """The measurements on one started testbed."""

    def __init__(self, testbed: Testbed, seed: int) -> None:
        self.testbed = testbed
        self.seed = seed
        self.capacity_per_s = capacity_per_s(len(model_engines(testbed)))

    async def start(self) -> None:
        """Start everything and wait until the model is live and every entry sees it."""
        await self.testbed.start()
        for document in self.testbed.deployment.documents.values():
            wanted = with_version(document, "1") if document["kind"] == "model" else document
            if document["service"] == SERVICE:
                limits = {
                    "in_flight_per_upstream": ENGINE_CAPACITY,
                    "body_bytes": 65536,
                    "deadline_s": DEADLINE_S,
                }
                wanted = wanted | {"limits": limits}
            await self.testbed.publish(wanted)
        await wait_until(lambda: agents_not_live(self.testbed, "1"), LIVE_TIMEOUT_S, click.echo)
        await wait_until(lambda: entries_not_ready(self.testbed, "1"), LIVE_TIMEOUT_S, click.echo)

    async def load(
        self, rate_per_s: float, workspaces: tuple[str, ...], seconds: float = LOAD_DURATION_S
    ) -> LoadResult:
        """Run a load through all entries; return its result."""
        profile = Profile(rate_per_s, seconds, self.seed, 1.0, workspaces)
        urls = tuple(self.testbed.entry_urls())
        target = Target(urls, SERVICE, max_tokens=TOKENS, timeout_s=2 * DEADLINE_S)
        return await run_load(profile, target)

    async def below_capacity(self) -> None:
        """Print the times to first token and between tokens at half of the capacity."""
        print_result(
            "at half of the capacity", await self.load(self.capacity_per_s / 2, LARGE_WORKSPACES)
        )

    async def at_capacity(self) -> dict[str, Any]:
        """Measure at the engines' capacity."""
        cpu_s, cache = entry_cpu_s(self.testbed), await cache_counts(self.testbed)
        result = await self.load(self.capacity_per_s, LARGE_WORKSPACES)
        print_result("at capacity", result)
        return {
            "goodput_at_capacity": goodput_per_s(result),
            "tokens_per_s_per_entry_core": result.tokens / (entry_cpu_s(self.testbed) - cpu_s),
            "prefix_hit_ratio": (await cache_counts(self.testbed)).ratio_since(cache),
        }

    async def overloaded(self) -> dict[str, Any]:
        """Measure large workspaces at three times the capacity, with a small one alongside."""
        large, small = await asyncio.gather(
            self.load(OVERLOAD_FACTOR * self.capacity_per_s, LARGE_WORKSPACES),
            self.load(SMALL_RATE_PER_S, (SMALL_WORKSPACE,)),
        )
        print_result("at 3 times the capacity", large)
        print_result("the small workspace beside it", small)
        return {
            "goodput_at_3x": goodput_per_s(large) + goodput_per_s(small),
            "fairness_small_workspace": done_share(small),
        }

    async def added(self) -> dict[str, Any]:
        """Measure the latency that relaying adds to the first token, one call at a time."""
        engine = self.testbed.upstreams[model_engines(self.testbed)[0]]
        document = self.testbed.deployment.documents[SERVICE]
        entry_url = self.testbed.entry_urls()[0]
        return dict(
            await measure_added_latency(local_url(engine.port), entry_url, document["model"], "1")
        )

    async def outage(self) -> dict[str, Any]:
        """Kill every engine under load and return the mean attempts per request."""
        before = attempts_logged(self.testbed)
        load = asyncio.create_task(self.load(OUTAGE_RATE_PER_S, LARGE_WORKSPACES, OUTAGE_S))
        for name in model_engines(self.testbed):
            await self.testbed.fleet.kill(f"upstream/{name}")
        result = await load
        print_result("in the outage", result)
        requests = sum(result.outcomes.values())
        attempts = attempts_logged(self.testbed) - before
        return {"attempts_per_request_in_outage": attempts / requests}


def goodput_per_s(result: LoadResult) -> float:
    """Return the complete, right answers in time, per second in which requests started."""
    return result.outcomes.get("done", 0) / LOAD_DURATION_S


def done_share(result: LoadResult) -> float:
    """Return the share of the requests that were answered completely and rightly."""
    return result.outcomes.get("done", 0) / max(1, sum(result.outcomes.values()))


def print_result(name: str, result: LoadResult) -> None:
    """Print a summary of one result."""
    first, between = result.first_token, result.between_tokens
    click.echo(
        f"{name}: {dict(sorted(result.outcomes.items()))}, "
        f"first token p50 {first.percentile_s(50):.3f} s p95 {first.percentile_s(95):.3f} s, "
        f"between tokens p95 {between.percentile_s(95) * 1000:.1f} ms, "
        f"late starts p99 {result.start_delay.percentile_s(99) * 1000:.1f} ms"
    )


async def measure(deployment: Deployment, seed: int, directory: Path) -> dict[str, Any]:
    """Measure everything with prefix affinity, then the prefix hits without it."""
    weights = directory / "weights"
    make_weights(weights, deployment.documents[SERVICE]["model"], seed)
    flags = {"capacity": ENGINE_CAPACITY, "step_s": ENGINE_STEP_S, "cache_blocks": CACHE_BLOCKS}
    results: dict[str, Any] = {}
    async with Fleet(directory / "with") as fleet:
        measurement = Measurement(Testbed(fleet, deployment, weights, {}, dict(flags)), seed)
        await measurement.start()
        results |= await measurement.added()
        # Precedes the other loads, so that its prefix hits start cold, like the baseline's.
        results |= await measurement.at_capacity()
        await measurement.below_capacity()
        results |= await measurement.overloaded()
        results |= await measurement.outage()
    async with Fleet(directory / "without") as fleet:
        settings = {"prefix_affinity": "false"}
        measurement = Measurement(
            Testbed(fleet, deployment, weights, dict(settings), dict(flags)), seed
        )
        await measurement.start()
        baseline = await measurement.at_capacity()
    results["prefix_hit_ratio_random"] = baseline["prefix_hit_ratio"]
    return results


@click.command()
@click.option("--seed", default=1)
def main(seed: int) -> None:
    """Run the measurement."""
    with tempfile.TemporaryDirectory() as text:
        found = asyncio.run(measure(load_deployment("rung-lab"), seed, Path(text)))
    print(json.dumps({name: round(value, 4) for name, value in found.items()}))


if __name__ == "__main__":
    main()
