"""Cost of the links between entries and agents: heartbeats and state reports.

Idle links are measured from both ends.  For busy links, all requests of the measured agent come
through one additional entry, so that the other entries' links carry only reports of its load.
"""

import asyncio
from pathlib import Path
from typing import Any, Final, NamedTuple

from gypsumpier.test import builders
from misc.capacity import target
from misc.capacity.bench import IDLE_INTERVAL_S, SERVICE, ZONE, Bench
from misc.capacity.slope import Point, Slope
from misc.capacity.usage import Usage, measure_usage
from misc.capacity.wire import count_wire
from misc.child import Child
from misc.fleet import Fleet
from misc.load import run_load
from misc.load_arrivals import Profile
from misc.load_call import Target

AGENT_COUNTS: Final = (32, 64, 128, 256)
ENTRY_COUNTS: Final = (8, 16, 32, 64)
LINK_POLL_S: Final = 0.2
# Time until the member lists have been distributed and then both ends have adopted the heartbeat
# interval, which grows with the number of links.
SETTLE_S: Final = 6.0
SETTLE_PER_LINK_S: Final = 0.06
REQUESTS_PER_WORKER_S: Final = target.REQUESTS_PER_S / target.WORKERS
BUSY_S: Final = 18.0


class LinkCost(NamedTuple):
    """The resource usage of one process with that many links."""

    links: int
    usage: Usage


async def measure_links(directory: Path) -> list[Slope]:
    """Measure an entry by its number of agents and an agent by its number of entries."""
    by_agents = [await entry_cost(directory, count) for count in AGENT_COUNTS]
    by_entries = [await agent_cost(directory, count) for count in ENTRY_COUNTS]
    return [
        *slopes_of("entry_links", "agents", by_agents, target.ENTRY_LINKS),
        *slopes_of("agent_links", "entries", by_entries, target.AGENT_LINKS),
    ]


async def measure_busy_links(directory: Path) -> list[Slope]:
    """Measure an agent that serves requests from one entry, against its number of idle links."""
    costs = [await busy_cost(directory, count) for count in ENTRY_COUNTS]
    wire = [Point(one.links, one.usage.wire_bytes_per_s) for one in costs]
    limit = target.CONTROL_BYTES_PER_S
    return [Slope("busy_agent_links_wire", "B/s", "links", wire, target.AGENT_LINKS, limit)]


async def entry_cost(directory: Path, count: int) -> LinkCost:
    """Measure one entry with links to that many agents."""
    async with Fleet(directory) as fleet:
        bench = Bench(fleet)
        await bench.start()
        await bench.start_swarm("agent", count)
        entry = await bench.start_entry(f"entry/{ZONE}/0", membership_interval_s=IDLE_INTERVAL_S)
        return await cost(bench, entry, count)


async def agent_cost(directory: Path, count: int) -> LinkCost:
    """Measure one agent with links from that many entries."""
    async with Fleet(directory) as fleet:
        bench = Bench(fleet)
        await bench.start()
        agent = await bench.start_agent(f"plain/{ZONE}/0", membership_interval_s=IDLE_INTERVAL_S)
        await bench.list_members([bench.member(agent, "agent", "plain")])
        await bench.start_swarm("entry", count)
        return await cost(bench, agent, count)


async def busy_cost(directory: Path, count: int) -> LinkCost:
    """Measure one agent with that many idle links while it serves its share of the requests."""
    async with Fleet(directory) as fleet:
        bench = Bench(fleet)
        await bench.start()
        await bench.publish(document())
        agent = await bench.start_agent(
            f"{SERVICE}/{ZONE}/0", membership_interval_s=IDLE_INTERVAL_S
        )
        await bench.list_members([bench.member(agent, "agent", SERVICE)])
        entry = await bench.start_entry(f"entry/{ZONE}/0")
        await bench.start_swarm("entry", count)
        url = f"http://127.0.0.1:{entry.ports['http_port']}"
        profile = Profile(REQUESTS_PER_WORKER_S, BUSY_S)
        load = asyncio.create_task(run_load(profile, Target((url,), SERVICE, "/", "GET")))
        found = await cost(bench, agent, count + 1)
        result = await load
        assert result.outcomes.get("done"), result.outcomes
        return found


def document() -> dict[str, Any]:
    """Return the document of the plain service."""
    zones = [{"zone": ZONE, "replicas": 1}]
    workspaces = [builders.workspace("lab", 1, ZONE)]
    return builders.plain_document(service=SERVICE, zones=zones, workspaces=workspaces)


async def cost(bench: Bench, measured: Child, count: int) -> LinkCost:
    """Wait until all links are connected and settled, then measure for one window."""
    while count_wire(measured.pid, bench.platform_ports).connections < count:
        await asyncio.sleep(LINK_POLL_S)
    await asyncio.sleep(SETTLE_S + SETTLE_PER_LINK_S * count)
    usage = await measure_usage(measured.pid, excluded_ports=bench.platform_ports)
    return LinkCost(count, usage)


def slopes_of(name: str, size_unit: str, costs: list[LinkCost], target_size: float) -> list[Slope]:
    """Return the slopes of processor time, memory and bytes on the wire for one end."""
    cores = [Point(one.links, one.usage.core_share) for one in costs]
    memory = [Point(one.links, one.usage.resident_bytes) for one in costs]
    wire = [Point(one.links, one.usage.wire_bytes_per_s) for one in costs]
    held = target.CONTROL_MEMORY_BYTES
    return [
        Slope(f"{name}_cpu", "core", size_unit, cores, target_size, target.CONTROL_CORE_SHARE),
        Slope(f"{name}_memory", "B", size_unit, memory, target_size, held),
        Slope(f"{name}_wire", "B/s", size_unit, wire, target_size, target.CONTROL_BYTES_PER_S),
    ]
