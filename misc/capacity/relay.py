"""Cost of relaying: processor time and delay by the rate of tokens through one entry.

The setup is one entry, three model agents with one engine each, and the load tool in a separate
process.  The rate counts the tokens that the engines generated during the window.
"""

import asyncio
import json
import shutil
from pathlib import Path
from typing import Any, Final, NamedTuple

from gypsumpier.test import builders
from misc.capacity import target
from misc.capacity.bench import ZONE, Bench, url_of
from misc.capacity.slope import Point, Slope
from misc.capacity.usage import WINDOW_S, measure_usage
from misc.child import Child
from misc.fleet import Fleet
from misc.http import get_json
from misc.load import run_load
from misc.load_arrivals import Profile
from misc.load_call import Target

TOKENS_PER_S: Final = (500, 1000, 2000, 4000)
TOKENS_PER_ANSWER: Final = 200
ENGINES: Final = 3
WARM_UP_S: Final = 6.0
STREAMS_PER_ENGINE: Final = 64
WEIGHT_BYTES: Final = 64 * 1024
READY_POLL_S: Final = 0.2


class RelayCost(NamedTuple):
    """The cost at one rate: shares of a core, and 95th percentiles in seconds."""

    tokens_per_s: float
    entry_core: float
    agent_core: float
    first_token_s: float
    between_tokens_s: float


async def measure_relay(directory: Path) -> list[Slope]:
    """Measure relaying at each rate of tokens."""
    costs = [await relay_cost(directory, tokens) for tokens in TOKENS_PER_S]
    entry, whole = target.TOKENS_PER_ENTRY_S, target.WHOLE_CORE
    first, between = target.FIRST_TOKEN_S, target.BETWEEN_TOKENS_S
    return [
        slope("entry_relay_cpu", "core", costs, "entry_core", entry, whole),
        agent_slope(costs),
        slope("first_token_p95", "s", costs, "first_token_s", entry, first),
        slope("between_tokens_p95", "s", costs, "between_tokens_s", entry, between),
    ]


async def relay_cost(directory: Path, tokens_per_s: int) -> RelayCost:
    """Measure one rate in a fresh set of processes."""
    weights = directory / "weights"
    builders.write_weights(weights, "model", "v1", WEIGHT_BYTES)
    async with Fleet(directory) as fleet:
        bench = Bench(fleet)
        await bench.start()
        store = await fleet.start_standin("store", "store", directory=weights)
        engines, agents = await start_agents(bench, url_of(store))
        entry = await bench.start_entry(f"entry/{ZONE}/0")
        await bench.publish(document())
        entry_url = f"http://127.0.0.1:{entry.ports['http_port']}"
        await wait_ready(entry_url)
        load = asyncio.create_task(start_load(fleet, entry_url, tokens_per_s))
        await asyncio.sleep(WARM_UP_S)
        before = await count_tokens(engines)
        entry_usage, agent_usage = await asyncio.gather(
            measure_usage(entry.pid), measure_usage(agents[0].pid)
        )
        tokens_made_per_s = (await count_tokens(engines) - before) / WINDOW_S
        result = await load
    shutil.rmtree(weights)
    assert set(result["outcomes"]) == {"done"}, result["outcomes"]
    return RelayCost(
        tokens_made_per_s,
        entry_usage.core_share,
        agent_usage.core_share,
        result["first_token"]["p95_s"],
        result["between_tokens"]["p95_s"],
    )


async def start_agents(bench: Bench, store_url: str) -> tuple[list[Child], list[Child]]:
    """Start the engines and their agents and put the agents on the member list."""
    engines: list[Child] = []
    agents: list[Child] = []
    for number in range(ENGINES):
        flags = {"capacity": STREAMS_PER_ENGINE, "load_s": 0.0}
        engine = await bench.fleet.start_standin("engine", f"engine-{number}", **flags)
        name = f"model/{ZONE}/{number}"
        settings = bench.settings | {"store_url": store_url, "origin_url": store_url}
        agent = await bench.fleet.start_daemon(
            name, role="agent", service="model", upstream_url=url_of(engine), **settings
        )
        await bench.list_members([bench.member(agent, "agent", "model")])
        engines.append(engine)
        agents.append(agent)
    return engines, agents


def document() -> dict[str, Any]:
    """Return the document of the model service."""
    return builders.model_document(
        service="model",
        model="model",
        zones=[{"zone": ZONE, "replicas": ENGINES}],
        workspaces=[builders.workspace("lab", 1, ZONE)],
        limits={
            "in_flight_per_upstream": STREAMS_PER_ENGINE,
            "body_bytes": 65536,
            "deadline_s": 30.0,
        },
    )


async def wait_ready(entry_url: str) -> None:
    """Wait until four requests per engine in a row succeed, so that every engine is serving."""
    answered = 0
    while answered < 4 * ENGINES:
        profile = Profile(rate_per_s=50.0, duration_s=0.1)
        result = await run_load(profile, Target((entry_url,), "model", max_tokens=1))
        done = result.outcomes.get("done", 0)
        answered = answered + done if set(result.outcomes) <= {"done"} else 0
        await asyncio.sleep(READY_POLL_S)


async def start_load(fleet: Fleet, entry_url: str, tokens_per_s: int) -> dict[str, Any]:
    """Run the load tool as a process until it ends; return its result."""
    output = fleet.directory / "load.json"
    output.unlink(missing_ok=True)
    flags = {
        "--url": entry_url,
        "--service": "model",
        "--rate": tokens_per_s / TOKENS_PER_ANSWER,
        "--duration-s": WARM_UP_S + WINDOW_S,
        "--max-tokens": TOKENS_PER_ANSWER,
        "--output": output,
    }
    arguments = [text for flag, value in flags.items() for text in (flag, str(value))]
    status = await fleet.run_to_end("load", "misc.load", arguments)
    assert status == 0, f"the load tool ended with status {status}"
    result: dict[str, Any] = json.loads(output.read_text())
    return result


async def count_tokens(engines: list[Child]) -> int:
    """Return the number of tokens that the engines have generated."""
    counts = [await get_json(f"{url_of(engine)}/control/counts") for engine in engines]
    return sum(count["tokens"] for count in counts)


def slope(
    name: str,
    unit: str,
    costs: list[RelayCost],
    field: str,
    target_size: float,
    limit: float,
) -> Slope:
    """Return the slope of one field of the costs against the entry's token rate."""
    points = [Point(cost.tokens_per_s, getattr(cost, field)) for cost in costs]
    return Slope(name, unit, "tokens/s", points, target_size, limit)


def agent_slope(costs: list[RelayCost]) -> Slope:
    """Return the slope of one agent, which relays its share of the tokens."""
    points = [Point(cost.tokens_per_s / ENGINES, cost.agent_core) for cost in costs]
    size = target.TOKENS_PER_WORKER_S
    return Slope("agent_relay_cpu", "core", "tokens/s", points, size, target.WHOLE_CORE)
