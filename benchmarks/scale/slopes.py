"""Least squares for the slopes."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec


class Line(msgspec.Struct, frozen=True):
    """``value = base + slope * x``."""

    base: float
    slope: float

    def at(self, x: float) -> float:
        """Return the value at ``x``."""
        return self.base + self.slope * x


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Return the least squares line through two or more points with different ``x``."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return Line(mean_y - slope * mean_x, slope)
