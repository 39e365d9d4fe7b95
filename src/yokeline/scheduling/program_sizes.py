"""How large programs of one kind are, learned from those that have ended.

The load it answers: programs of one kind differ, and a few of them loop without end. So a size is a
mean with its mean deviation, later programs count for more than earlier ones, and no single program
counts for more than a few usual ones.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

from yokeline.scheduling.medians import median

LEAST_PROGRAMS = 5
"""Programs that must have ended before a size is known: of five the median is that of whole
programs even if two of them looped."""
AVERAGING_PROGRAMS = 40
"""Programs after which an earlier one counts for a third of what it did; until there are so many,
all count alike, so that the first few do not decide for long."""
OUTLIER_FACTOR = 4.0
"""A program counts for no more than this multiple of the usual one."""
MIN_DURATION_SECONDS = 0.05
"""Shortest span of a program: one that sends all its requests at once has no pace."""


class ProgramSize(msgspec.Struct, frozen=True, kw_only=True):
    """What a program of a kind is expected to ask for.

    Attributes:
        requests: Mean number of its requests.
        deviation: Mean deviation of that number.
        seconds: Mean time from its first request to its last activity.
    """

    requests: float
    deviation: float
    seconds: float

    @property
    def rate(self) -> float:
        """Requests a second while it runs."""
        return self.requests / self.seconds

    @property
    def max_requests(self) -> float:
        """Requests beyond which a program is not what was expected: it loops."""
        return OUTLIER_FACTOR * max(1.0, self.requests)


class _Sample(msgspec.Struct, frozen=True):
    """One program that has ended."""

    requests: float
    seconds: float


class SizeEstimate:
    """Learns the size of one kind of program."""

    def __init__(self) -> None:
        """Know nothing."""
        self._ended_programs = 0
        self._initial_samples: list[_Sample] = []
        self._size: ProgramSize | None = None

    @property
    def size(self) -> ProgramSize | None:
        """The size; None until enough programs have ended."""
        return self._size

    def observe(self, requests: int, seconds: float) -> None:
        """Learn from a program that has ended.

        Args:
            requests: That it sent in all.
            seconds: From its first request to its last activity.
        """
        sample = _Sample(float(requests), max(MIN_DURATION_SECONDS, seconds))
        self._ended_programs += 1
        if self._size is not None:
            weight = 1.0 / min(self._ended_programs, AVERAGING_PROGRAMS)
            self._size = _updated(self._size, sample, weight)
            return
        self._initial_samples.append(sample)
        if len(self._initial_samples) >= LEAST_PROGRAMS:
            self._size = _initial_size(self._initial_samples)
            self._initial_samples.clear()


def _initial_size(samples: list[_Sample]) -> ProgramSize:
    """Return the size that a few programs tell; medians first, so that loops do not set the cap."""
    max_requests = OUTLIER_FACTOR * median([item.requests for item in samples])
    max_seconds = OUTLIER_FACTOR * median([item.seconds for item in samples])
    capped = [min(item.requests, max_requests) for item in samples]
    requests = _mean(capped)
    return ProgramSize(
        requests=requests,
        deviation=_mean([abs(item - requests) for item in capped]),
        seconds=_mean([min(item.seconds, max_seconds) for item in samples]),
    )


def _updated(size: ProgramSize, sample: _Sample, weight: float) -> ProgramSize:
    """Return a size after one more program, which counts for ``weight``."""
    requests = min(sample.requests, size.max_requests)
    seconds = min(sample.seconds, OUTLIER_FACTOR * size.seconds)
    deviation = abs(requests - size.requests)
    return ProgramSize(
        requests=size.requests + weight * (requests - size.requests),
        deviation=size.deviation + weight * (deviation - size.deviation),
        seconds=size.seconds + weight * (seconds - size.seconds),
    )


def _mean(values: Sequence[float]) -> float:
    return math.fsum(values) / len(values)
