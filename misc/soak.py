"""Checks the guarantees to callers on the Rung Lab platform, with real processes and faults.

``python -m misc.soak --seed N --seconds S`` starts entries and sidecars against stand-ins of
the platform, sends load over persistent connections, and kills, freezes, stops and disconnects the
processes in an order drawn from the seed.  Guarantees are checked while it runs.  The last line is
one JSON object; the exit status is 1 if a guarantee was violated, and 2 if fewer than MIN_SERVED
requests were served, which is too few to judge.
"""

import asyncio
import json
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any, Final

import click

from misc.faulting.actions import Window
from misc.soaking.checks import Violations, check
from misc.soaking.connection import NOT_CONNECTED
from misc.soaking.deployment import SoakDeployment
from misc.soaking.facts import Facts
from misc.soaking.faults import SoakFaults
from misc.soaking.load import PROBE, SoakLoad
from misc.soaking.processorwait import ProcessorWait
from misc.soaking.starvation import (
    STARVATION_INTERVAL_S,
    WAIT_INTERVAL_S,
    record_waits,
    starved,
)

MIN_SERVED: Final = 500
MIN_SERVED_SHARE: Final = 0.5
CHECK_INTERVAL_S: Final = 5.0
RECOVERY_S: Final = 12.0
"""Seconds after the last fault in which every entry must serve, as on the platform."""
RECOVERY_POLL_S: Final = 0.2
SERVED: Final = 200
KEY_REFUSED: Final = 401
EXIT_BROKEN: Final = 1
EXIT_TOO_FEW_SERVED: Final = 2


async def run(deployment: SoakDeployment, seed: int, seconds: float, rate_per_s: float) -> Any:
    """Run load and faults; return the report."""
    rng = random.Random(seed)
    load = SoakLoad(deployment, random.Random(rng.random()), rate_per_s)
    faults = SoakFaults(deployment, random.Random(rng.random()))
    waits: list[ProcessorWait] = []
    samples: list[ProcessorWait] = []
    printed: set[str] = set()

    def report_violations() -> Violations:
        """Check everything observed so far, print new violations, and return all."""
        violations = check(facts(deployment, load, faults, starved(samples), waits))
        for guarantee, items in violations.items():
            for item in items:
                if f"{guarantee} {item}" not in printed:
                    printed.add(f"{guarantee} {item}")
                    click.echo(f"broken: {guarantee}: {item}")
        return violations

    async def watch() -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            report_violations()

    watch_tasks = [
        asyncio.create_task(watch()),
        asyncio.create_task(record_waits(deployment.nodes, waits, WAIT_INTERVAL_S)),
        asyncio.create_task(record_waits(deployment.nodes, samples, STARVATION_INTERVAL_S)),
    ]
    await faults.run(seconds, lambda: served_count(load) >= MIN_SERVED)
    unrecovered = await not_recovered(deployment, load)
    await load.stop()
    for task in watch_tasks:
        task.cancel()
    violations = report_violations() | {"not_recovered": unrecovered}
    began_s = faults.windows[0].began_at_s if faults.windows else 0.0
    for window in faults.windows + starved(samples):
        since_s, lasted_s = window.began_at_s - began_s, window.ended_at_s - window.began_at_s
        click.echo(f"{since_s:.1f} s {window.name} {window.target} for {lasted_s:.1f} s")
    statuses = Counter(sent.status for sent in load.sent if sent.kind != PROBE)
    return {
        "seed": seed,
        "requests": sum(statuses.values()),
        "admissible": sum(statuses.values()) - statuses[NOT_CONNECTED] - statuses[KEY_REFUSED],
        "served": statuses[SERVED],
        "faults": len(faults.windows),
        "starved": len(starved(samples)),
        "statuses": {str(status): count for status, count in sorted(statuses.items())},
        "broken": {guarantee: len(items) for guarantee, items in violations.items()},
    }


def served_count(load: SoakLoad) -> int:
    """Return how many requests were served so far, without probes."""
    return sum(sent.status == SERVED for sent in load.sent if sent.kind != PROBE)


def facts(
    deployment: SoakDeployment,
    load: SoakLoad,
    faults: SoakFaults,
    starvation: list[Window],
    waits: list[ProcessorWait],
) -> Facts:
    """Return everything observed so far."""
    return Facts(
        sent=load.sent,
        runs=deployment.runs(),
        windows=faults.windows + starvation,
        configured_at_s=deployment.configured_at_s,
        revoked_at_s=deployment.revoked_at_s,
        draining_at_s=deployment.draining_at_s,
        named_at_s=deployment.named_at_s,
        partial_loads=sum(engine.partial_loads for engine in deployment.engines()),
        killed_at_stop=faults.killed_at_stop,
        waits=waits,
        evacuations=tuple(deployment.evacuations),
    )


async def not_recovered(deployment: SoakDeployment, load: SoakLoad) -> list[str]:
    """Return the entries and kinds of request not served within RECOVERY_S of the last fault."""
    ended_s = time.monotonic()
    wanted = {(entry.name, kind) for entry in deployment.entries for kind in ("command", "report")}
    missing = set(wanted)
    while missing and time.monotonic() < ended_s + RECOVERY_S:
        await asyncio.sleep(RECOVERY_POLL_S)
        missing -= {
            (sent.entry, sent.kind)
            for sent in load.sent
            if sent.status == 200 and sent.sent_at_s > ended_s
        }
    return [f"{entry}: {kind}" for entry, kind in sorted(missing)]


async def main_async(seed: int, seconds: float, rate_per_s: float, directory: Path) -> Any:
    """Run everything and return the report; stop every started process."""
    deployment = SoakDeployment(directory)
    try:
        await deployment.start()
        return await run(deployment, seed, seconds, rate_per_s)
    finally:
        await deployment.stop()


def exit_status(report: dict[str, Any]) -> int:
    """Return the exit status of a run with that report."""
    if any(report["broken"].values()):
        return EXIT_BROKEN
    least = max(MIN_SERVED, MIN_SERVED_SHARE * report["admissible"])
    return EXIT_TOO_FEW_SERVED if report["served"] < least else 0


@click.command()
@click.option("--seed", default=1)
@click.option("--seconds", default=60.0, help="Seconds in which faults begin.")
@click.option("--rate", default=60.0, help="Requests a second.")
@click.option("--logs", type=click.Path(path_type=Path), help="Directory that keeps the logs.")
def main(seed: int, seconds: float, rate: float, logs: Path | None) -> None:
    """Run the faults of one seed."""
    with tempfile.TemporaryDirectory() as text:
        directory = logs or Path(text)
        directory.mkdir(parents=True, exist_ok=True)
        report = asyncio.run(main_async(seed, seconds, rate, directory))
    print(json.dumps(report))
    sys.exit(exit_status(report))


if __name__ == "__main__":
    main()
