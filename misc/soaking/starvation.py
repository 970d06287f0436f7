"""Records when processes were ready to run but got no processor, as on a busy machine."""

import asyncio
import os
import time
from pathlib import Path
from typing import Final

from misc.faulting.actions import Window
from misc.soaking.facts import MARGIN_S
from misc.soaking.node import Node
from misc.soaking.processorwait import ProcessorWait

STARVATION_INTERVAL_S: Final = 0.2
"""Seconds of a sample in which a process may be starved."""
WAIT_INTERVAL_S: Final = 0.05
"""Seconds of a sample of short waits; the last one of a process that ends is not known."""
NS_PER_S: Final = 1e9
SELF: Final = "soak"
"""Target of the windows in which the soak test's own process, with its callers, was starved."""


async def record_waits(
    nodes: dict[str, Node], waits: list[ProcessorWait], interval_s: float
) -> None:
    """Add the wait of each process in each sample, until cancelled."""
    waited_by_pid: dict[int, float] = {}
    sampled_at_s = time.monotonic()
    while True:
        await asyncio.sleep(interval_s)
        pids = [(SELF, os.getpid())]
        pids += [
            (name, node.process.pid)
            for name, node in nodes.items()
            if node.process is not None and node.is_running()
        ]
        now_s = time.monotonic()
        for name, pid in pids:
            total_s = processor_wait_s(pid)
            waited_s = total_s - waited_by_pid.get(pid, total_s)
            if waited_s > 0:
                # The kernel adds a wait when it ends, so that it may have begun before the sample.
                waits.append(ProcessorWait(name, sampled_at_s - waited_s, now_s, waited_s))
            waited_by_pid[pid] = total_s
        sampled_at_s = now_s


def starved(samples: list[ProcessorWait]) -> list[Window]:
    """Return a window for each sample in which a process waited over MARGIN_S."""
    return [
        Window("starved", wait.target, True, wait.began_at_s, wait.ended_at_s)
        for wait in samples
        if wait.waited_s > MARGIN_S
    ]


def processor_wait_s(pid: int) -> float:
    """Return the seconds for which a process's main thread has waited for a processor so far.

    Time in which the process itself is busy or blocked doesn't count.
    """
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / NS_PER_S
    except (OSError, IndexError):
        return 0.0
