"""A cost measured at several sizes, and the straight line fitted to it."""

from typing import Any, NamedTuple


class Point(NamedTuple):
    """A size and the cost measured at it."""

    size: float
    cost: float


class Fit(NamedTuple):
    """A least-squares line; ``r2`` is the share of the variance that it explains."""

    slope: float
    intercept: float
    r2: float


class Slope(NamedTuple):
    """One cost by size; ``limit`` is None if the cost has no limit.

    ``unit`` names the cost's unit and ``size_unit`` what the size counts.
    """

    name: str
    unit: str
    size_unit: str
    points: list[Point]
    target_size: float
    limit: float | None

    def fit(self) -> Fit:
        """Return the line fitted to the points."""
        return fit_line(self.points)

    def at_target(self) -> float:
        """Return the cost that the line gives at the target size."""
        line = self.fit()
        return line.intercept + line.slope * self.target_size

    def summary(self) -> dict[str, Any]:
        """Return the slope as a JSON-compatible dictionary."""
        line = self.fit()
        at_target = self.at_target()
        return {
            "name": self.name,
            "unit": self.unit,
            "points": [list(point) for point in self.points],
            "slope": line.slope,
            "intercept": line.intercept,
            "fit_r2": line.r2,
            "at_target": at_target,
            "limit": self.limit,
            "holds": None if self.limit is None else at_target <= self.limit,
            "size_unit": self.size_unit,
            "target_size": self.target_size,
        }


def fit_line(points: list[Point]) -> Fit:
    """Return the least-squares line through the points."""
    count = len(points)
    mean_size = sum(point.size for point in points) / count
    mean_cost = sum(point.cost for point in points) / count
    spread = sum((point.size - mean_size) ** 2 for point in points)
    cross_products = sum((point.size - mean_size) * (point.cost - mean_cost) for point in points)
    slope = cross_products / spread
    intercept = mean_cost - slope * mean_size
    residual_squares = sum((point.cost - intercept - slope * point.size) ** 2 for point in points)
    cost_squares = sum((point.cost - mean_cost) ** 2 for point in points)
    return Fit(slope, intercept, 1.0 - residual_squares / cost_squares if cost_squares else 1.0)
