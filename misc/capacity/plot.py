"""Plots a slope to a PNG file."""

from pathlib import Path
from typing import Final

import matplotlib

from misc.capacity.slope import Slope

matplotlib.use("Agg")
WIDTH_INCHES: Final = 6.0
HEIGHT_INCHES: Final = 4.0


def plot_slope(slope: Slope, directory: Path) -> Path:
    """Write the plot of the points, the line and the limit; return the file's path."""
    from matplotlib import pyplot

    line = slope.fit()
    figure, axes = pyplot.subplots(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    sizes = [0.0, slope.target_size]
    axes.plot(sizes, [line.intercept + line.slope * size for size in sizes], label="fitted line")
    axes.plot([p.size for p in slope.points], [p.cost for p in slope.points], "o", label="measured")
    axes.plot([slope.target_size], [slope.at_target()], "s", label="at the target size")
    if slope.limit is not None:
        axes.axhline(slope.limit, linestyle="--", color="grey", label="limit")
    axes.set_xlabel(slope.size_unit)
    axes.set_ylabel(slope.unit)
    axes.set_title(f"{slope.name} (r2 {line.r2:.3f})")
    axes.legend()
    path = directory / f"{slope.name}.png"
    figure.savefig(path)
    pyplot.close(figure)
    return path
