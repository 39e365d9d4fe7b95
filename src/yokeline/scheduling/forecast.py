"""Forecasts of pauses: a distribution over fixed buckets of seconds."""

from __future__ import annotations

import bisect
import itertools
from collections.abc import Sequence

import msgspec

MIN_BOUND_SECONDS = 0.01
BUCKETS_PER_DOUBLING = 2
BUCKET_COUNT = 44

BUCKET_BOUNDS_SECONDS = tuple(
    MIN_BOUND_SECONDS * 2.0 ** (index / BUCKETS_PER_DOUBLING) for index in range(BUCKET_COUNT)
)
"""Upper bounds of the buckets in seconds: 10 ms to about 8 h; a last bucket is open."""


def bucket_of(seconds: float) -> int:
    """Return the index of the bucket that a length falls into."""
    return bisect.bisect_left(BUCKET_BOUNDS_SECONDS, seconds)


def bucket_seconds(index: int) -> float:
    """Return the length that stands for a bucket: its upper bound."""
    return BUCKET_BOUNDS_SECONDS[min(index, BUCKET_COUNT - 1)]


class PauseForecast(msgspec.Struct, frozen=True, kw_only=True):
    """A discrete distribution of a pause's length.

    Attributes:
        seconds: Possible lengths, ascending.
        shares: Their probabilities; they add up to 1.
    """

    seconds: tuple[float, ...]
    probabilities: tuple[float, ...]

    @classmethod
    def exactly(cls, seconds: float) -> PauseForecast:
        """Return the forecast of a known length."""
        return cls(seconds=(seconds,), probabilities=(1.0,))

    @classmethod
    def of_counts(cls, counts: Sequence[float]) -> PauseForecast:
        """Return the forecast of counts per bucket (at least one above zero)."""
        total = sum(counts)
        pairs = [(index, count) for index, count in enumerate(counts) if count > 0]
        return cls(
            seconds=tuple(bucket_seconds(index) for index, _count in pairs),
            probabilities=tuple(count / total for _index, count in pairs),
        )

    def probability_within(self, limit: float) -> float:
        """Return the probability that the pause is over after ``limit`` seconds."""
        count = bisect.bisect_right(self.seconds, limit)
        return min(1.0, sum(self.probabilities[:count]))

    def expected_seconds_within(self, limit: float) -> float:
        """Return the expected seconds until the pause or ``limit`` is over, the first of both."""
        pairs = zip(self.seconds, self.probabilities, strict=True)
        return sum(min(seconds, limit) * probability for seconds, probability in pairs)

    def quantile(self, probability: float) -> float:
        """Return the least length within which the pause is over with probability ``share``."""
        cumulative = itertools.accumulate(self.probabilities)
        for seconds, total in zip(self.seconds, cumulative, strict=True):
            if total >= probability:
                return seconds
        return self.seconds[-1]
