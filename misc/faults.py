"""Checks the guarantees to callers on the real processes of one deployment, under seeded faults.

``python -m misc.faults --seed N`` runs mixed load for a minute while processes are killed, paused
and stopped, connections are closed or lose their traffic, and member lists are stale or empty.
Then it compares the outcomes reported to callers with what the upstreams counted.  The last line is
one JSON object; the exit status is 1 if a guarantee was violated.
"""

import asyncio
import json
import random
import sys
import tempfile
from pathlib import Path
from typing import Final

import click

from misc.deployment import Deployment, load_deployment, with_version
from misc.faulting.actions import Faults
from misc.faulting.checker import Counts, Report, check, cut_copies
from misc.faulting.faulttestbed import FaultTestbed
from misc.faulting.load import MixedLoad
from misc.faulting.schedule import run_schedule
from misc.faulting.sending import Copy
from misc.fleet import Fleet
from misc.http import get_json
from misc.progress import agents_not_live, entries_not_ready, wait_until
from misc.samples import make_weights
from misc.testbed import local_url

LIVE_TIMEOUT_S: Final = 45.0
SETTLE_S: Final = 4.0
CALL_DELAY_S: Final = 0.1
WEIGHTS_SEED: Final = 1
SMALL_SERVICES: Final = ("table-ops", "gypsum-llm")
MUST_BE_ZERO: Final = (
    "ran_twice",
    "false_not_run",
    "wrong_or_partial_answers",
    "cut_by_graceful_stop",
    "work_after_leaving",
)


async def run(
    testbed: FaultTestbed, seed: int, seconds: float, rate_per_s: float, logs: Path | None
) -> Report:
    """Run load and faults on a started deployment; return the report."""
    rng = random.Random(seed)
    faults = Faults(testbed, random.Random(rng.random()))
    load = MixedLoad(testbed, random.Random(rng.random()), rate_per_s)
    await asyncio.gather(
        load.run(seconds), run_schedule(faults, random.Random(rng.random()), seconds - SETTLE_S)
    )
    copies = load.sender.copies
    report = check(seed, copies, await counts(testbed), faults.windows, faults.work_after_leaving)
    first_s = min((copy.sent_at_s for copy in copies), default=0.0)
    for window in faults.windows:
        began_s, ended_s = window.began_at_s - first_s, window.ended_at_s - first_s
        click.echo(f"{window.name} {window.target} {began_s:.1f} to {ended_s:.1f} s")
    if logs is not None:
        write_copies(logs / "copies.jsonl", copies)
    for copy in cut_copies(copies, faults.windows):
        click.echo(f"cut: {copy.kind} {copy.entry} {copy.told} {copy.code}")
    return report


def write_copies(path: Path, copies: list[Copy]) -> None:
    """Write each copy and its outcome as one JSON object a line, with the digest of its body."""
    with path.open("w") as output:
        for copy in copies:
            output.write(json.dumps({**vars(copy), "body": copy.body_digest}) + "\n")


async def counts(testbed: FaultTestbed) -> Counts:
    """Return the sums of the counts of all plain services."""
    total = Counts(keys={}, bodies={})
    for slot in testbed.slots.values():
        if slot.kind == "plain":
            url = f"{local_url(testbed.upstreams[slot.name].port)}/control/counts"
            found = await get_json(url)
            add_counts(total["keys"], found["keys"])
            add_counts(total["bodies"], found["bodies"])
    return total


def add_counts(total: dict[str, int], found: dict[str, int]) -> None:
    """Add counts to the total."""
    for name, count in found.items():
        total[name] = total.get(name, 0) + count


def reduced_deployment(deployment: Deployment) -> Deployment:
    """Return the deployment reduced to one zone, two entries and three upstreams."""
    zone = deployment.documents[SMALL_SERVICES[0]]["zones"][0]["zone"]
    documents = {
        service: deployment.documents[service]
        | {"zones": [{"zone": zone, "replicas": replicas}], "workspaces": []}
        for service, replicas in zip(SMALL_SERVICES, (2, 1), strict=True)
    }
    return deployment._replace(entries={zone: 2}, documents=documents)


async def start(testbed: FaultTestbed) -> None:
    """Start the deployment and wait until all agents are live and every entry sees them."""
    await testbed.start()
    for document in testbed.deployment.documents.values():
        wanted = with_version(document, "1") if document["kind"] == "model" else document
        await testbed.publish(wanted)
    await wait_until(lambda: agents_not_live(testbed, "1"), LIVE_TIMEOUT_S, click.echo)
    await wait_until(lambda: entries_not_ready(testbed, "1"), LIVE_TIMEOUT_S, click.echo)
    await testbed.delay_services(CALL_DELAY_S)
    await asyncio.sleep(SETTLE_S)


async def main_async(
    deployment: Deployment, seed: int, seconds: float, rate: float, logs: Path | None
) -> Report:
    """Run everything in a temporary directory; return the report."""
    with tempfile.TemporaryDirectory() as text:
        directory = Path(text)
        weights = directory / "weights"
        for service in deployment.model_services():
            make_weights(weights, deployment.documents[service]["model"], WEIGHTS_SEED)
        async with Fleet(logs or directory / "logs") as fleet:
            testbed = FaultTestbed(fleet, deployment, weights, {})
            await start(testbed)
            return await run(testbed, seed, seconds, rate, logs)


@click.command()
@click.option("--seed", default=1)
@click.option("--deployment", default="rung-lab")
@click.option("--small", "is_small", is_flag=True, help="One zone of rung-lab, 12 processes.")
@click.option("--seconds", default=60.0, help="Seconds in which requests start.")
@click.option("--rate", default=40.0, help="Requests a second.")
@click.option("--logs", type=click.Path(path_type=Path), help="Directory that keeps the logs.")
def main(
    seed: int, deployment: str, is_small: bool, seconds: float, rate: float, logs: Path | None
) -> None:
    """Run the faults of one seed."""
    chosen = load_deployment(deployment)
    chosen = reduced_deployment(chosen) if is_small else chosen
    report = asyncio.run(main_async(chosen, seed, seconds, rate, logs))
    print(json.dumps(report))
    broken = sum(report[name] for name in MUST_BE_ZERO)  # type: ignore[literal-required]
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
