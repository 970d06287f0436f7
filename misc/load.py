"""The load tool: seeded open-loop arrivals, latencies in HDR histograms, the result as JSON.

::

    python -m misc.load --url http://127.0.0.1:8080 --service gypsum-llm --rate 50 --duration-s 10

Measurements call ``run_load`` in their own event loop, or start this tool as a separate process
where the load generator would disturb what is measured.
"""

import asyncio
import json
import time
from pathlib import Path
from typing import Final

import click

from misc.load_arrivals import Profile, arrivals
from misc.load_call import Caller, Target
from misc.load_result import LoadResult

INDENT: Final = 2


async def run_load(profile: Profile, target: Target) -> LoadResult:
    """Run the load until the last answer; return its result."""
    result = LoadResult()
    caller = Caller(target, profile.seed, result)
    calls: set[asyncio.Task[None]] = set()
    start_s = time.monotonic()
    for arrival in arrivals(profile):
        due_at_s = start_s + arrival.at_s
        await asyncio.sleep(max(0.0, due_at_s - time.monotonic()))
        task = asyncio.ensure_future(caller.call(arrival, due_at_s))
        calls.add(task)
        task.add_done_callback(calls.discard)
    if calls:
        await asyncio.gather(*calls)
    result.duration_s = time.monotonic() - start_s
    caller.client.close()
    return result


@click.command()
@click.option("--url", "urls", multiple=True, required=True, help="An entry; may be repeated.")
@click.option("--service", required=True, help="The model or the plain service.")
@click.option("--path", default="", help="Path below a plain service; empty for chat.")
@click.option("--method", default="POST", help="Method of plain calls.")
@click.option("--rate", default=10.0, help="Requests a second.")
@click.option("--duration-s", default=10.0, help="Seconds in which requests start.")
@click.option("--seed", default=1, help="Seed of arrivals and prompts.")
@click.option("--streamed-share", default=1.0, help="Share of chat requests that are streamed.")
@click.option("--max-tokens", default=None, type=int, help="Length of each answer in tokens.")
@click.option("--timeout-s", default=30.0, help="Seconds that a caller waits.")
@click.option("--workspace", "workspaces", multiple=True, help="A workspace; may be repeated.")
@click.option("--output", type=click.Path(path_type=Path), help="File for the result as JSON.")
def main(
    urls: tuple[str, ...],
    service: str,
    path: str,
    method: str,
    rate: float,
    duration_s: float,
    seed: int,
    streamed_share: float,
    max_tokens: int | None,
    timeout_s: float,
    workspaces: tuple[str, ...],
    output: Path | None,
) -> None:
    """Run a load and print the result; the last line is one JSON object."""
    profile = Profile(rate, duration_s, seed, streamed_share, workspaces or ("default",))
    target = Target(urls, service, path, method, max_tokens, timeout_s)
    summary = asyncio.run(run_load(profile, target)).summary()
    if output is not None:
        output.write_text(json.dumps(summary, indent=INDENT))
    print(json.dumps(summary))


if __name__ == "__main__":
    main()
