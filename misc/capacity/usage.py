"""Processor time, memory and bytes on the wire of one process over a window."""

import asyncio
import time
from pathlib import Path
from typing import Final, NamedTuple

import psutil

from misc.capacity.wire import count_wire

WINDOW_S: Final = 5.0
SETTLE_S: Final = 2.0
NS_PER_S: Final = 1_000_000_000


class Usage(NamedTuple):
    """Share of one core and bytes a second over the window, and resident memory at its end."""

    core_share: float
    resident_bytes: int
    wire_bytes_per_s: float


async def measure_usage(
    pid: int, window_s: float = WINDOW_S, excluded_ports: frozenset[int] = frozenset()
) -> Usage:
    """Measure the process over the window, without connections that use an excluded port."""
    wire_before = count_wire(pid, excluded_ports)
    before_s = core_seconds(pid)
    started_s = time.monotonic()
    await asyncio.sleep(window_s)
    elapsed_s = time.monotonic() - started_s
    share = (core_seconds(pid) - before_s) / elapsed_s
    wire_bytes = count_wire(pid, excluded_ports).wire_bytes - wire_before.wire_bytes
    return Usage(share, resident_bytes(pid), wire_bytes / elapsed_s)


def core_seconds(pid: int) -> float:
    """Return the processor time of all current threads so far, in seconds.

    It is read from the scheduler, which counts nanoseconds; other sources count clock ticks, which
    are too coarse here.
    """
    threads = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((thread / "schedstat").read_text().split()[0]) for thread in threads) / NS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory in bytes."""
    return int(psutil.Process(pid).memory_info().rss)
