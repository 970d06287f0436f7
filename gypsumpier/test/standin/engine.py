"""Stand-in for a model engine; ``batch`` and ``weights`` implement its parts.

Control: ``POST /control/crash {"marker"}`` (the process dies on a prompt that contains it),
``/control/freeze {"on"}`` (steps and answers stop), ``/control/down {"on"}`` and ``GET
/control/counts``.
"""

import asyncio
import os
import time
import uuid
from typing import Any, Final

import click
from tornado.web import Application

from gypsumpier.test.standin.batch import Batch, BatchOptions, Stream
from gypsumpier.test.standin.enginehandler import (
    CacheEventsHandler,
    CompletionHandler,
    OrderHandler,
    StageHandler,
    StatusHandler,
    StreamHandler,
)
from gypsumpier.test.standin.server import DownControl, StandinHandler, serve
from gypsumpier.test.standin.weights import Weights

CRASH_EXIT_STATUS: Final = 70
MAX_STREAMS: Final = 10_000


class EngineState:
    """The state of the engine and its faults."""

    def __init__(
        self,
        batch: BatchOptions,
        weights: Weights,
        status_lag_s: float = 0.0,
    ) -> None:
        self.down = False
        self.crash_marker = ""
        self.batch = Batch(batch)
        self.weights = weights
        self.status_lag_s = status_lag_s
        self.incarnation = uuid.uuid4().hex
        self.streams: dict[str, Stream] = {}
        self.arrivals = 0
        self.report: dict[str, Any] = {}
        self.reported_at_s = float("-inf")
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start the batch; needs a running event loop."""
        self.spawn(self.batch.run())

    def spawn(self, coroutine: Any) -> None:
        """Run a coroutine as a task of the engine."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def stop(self) -> None:
        """Cancel the engine's tasks."""
        for task in self.tasks:
            task.cancel()

    def status(self) -> dict[str, Any]:
        """Return the report, which is refreshed at most once per ``status_lag_s`` seconds."""
        if time.monotonic() - self.reported_at_s >= self.status_lag_s:
            self.reported_at_s = time.monotonic()
            self.report = {
                "live": list(self.weights.live),
                "running": len(self.batch.running),
                "waiting": len(self.batch.waiting),
                "capacity": self.batch.options.capacity,
                "free_memory_bytes": self.weights.free_bytes,
                "incarnation": self.incarnation,
            }
        return self.report

    def submit(self, order: dict[str, Any]) -> Stream | None:
        """Start a generation; return None if its version is not live.

        The process exits at once if the prompt contains the crash marker.
        """
        versions = [(entry["model"], entry["version"]) for entry in self.weights.live]
        if (order["model"], order["version"]) not in versions:
            return None
        self.arrivals += 1
        stream = Stream(order, self.arrivals)
        if self.crash_marker and self.crash_marker in stream.prompt:
            os._exit(CRASH_EXIT_STATUS)
        self.streams[order["stream_id"]] = stream
        while len(self.streams) > MAX_STREAMS:
            del self.streams[next(iter(self.streams))]
        self.batch.submit(stream)
        return stream


class ControlHandler(StandinHandler):
    """Sets faults and reads the counts."""

    state: EngineState

    def post(self, action: str) -> None:
        body = self.json_body()
        if action == "crash":
            self.state.crash_marker = str(body["marker"])
        elif action == "freeze" and body["on"]:
            self.state.batch.not_frozen.clear()
        elif action == "freeze":
            self.state.batch.not_frozen.set()
        self.finish({})

    def get(self, action: str) -> None:
        state = self.state
        self.finish(
            {
                "loads": state.weights.loads,
                "partial_or_mixed_loads": state.weights.partial_or_mixed_loads,
                "stale_orders": state.weights.stale_orders,
                "live": state.weights.live,
                "arrivals": state.arrivals,
                "tokens": state.batch.tokens,
                "cache_hits": state.batch.cache.hits,
                "cache_misses": state.batch.cache.misses,
            }
        )


def make_application(state: EngineState) -> Application:
    """Return the stand-in as an application."""
    arguments = {"state": state}
    return Application(
        [
            ("/status", StatusHandler, arguments),
            ("/stage", StageHandler, arguments),
            ("/(load|unload)", OrderHandler, arguments),
            ("/completions", CompletionHandler, arguments),
            ("/streams/(.+)", StreamHandler, arguments),
            ("/cache-events", CacheEventsHandler, arguments),
            ("/control/down", DownControl, arguments),
            ("/control/(.*)", ControlHandler, arguments),
        ]
    )


async def run(port: int, batch: BatchOptions, weights: Weights, status_lag_s: float) -> None:
    """Serve the stand-in."""
    state = EngineState(batch, weights, status_lag_s)
    state.start()
    await serve(make_application(state), port)
    state.stop()


@click.command()
@click.option("--port", default=0)
@click.option("--fencing/--no-fencing", default=True)
@click.option("--memory-bytes", default=1024 * 1024 * 1024)
@click.option("--load-s", default=0.2)
@click.option("--status-lag-s", default=0.2)
@click.option("--capacity", default=BatchOptions().capacity)
@click.option("--step-s", default=BatchOptions().step_s)
@click.option("--cache-blocks", default=BatchOptions().cache_blocks)
def main(
    port: int,
    fencing: bool,
    memory_bytes: int,
    load_s: float,
    status_lag_s: float,
    capacity: int,
    step_s: float,
    cache_blocks: int,
) -> None:
    """Serve the stand-in as a process."""
    batch = BatchOptions(capacity=capacity, step_s=step_s, cache_blocks=cache_blocks)
    weights = Weights(memory_bytes, load_s, fencing)
    asyncio.run(run(port, batch, weights, status_lag_s))


if __name__ == "__main__":
    main()
