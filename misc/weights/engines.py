"""Runs several engine stand-ins in one process, to limit the number of processes in a burst."""

import asyncio
import json
import signal

import click

from gypsumpier.test.standin.batch import BatchOptions
from gypsumpier.test.standin.engine import EngineState, make_application
from gypsumpier.test.standin.server import listen
from gypsumpier.test.standin.weights import Weights


async def run(count: int, memory_bytes: int, load_s: float, status_lag_s: float) -> None:
    """Serve the engines until a termination signal."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    ports = {}
    for index in range(count):
        weights = Weights(memory_bytes, load_s, fencing=True)
        state = EngineState(BatchOptions(), weights, status_lag_s)
        state.start()
        ports[str(index)] = listen(make_application(state))[1]
    print(f"listening {json.dumps(ports)}", flush=True)
    await stopped.wait()


@click.command()
@click.option("--count", default=1)
@click.option("--memory-bytes", default=1 << 30)
@click.option("--load-s", default=0.2)
@click.option("--status-lag-s", default=0.2)
def main(count: int, memory_bytes: int, load_s: float, status_lag_s: float) -> None:
    """Serve the engines as one process."""
    asyncio.run(run(count, memory_bytes, load_s, status_lag_s))


if __name__ == "__main__":
    main()
