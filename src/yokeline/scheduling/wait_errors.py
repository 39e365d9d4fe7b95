"""By how much waits for room are longer than expected, learned by pool.

What the expectation leaves out is much the same for a while: requests that come later and go first,
and engines that hold more than their places. So the ratio of real to expected waits is learned.
"""

from __future__ import annotations

RATIO_WEIGHT = 0.1
"""Weight of a wait in the learned ratio."""
MIN_RATIO = 0.5
MAX_RATIO = 4.0
"""A wait counts within these ratios of what was expected."""
CENSORED_FACTOR = 1.5
"""A wait that ended without a place would have lasted longer; it counts as this multiple."""
MIN_EXPECTED_SECONDS = 0.01
"""Shorter waits are ruled by when events come, and tell nothing."""


class WaitErrors:
    """Ratios of real to expected waits, as one node has seen them."""

    def __init__(self) -> None:
        """Expect what is computed."""
        self._ratios: dict[str, float] = {}

    def ratio(self, pool: str) -> float:
        """Return by which factor to multiply an expected wait of a pool."""
        return self._ratios.get(pool, 1.0)

    def note(self, pool: str, expected: float, waited: float, *, got_place: bool) -> None:
        """Learn from a wait that is over.

        Args:
            pool: Which had no room.
            expected: Seconds that were expected at its begin, before any correction.
            waited: Seconds that it lasted.
            got_place: It ended with a place.
        """
        if expected < MIN_EXPECTED_SECONDS:
            return
        ratio = self.ratio(pool)
        observed = waited / expected
        if not got_place:
            observed = max(ratio, CENSORED_FACTOR * observed)
        observed = min(max(observed, MIN_RATIO), MAX_RATIO)
        self._ratios[pool] = ratio + RATIO_WEIGHT * (observed - ratio)
