"""Predicts pauses from past ones: a histogram for each tool, child and program."""

from __future__ import annotations

from yokeline.scheduling.forecast import BUCKET_COUNT, PauseForecast, bucket_of
from yokeline.scheduling.interface import PauseKind

MIN_SAMPLES = 5
"""Observations needed before a forecast is made."""
MAX_WEIGHT = 500.0
"""Total weight at which a histogram is halved, so that old pauses decay."""
MAX_NAMES = 4096
"""Least recently updated histograms are removed beyond this number."""


class PauseHistogram:
    """Counts of pauses in fixed buckets, with decay."""

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
    """Learns the lengths of pauses by kind and name."""

    def __init__(self) -> None:
        """Create a predictor without observations."""
        self._histograms: dict[_Key, PauseHistogram] = {}

    def observe(self, kind: PauseKind, name: str, seconds: float) -> None:
        """Learn from a pause that ended."""
        # Moved to the end, so that the first one is the least recently updated.
        histogram = self._histograms.pop((kind, name), None) or PauseHistogram()
        self._histograms[kind, name] = histogram
        histogram.add(seconds)
        if len(self._histograms) > MAX_NAMES:
            del self._histograms[next(iter(self._histograms))]

    def forecast(self, kind: PauseKind, name: str) -> PauseForecast | None:
        """Return the forecast of a pause that begins now; None without enough observations."""
        histogram = self._histograms.get((kind, name))
        return histogram.forecast() if histogram is not None else None
