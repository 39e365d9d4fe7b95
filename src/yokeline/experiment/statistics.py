"""Means with confidence intervals over seeds."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence

import msgspec

CONFIDENCE = 0.95
LEAST_SAMPLES = 4
"""Samples from which an interval is given: the expansion below is poor for fewer."""


class Estimate(msgspec.Struct, frozen=True, kw_only=True):
    """A mean and half the width of its confidence interval (None: too few samples)."""

    mean: float
    half_width: float | None = None


def t_quantile(share: float, degrees: int) -> float:
    """Return a quantile of Student's t distribution.

    By the expansion of Abramowitz and Stegun (1964), 26.7.5; its error is below 0.3% for the
    97.5% quantile from 3 degrees of freedom on.
    """
    x = statistics.NormalDist().inv_cdf(share)
    terms = (
        (x**3 + x) / 4,
        (5 * x**5 + 16 * x**3 + 3 * x) / 96,
        (3 * x**7 + 19 * x**5 + 17 * x**3 - 15 * x) / 384,
        (79 * x**9 + 776 * x**7 + 1482 * x**5 - 1920 * x**3 - 945 * x) / 92160,
    )
    return x + sum(term / degrees ** (power + 1) for power, term in enumerate(terms))


def estimate(samples: Sequence[float]) -> Estimate:
    """Return the mean of independent samples with its interval."""
    mean = statistics.fmean(samples)
    count = len(samples)
    if count < LEAST_SAMPLES:
        return Estimate(mean=mean)
    error = statistics.stdev(samples) / math.sqrt(count)
    factor = t_quantile(0.5 + CONFIDENCE / 2, count - 1)
    return Estimate(mean=mean, half_width=factor * error)


def paired_change(samples: Sequence[float], reference: Sequence[float]) -> Estimate | None:
    """Return the mean paired difference, relative to the reference's mean.

    Args:
        samples: One value per seed.
        reference: The reference's value of the same seeds, in the same order.

    Returns:
        -0.3 means 30% less than the reference. None where the reference's mean is 0.
    """
    base = statistics.fmean(reference)
    if base == 0:
        return None
    differences = [value - other for value, other in zip(samples, reference, strict=True)]
    found = estimate(differences)
    width = found.half_width / abs(base) if found.half_width is not None else None
    return Estimate(mean=found.mean / base, half_width=width)
