"""Sizes of programs, learned for each kind of program from those that ended.

The kinds are those of :mod:`yokeline.ledger.claims`. A size is a number of requests and a duration.
Sizes vary, and a few programs loop without end. So a size has a mean and a mean deviation, recent
programs weigh more, and the weight of an outlier is bounded.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

from yokeline.scheduling.medians import median

MIN_PROGRAMS = 5
"""Programs that must have ended before a size is known. The median of five is that of whole
programs even if two of them looped."""
AVERAGING_PROGRAMS = 40
"""Programs averaged with equal weight at first; later the window of the moving average. Otherwise
the first few programs would decide for long."""
OUTLIER_FACTOR = 4.0
"""A program counts for at most this multiple of the mean size, or of the median size among
the first :data:`MIN_PROGRAMS`."""
MIN_DURATION_SECONDS = 0.05
"""Minimum duration, for programs that send all their requests at once."""


class ProgramSize(msgspec.Struct, frozen=True, kw_only=True):
    """Expected size of a program of one kind.

    Attributes:
        requests: Mean number of requests.
        deviation: Mean deviation of that number.
        seconds: Mean time from the first request to the last activity.
    """

    requests: float
    deviation: float
    seconds: float

    @property
    def rate(self) -> float:
        """Requests per second during a program."""
        return self.requests / self.seconds

    @property
    def max_requests(self) -> float:
        """Number of requests beyond which a program is assumed to loop."""
        return OUTLIER_FACTOR * max(1.0, self.requests)


class _Sample(msgspec.Struct, frozen=True):
    """A program that ended."""

    requests: float
    seconds: float


class SizeEstimate:
    """Learns the size of one kind of program."""

    def __init__(self) -> None:
        """Create an estimate without observations."""
        self._ended_programs = 0
        self._initial_samples: list[_Sample] = []
        self._size: ProgramSize | None = None

    @property
    def size(self) -> ProgramSize | None:
        """The size; None until enough programs have ended."""
        return self._size

    def observe(self, requests: int, seconds: float) -> None:
        """Learn from a program that ended.

        Args:
            requests: Requests that it sent.
            seconds: From its first request to its last activity.
        """
        sample = _Sample(float(requests), max(MIN_DURATION_SECONDS, seconds))
        self._ended_programs += 1
        if self._size is not None:
            weight = 1.0 / min(self._ended_programs, AVERAGING_PROGRAMS)
            self._size = _updated(self._size, sample, weight)
            return
        self._initial_samples.append(sample)
        if len(self._initial_samples) >= MIN_PROGRAMS:
            self._size = _initial_size(self._initial_samples)
            self._initial_samples.clear()


def _initial_size(samples: list[_Sample]) -> ProgramSize:
    """Return the size of the first programs, each capped relative to the median."""
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
    """Return a size updated with one program of a given weight."""
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
