"""Counts of observed values by bucket, without a metrics library."""

from __future__ import annotations

import bisect

DURATION_BUCKETS = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0, 300.0)
"""Upper bounds in seconds."""


class Histogram:
    """Counts of observed values by bucket."""

    def __init__(self, bounds: tuple[float, ...] = DURATION_BUCKETS) -> None:
        """Create an empty histogram with these ascending upper bounds."""
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Count a value."""
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.total += value

    def cumulative(self) -> list[tuple[str, float]]:
        """Return the cumulative counts with their upper bounds, as Prometheus has them."""
        rows: list[tuple[str, float]] = []
        running = 0
        for bound, count in zip([*self.bounds, float("inf")], self.counts, strict=True):
            running += count
            rows.append(("+Inf" if bound == float("inf") else repr(bound), running))
        return rows
