"""Running estimate of how long requests of one kind take.

Mean and mean deviation are estimated as round-trip times are (RFC 6298).
"""

from __future__ import annotations

import msgspec

MEAN_WEIGHT = 0.05
"""Weight of an observation in the mean and the deviation."""
HIGH_DEVIATIONS = 4.0
"""Mean deviations above the mean that few durations exceed."""


class DurationEstimate(msgspec.Struct):
    """Mean and mean deviation of durations (seconds), and how many were observed."""

    mean: float = 0.0
    deviation: float = 0.0
    count: int = 0

    def observe(self, seconds: float) -> None:
        """Take a duration into account."""
        if not self.count:
            self.mean = seconds
            self.deviation = seconds / 2
        self.count += 1
        self.deviation += MEAN_WEIGHT * (abs(seconds - self.mean) - self.deviation)
        self.mean += MEAN_WEIGHT * (seconds - self.mean)

    @property
    def high(self) -> float:
        """Duration that few requests exceed (seconds)."""
        return self.mean + HIGH_DEVIATIONS * self.deviation


class RouteDurations:
    """Durations of served requests, from their arrival to the end of their answers, by route."""

    def __init__(self) -> None:
        """Start without observations."""
        self._routes: dict[str, DurationEstimate] = {}

    def record(self, route: str, seconds: float) -> None:
        """Record the duration of a served request."""
        self._routes.setdefault(route, DurationEstimate()).observe(seconds)

    def find(self, route: str) -> DurationEstimate | None:
        """Return the estimate of a route; None if none of its requests was served."""
        return self._routes.get(route)

    def keep(self, routes: set[str]) -> None:
        """Forget routes that the configuration has no more."""
        self._routes = {name: item for name, item in self._routes.items() if name in routes}
