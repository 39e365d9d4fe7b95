"""Forecasts of pauses: a distribution over fixed buckets of seconds."""

from __future__ import annotations

import bisect
import itertools
from collections.abc import Sequence

import msgspec

MIN_BOUND_SECONDS = 0.01
"""Upper bound of the first bucket."""
BUCKETS_PER_DOUBLING = 2
"""Buckets within which the bounds double."""
BUCKET_COUNT = 44

BUCKET_BOUNDS_SECONDS = tuple(
    MIN_BOUND_SECONDS * 2.0 ** (index / BUCKETS_PER_DOUBLING) for index in range(BUCKET_COUNT)
)
"""Upper bounds of the buckets, from 10 ms to about 8 h; the last bucket is open."""


def bucket_of(seconds: float) -> int:
    """Return the index of the bucket that contains a length."""
    return bisect.bisect_left(BUCKET_BOUNDS_SECONDS, seconds)


def bucket_seconds(index: int) -> float:
    """Return the length that represents a bucket: its upper bound."""
    return BUCKET_BOUNDS_SECONDS[min(index, BUCKET_COUNT - 1)]


class PauseForecast(msgspec.Struct, frozen=True, kw_only=True):
    """A discrete distribution of a pause's length.

    Attributes:
        seconds: Possible lengths, ascending.
        probabilities: Their probabilities; they add up to 1.
    """

    seconds: tuple[float, ...]
    probabilities: tuple[float, ...]

    @classmethod
    def exactly(cls, seconds: float) -> PauseForecast:
        """Return the forecast of a known length."""
        return cls(seconds=(seconds,), probabilities=(1.0,))

    @classmethod
    def of_counts(cls, counts: Sequence[float]) -> PauseForecast:
        """Return the forecast for counts by bucket, at least one of which is positive."""
        total = sum(counts)
        pairs = [(index, count) for index, count in enumerate(counts) if count > 0]
        return cls(
            seconds=tuple(bucket_seconds(index) for index, _count in pairs),
            probabilities=tuple(count / total for _index, count in pairs),
        )

    def probability_within(self, limit: float) -> float:
        """Return the probability that the pause ends within ``limit`` seconds."""
        count = bisect.bisect_right(self.seconds, limit)
        return min(1.0, sum(self.probabilities[:count]))

    def expected_seconds_within(self, limit: float) -> float:
        """Return the expected minimum of the pause and ``limit`` (seconds)."""
        pairs = zip(self.seconds, self.probabilities, strict=True)
        return sum(min(seconds, limit) * probability for seconds, probability in pairs)

    def quantile(self, probability: float) -> float:
        """Return the least length within which the pause ends with the given probability."""
        cumulative = itertools.accumulate(self.probabilities)
        for seconds, total in zip(self.seconds, cumulative, strict=True):
            if total >= probability:
                return seconds
        return self.seconds[-1]
