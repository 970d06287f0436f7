"""Measures how long edits take to be in force on every instance, without and with faults.

``python -m misc.measure_documents --seed N`` starts a deployment at real size with extra entries
and agents, edits documents at 51,000 a day, then in a burst of 100 a second, then under a schedule
of faults.  A second run, in which each instance watches the configuration service itself, gives
the baseline for the number of calls to that service.  The last line is one JSON object.
"""

import asyncio
import json
import statistics
import sys
import tempfile
from pathlib import Path
from typing import Any, Final

import click

from gypsumpier.options import Options
from misc.documents import cost
from misc.documents.arrivals import read_log, reverts
from misc.documents.editor import Editor, Published
from misc.documents.faults import Faults, Window
from misc.documents.field import Field
from misc.documents.timing import percentile, replacement_seconds, timings
from misc.fleet import Fleet

EDITS_PER_DAY: Final = 51_000
DAY_S: Final = 86_400.0
STEADY_S: Final = 25.0
BURST_PER_S: Final = 100.0
BURST_S: Final = 4.0
FAULT_EDITS_PER_S: Final = 2.0
SETTLE_S: Final = 8.0
LAST_EDITS_WAIT_S: Final = 5.0
BASELINE_S: Final = 12.0
BURST_BASELINE_S: Final = 3.0
TARGET_IN_FORCE_S: Final = 4.0
TARGET_ZONES: Final = 36


class Run:
    """One started field of processes and the figures measured on it."""

    def __init__(self, field: Field, seed: int) -> None:
        self.field = field
        self.editor = Editor(field, seed)
        self.faults = Faults(field)

    async def without_faults(self) -> dict[str, Any]:
        """Edit at the daily average rate, then in a burst; return the figures."""
        await asyncio.sleep(SETTLE_S)
        before = await cost.read(self.field)
        await self.editor.run(EDITS_PER_DAY / DAY_S, STEADY_S)
        after = await cost.read(self.field)
        await self.editor.run(BURST_PER_S, BURST_S)
        await asyncio.sleep(LAST_EDITS_WAIT_S)
        burst = cost.cost(after, await cost.read(self.field))
        steady = cost.cost(before, after)
        zones = len(self.field.places())
        instances = len(self.field.daemons())
        watchers = zones * Options().watchers_per_zone
        return {
            "instances": instances,
            **self.report(self.editor.published, []),
            "service_calls_per_s": round(steady.service_calls_per_s, 2),
            "service_calls_per_s_burst": round(burst.service_calls_per_s, 2),
            "service_calls_per_s_at_36_zones": round(
                burst.service_calls_per_s / zones * TARGET_ZONES, 1
            ),
            "control_bytes_per_s_per_instance": round(
                statistics.mean(steady.bytes_per_s) + steady.platform_bytes_per_s / instances
            ),
            "control_bytes_per_s_max": round(
                max(steady.bytes_per_s) + steady.platform_bytes_per_s / watchers
            ),
            "control_cpu_share_per_instance": round(statistics.mean(steady.core_shares), 4),
            "control_cpu_share_max": round(max(steady.core_shares), 4),
            "control_rss_bytes_per_instance": round(statistics.mean(steady.resident_bytes)),
            "control_rss_bytes_max": max(steady.resident_bytes),
        }

    async def with_faults(self) -> dict[str, Any]:
        """Edit while the schedule of faults runs; return the figures."""
        first = len(self.editor.published)
        edits = asyncio.create_task(self.editor.run(FAULT_EDITS_PER_S, 3600.0))
        await self.faults.run()
        edits.cancel()
        await asyncio.sleep(LAST_EDITS_WAIT_S)
        figures = self.report(self.editor.published[first:], self.faults.windows)
        logs = {name: read_log(path) for name, path in self.field.log_paths().items()}
        starters = replacement_seconds(self.editor.published, logs, self.faults.windows)
        faults = sorted({window.fault.split(" ")[0] for window in self.faults.windows})
        return {**figures, "starter_in_force_max_s": round(max(starters), 3), "kinds": faults}

    def report(self, published: list[Published], windows: list[Window]) -> dict[str, Any]:
        """Return the in-force times of the revisions and the number of reverts."""
        logs = {name: read_log(path) for name, path in self.field.log_paths().items()}
        instance_documents = {
            (name, document)
            for name in logs
            for document in self.field.documents
            if self.field.keeps_document(name, document)
        }
        found = timings(published, logs, instance_documents, windows)
        arrived = [one.seconds for one in found if one.seconds is not None]
        slowest = max(found, key=lambda one: one.seconds or 0.0)
        slowest_faults = [window for window in windows if window.place in ("", slowest.instance)]
        print(f"slowest: {slowest}, faults there: {slowest_faults}", file=sys.stderr)
        return {
            "changes": len(published),
            "in_force_p50_s": round(percentile(arrived, 0.5), 3),
            "in_force_p99_s": round(percentile(arrived, 0.99), 3),
            "in_force_max_s": round(max(arrived), 3),
            "never_in_force": len(found) - len(arrived),
            "reverts": sum(reverts(log) for log in logs.values()),
        }


async def baseline(directory: Path, entries: int, agents: int, seed: int) -> dict[str, float]:
    """Return the calls to the configuration service if each instance watches it itself."""
    async with Fleet(directory) as fleet:
        field = Field(fleet, entries, agents, {"spread": "false"})
        await field.start()
        editor = Editor(field, seed)
        await asyncio.sleep(SETTLE_S)
        before = await cost.read(field)
        await editor.run(EDITS_PER_DAY / DAY_S, BASELINE_S)
        after = await cost.read(field)
        await editor.run(BURST_PER_S, BURST_BASELINE_S)
        burst = cost.cost(after, await cost.read(field))
        return {
            "service_calls_per_s_all_watch": round(cost.cost(before, after).service_calls_per_s, 2),
            "service_calls_per_s_all_watch_burst": round(burst.service_calls_per_s, 2),
        }


async def measure(entries: int, agents: int, seed: int, with_baseline: bool) -> dict[str, Any]:
    """Run all measurements; return the report."""
    with tempfile.TemporaryDirectory() as name:
        async with Fleet(Path(name) / "spread") as fleet:
            field = Field(fleet, entries, agents, {})
            await field.start()
            run = Run(field, seed)
            figures = await run.without_faults()
            print(json.dumps(figures), file=sys.stderr)
            figures["faults"] = await run.with_faults()
        if with_baseline:
            figures |= await baseline(Path(name) / "baseline", entries, agents, seed)
    return figures | {"met": met(figures)}


def met(figures: dict[str, Any]) -> bool:
    """Return whether every revision was in force in time and none was reverted."""
    parts = [figures, figures["faults"]]
    in_time = all(part["in_force_max_s"] <= TARGET_IN_FORCE_S for part in parts)
    return in_time and not any(part["reverts"] or part["never_in_force"] for part in parts)


@click.command()
@click.option("--seed", default=1, help="Seed of the edits.")
@click.option("--entries", default=9, help="Entries beside the deployment's.")
@click.option("--agents", default=36, help="Agents beside the deployment's.")
@click.option("--baseline/--no-baseline", default=True, help="Run the baseline as well.")
def main(seed: int, entries: int, agents: int, baseline: bool) -> None:
    """Measure and print the report."""
    figures = asyncio.run(measure(entries, agents, seed, baseline))
    print(json.dumps(figures))
    sys.exit(0 if figures["met"] else 1)


if __name__ == "__main__":
    main()
