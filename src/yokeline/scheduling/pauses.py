"""Prediction of pauses from the ones that ended: a histogram per tool, child and program."""

from __future__ import annotations

from yokeline.scheduling.forecast import BUCKET_COUNT, PauseForecast, bucket_of
from yokeline.scheduling.interface import PauseKind

MIN_SAMPLES = 5
"""Pauses that must have ended before a name gets a forecast of its own."""
MAX_WEIGHT = 500.0
"""Weight of a histogram at which it is halved, so that old pauses fade out."""
MAX_NAMES = 4096
"""Histograms kept; the one that was updated longest ago makes room."""


class PauseHistogram:
    """Counts of pauses in fixed buckets, with fading."""

    def __init__(self) -> None:
        """Create an empty histogram."""
        self._counts = [0.0] * (BUCKET_COUNT + 1)
        self.weight = 0.0

    def add(self, seconds: float) -> None:
        """Count a pause."""
        self._counts[bucket_of(seconds)] += 1.0
        self.weight += 1.0
        if self.weight >= MAX_WEIGHT:
            self._counts = [count / 2.0 for count in self._counts]
            self.weight /= 2.0

    def forecast(self) -> PauseForecast | None:
        """Return the distribution of the pauses so far; None while there are too few."""
        if self.weight < MIN_SAMPLES:
            return None
        return PauseForecast.of_counts(self._counts)


_Key = tuple[PauseKind, str]


class PausePredictor:
    """Learns the lengths of pauses by what causes them."""

    def __init__(self) -> None:
        """Create a predictor that knows nothing."""
        self._histograms: dict[_Key, PauseHistogram] = {}

    def observe(self, kind: PauseKind, name: str, seconds: float) -> None:
        """Learn from a pause that ended."""
        # Moved to the end, so that the first one is the one updated longest ago.
        histogram = self._histograms.pop((kind, name), None) or PauseHistogram()
        self._histograms[kind, name] = histogram
        histogram.add(seconds)
        if len(self._histograms) > MAX_NAMES:
            del self._histograms[next(iter(self._histograms))]

    def forecast(self, kind: PauseKind, name: str) -> PauseForecast | None:
        """Return what is known of a pause that begins now; None if too little is."""
        histogram = self._histograms.get((kind, name))
        return histogram.forecast() if histogram is not None else None
