"""Cost of distributing documents and members to every instance, by the number of zones.

Each zone has two entries, both of which watch the platform: this is the load on the platform and on
the streams between zones, whatever the number of other instances.  Documents change at the target
rate; the delay counts from the change to the last entry's log line that it is in force.
"""

import asyncio
import json
import time
from datetime import datetime
from pathlib import Path
from typing import Any, Final, NamedTuple

from gypsumpier.test import builders
from misc.capacity import target
from misc.capacity.bench import Bench
from misc.capacity.slope import Point, Slope
from misc.capacity.usage import SETTLE_S, Usage, measure_usage
from misc.child import Child
from misc.fleet import Fleet
from misc.http import get_json

ZONE_COUNTS: Final = (2, 4, 8, 16)
ENTRIES_PER_ZONE: Final = 2
CHANGES: Final = 8
LOG_TIME_FORMAT: Final = "%Y-%m-%d %H:%M:%S,%f"
READY_TIMEOUT_S: Final = 20.0
POLL_S: Final = 0.2


class SpreadCost(NamedTuple):
    """The costs with that many zones; ``usage`` is that of one entry that watches."""

    zones: int
    configuration_calls_per_s: float
    membership_calls_per_s: float
    in_force_s: float
    usage: Usage


async def measure_spread(directory: Path) -> list[Slope]:
    """Measure a fleet with each number of zones."""
    costs = [await spread_cost(directory / f"zones-{zones}", zones) for zones in ZONE_COUNTS]
    calls = [Point(one.zones, one.configuration_calls_per_s) for one in costs]
    member_calls = [Point(one.zones, one.membership_calls_per_s) for one in costs]
    delays = [Point(one.zones, one.in_force_s) for one in costs]
    cores = [Point(one.zones, one.usage.core_share) for one in costs]
    wire = [Point(one.zones, one.usage.wire_bytes_per_s) for one in costs]
    zones, limit = target.ZONES, target.CONFIGURATION_CALLS_PER_S
    core, wire_limit = target.CONTROL_CORE_SHARE, target.CONTROL_BYTES_PER_S
    return [
        Slope("configuration_calls", "calls/s", "zones", calls, zones, limit),
        Slope("membership_calls", "calls/s", "zones", member_calls, zones, None),
        Slope("document_in_force", "s", "zones", delays, zones, target.IN_FORCE_S),
        Slope("watcher_cpu", "core", "zones", cores, zones, core),
        Slope("watcher_streams_wire", "B/s", "zones", wire, zones, wire_limit),
    ]


async def spread_cost(directory: Path, zones: int) -> SpreadCost:
    """Measure a fleet with that many zones."""
    async with Fleet(directory) as fleet:
        for log in directory.glob("*.log"):
            log.unlink()
        bench = Bench(fleet)
        await bench.start()
        bench.settings["log_level"] = "INFO"
        bench.settings["log_json"] = True
        entries = await start_entries(bench, zones)
        await publish(bench, 0)
        await wait_in_force(entries, 1)
        await asyncio.sleep(SETTLE_S)
        before = await count_calls(bench)
        started_s = time.monotonic()
        usage_task = asyncio.create_task(measure_usage(entries[0].pid))
        published_at_s = [await change(bench, number) for number in range(1, CHANGES + 1)]
        elapsed_s = time.monotonic() - started_s
        after = await count_calls(bench)
        await wait_in_force(entries, CHANGES + 1)
        usage = await usage_task
    delays = [longest_delay_s(entry, published_at_s) for entry in entries]
    return SpreadCost(
        zones,
        (after[0] - before[0]) / elapsed_s,
        (after[1] - before[1]) / elapsed_s,
        max(delays),
        usage,
    )


async def start_entries(bench: Bench, zones: int) -> list[Child]:
    """Start the entries of all zones."""
    names = [
        (f"zone-{zone}", f"entry/zone-{zone}/{number}")
        for zone in range(zones)
        for number in range(ENTRIES_PER_ZONE)
    ]
    starts = [bench.start_entry(name, zone=zone, region=zone) for zone, name in names]
    return list(await asyncio.gather(*starts))


async def change(bench: Bench, number: int) -> float:
    """Change the document, wait for the target's interval; return the time of the change."""
    changed_at_s = time.time()
    await publish(bench, number)
    await asyncio.sleep(1.0 / target.CHANGES_PER_S)
    return changed_at_s


async def publish(bench: Bench, number: int) -> None:
    """Publish the document with content that depends on the number."""
    await bench.publish(
        builders.model_document(
            service="model",
            max_unavailable=1 + number % 2,
            workspaces=[builders.workspace(f"team-{number}", 1)],
        )
    )


async def count_calls(bench: Bench) -> tuple[int, int]:
    """Return the numbers of calls to the configuration service and the member list."""
    configuration = await get_json(f"{bench.configuration_url}/control/counts")
    membership = await get_json(f"{bench.membership_url}/control/counts")
    return configuration["read"] + configuration["watch"], membership["calls"]


async def wait_in_force(entries: list[Child], revision: int) -> None:
    """Wait until every entry has logged that the revision is in force."""
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while not all(revision in accepted_at_s(entry) for entry in entries):
        assert time.monotonic() < deadline_s, f"revision {revision} is not in force everywhere"
        await asyncio.sleep(POLL_S)


def longest_delay_s(entry: Child, published_at_s: list[float]) -> float:
    """Return the longest time in seconds until a change was in force at the entry."""
    accepted = accepted_at_s(entry)
    return max(
        at_s - published_at_s[revision - 2] for revision, at_s in accepted.items() if revision > 1
    )


def accepted_at_s(entry: Child) -> dict[int, float]:
    """Return the wall-clock time of each accepted revision in the entry's log."""
    accepted: dict[int, float] = {}
    for line in entry.log_path.read_text().splitlines():
        if '"document_accepted"' in line:
            record: dict[str, Any] = json.loads(line)
            logged_at = datetime.strptime(record["time"], LOG_TIME_FORMAT)
            accepted[record["revision"]] = logged_at.timestamp()
    return accepted
