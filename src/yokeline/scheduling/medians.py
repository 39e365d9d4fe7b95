"""The median, without the memory that the module ``statistics`` takes in each role."""

from __future__ import annotations

from collections.abc import Sequence


def median(values: Sequence[float]) -> float:
    """Return the median of at least one value."""
    ordered = sorted(values)
    middle = len(ordered) // 2
    return (ordered[middle] + ordered[~middle]) / 2
