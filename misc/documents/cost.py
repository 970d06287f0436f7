"""Control-plane cost of each instance: processor time, memory, bytes and platform calls."""

import time
from typing import Any, NamedTuple

from misc.capacity.usage import core_seconds, resident_bytes
from misc.child import Child
from misc.documents.field import Field
from misc.http import get_json, get_text
from misc.testbed import administration_url


class Reading(NamedTuple):
    """Running totals at one time; the dictionaries are keyed by the instance's name."""

    at_s: float
    core_s: dict[str, float]
    stream_bytes: dict[str, float]
    resident_bytes: dict[str, int]
    service_calls: int
    platform_bytes: int


class Cost(NamedTuple):
    """Rates between two readings; the lists have one value per instance."""

    service_calls_per_s: float
    core_shares: list[float]
    bytes_per_s: list[float]
    platform_bytes_per_s: float
    """Bytes of the platform's answers to all instances."""
    resident_bytes: list[int]


async def read(field: Field) -> Reading:
    """Read the totals of all running instances and of the platform."""
    daemons = {name: child for name, child in field.daemons().items() if child.running}
    url = field.testbed.urls["configuration_url"]
    listed = await get_json(f"{field.testbed.urls['membership_url']}/control/counts")
    counts: dict[str, Any] = await get_json(f"{url}/control/counts")
    return Reading(
        time.monotonic(),
        {name: core_seconds(child.pid) for name, child in daemons.items()},
        {name: await stream_bytes(child) for name, child in daemons.items()},
        {name: resident_bytes(child.pid) for name, child in daemons.items()},
        int(counts["read"]) + int(counts["watch"]),
        int(counts["bytes_sent"]) + int(listed["bytes_sent"]),
    )


async def stream_bytes(child: Child) -> float:
    """Return the bytes that a process has sent and received on gypsumpier's streams."""
    text = await get_text(f"{administration_url(child)}/metrics")
    lines = [line for line in text.splitlines() if line.startswith("gypsumpier_stream_bytes_total")]
    return sum(float(line.rsplit(" ", 1)[1]) for line in lines)


def cost(before: Reading, after: Reading) -> Cost:
    """Return the rates between two readings, for the instances that both contain."""
    seconds = after.at_s - before.at_s
    names = sorted(before.core_s.keys() & after.core_s.keys())
    return Cost(
        (after.service_calls - before.service_calls) / seconds,
        [(after.core_s[name] - before.core_s[name]) / seconds for name in names],
        [(after.stream_bytes[name] - before.stream_bytes[name]) / seconds for name in names],
        (after.platform_bytes - before.platform_bytes) / seconds,
        [after.resident_bytes[name] for name in names],
    )
