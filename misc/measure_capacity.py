"""Measures the slopes of docs/CAPACITY.md.

Writes ``build/capacity/slopes.json``, the table ``slopes.md`` and a plot of each slope.  The last
line is one JSON object with all slopes, including those of other groups from earlier runs.
Absolute times vary with the machine and from run to run.
"""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final

import click

from misc.capacity.links import measure_busy_links, measure_links
from misc.capacity.page import table
from misc.capacity.plot import plot_slope
from misc.capacity.relay import measure_relay
from misc.capacity.rollout import measure_rollout
from misc.capacity.slope import Slope
from misc.capacity.spread import measure_spread
from misc.capacity.tables import measure_tables

RESULT_NAME: Final = "slopes.json"
TABLE_NAME: Final = "slopes.md"

Measurement = Callable[[Path], Awaitable[list[Slope]]]

MEASUREMENTS: Final[dict[str, Measurement]] = {
    "tables": measure_tables,
    "links": measure_links,
    "busy": measure_busy_links,
    "spread": measure_spread,
    "relay": measure_relay,
    "rollout": measure_rollout,
}


@click.command()
@click.option("--only", multiple=True, type=click.Choice(list(MEASUREMENTS)))
@click.option("--output", default="build/capacity", type=click.Path(path_type=Path))
def main(only: tuple[str, ...], output: Path) -> None:
    """Measure all slopes, or only the named groups."""
    output.mkdir(parents=True, exist_ok=True)
    slopes = asyncio.run(measure(only or tuple(MEASUREMENTS), output))
    measured = [slope.summary() | {"group": group} for group, slope in slopes]
    summary = {"slopes": merge_slopes(output / RESULT_NAME, measured)}
    (output / RESULT_NAME).write_text(json.dumps(summary, indent=1))
    (output / TABLE_NAME).write_text(table(summary["slopes"]))
    for _, slope in slopes:
        plot_slope(slope, output)
    print(json.dumps(summary))


def merge_slopes(path: Path, measured: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the slopes in the file, with those of the same name replaced by the new ones."""
    earlier = json.loads(path.read_text())["slopes"] if path.exists() else []
    names = {slope["name"] for slope in measured}
    return [slope for slope in earlier if slope["name"] not in names] + measured


async def measure(names: tuple[str, ...], output: Path) -> list[tuple[str, Slope]]:
    """Run the groups in sequence; return the slopes with the names of their groups."""
    slopes: list[tuple[str, Slope]] = []
    for name in names:
        started_s = time.monotonic()
        found = await MEASUREMENTS[name](output / "logs")
        slopes += [(name, slope) for slope in found]
        print(f"{name} took {time.monotonic() - started_s:.0f} s", flush=True)
        for slope in found:
            print(describe(slope.summary()), flush=True)
    return slopes


def describe(summary: dict[str, Any]) -> str:
    """Format the summary of a slope as one line of text."""
    points = " ".join(f"{size:g}:{cost:.4g}" for size, cost in summary["points"])
    return (
        f"  {summary['name']}: {points} {summary['unit']}; {summary['slope']:.4g} for each of "
        f"{summary['size_unit']}, r2 {summary['fit_r2']:.3f}; {summary['at_target']:.4g} at "
        f"{summary['target_size']:g}, limit {summary['limit']}, holds {summary['holds']}"
    )


if __name__ == "__main__":
    main()
