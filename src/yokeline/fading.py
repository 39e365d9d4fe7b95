"""A moving average of observations that fades back to its resting value without new ones."""

from __future__ import annotations

import math

import msgspec


class FadingAverage(msgspec.Struct):
    """What was observed lately of one thing.

    Attributes:
        rest: The value while nothing is known, and the one that it fades to.
        weight: Of one observation (0 to 1).
        fade_seconds: Time in which the distance from ``rest`` falls to a third.
        observed_at: Time of the latest observation (seconds); ``-inf`` before the first.
    """

    rest: float
    weight: float
    fade_seconds: float
    observed_at: float = -math.inf
    _distance: float = 0.0

    def value(self, now: float) -> float:
        """Return what is believed now."""
        if not self._distance:
            return self.rest
        return self.rest + self._distance * math.exp((self.observed_at - now) / self.fade_seconds)

    def observe(self, observation: float, now: float) -> None:
        """Take an observation in."""
        value = self.value(now)
        self._distance = value + self.weight * (observation - value) - self.rest
        self.observed_at = now
