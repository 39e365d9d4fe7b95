"""Random variables of the workloads, each drawn from a given source."""

from __future__ import annotations

import math
import random


def lognormal(
    source: random.Random, median: float, spread: float, limits: tuple[float, float]
) -> float:
    """Draw from a lognormal distribution, cut to limits.

    Args:
        source: Source of randomness.
        median: Median of the distribution.
        spread: Standard deviation of the logarithm (0.5: a third above 1.25 times the median;
            1: a heavy tail).
        limits: Least and greatest value.
    """
    drawn = median * math.exp(source.gauss(0.0, spread))
    return min(max(drawn, limits[0]), limits[1])


def tokens(source: random.Random, median: float, spread: float, most: int) -> int:
    """Draw a number of tokens, lognormal, at least 8."""
    return round(lognormal(source, median, spread, (8.0, float(most))))


def geometric(source: random.Random, mean: float, least: int, most: int) -> int:
    """Draw ``least`` plus a geometric number, so that the mean is about ``mean``."""
    extra = mean - least
    if extra <= 0:
        return least
    stop = 1.0 / (1.0 + extra)
    drawn = math.floor(math.log(1.0 - source.random()) / math.log(1.0 - stop))
    return min(least + drawn, most)


def burst_time(source: random.Random, start: float, length: float, shape: float) -> float:
    """Draw a time within a burst: a rise and a longer fall (a beta distribution).

    Args:
        source: Source of randomness.
        start: When the burst starts, seconds.
        length: Its length, seconds.
        shape: Second parameter of the beta distribution (2, shape); the peak is at
            ``1 / shape`` of the length.
    """
    return start + length * source.betavariate(2.0, shape)
