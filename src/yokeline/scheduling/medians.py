"""A median without the module ``statistics``, whose import costs memory in every process."""

from __future__ import annotations

from collections.abc import Sequence


def median(values: Sequence[float]) -> float:
    """Return the median of at least one value."""
    ordered = sorted(values)
    middle = len(ordered) // 2
    return (ordered[middle] + ordered[~middle]) / 2
