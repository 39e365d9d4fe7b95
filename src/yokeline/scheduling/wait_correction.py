"""Ratio of actual to expected waits for a slot, learned by pool.

The ratio corrects the expected wait for what the estimate leaves out: later requests that are
served first, and engines with more requests than slots.
"""

from __future__ import annotations

RATIO_WEIGHT = 0.1
"""Weight of one wait in the learned ratio."""
MIN_RATIO = 0.5
MAX_RATIO = 4.0
"""Bounds on the ratio of one wait."""
CENSORED_FACTOR = 1.5
"""Factor by which a wait that ended without a slot is multiplied, since it was cut short."""
MIN_EXPECTED_SECONDS = 0.01
"""Waits whose expected duration is shorter are ignored. Shorter waits depend on when events
arrive."""


class WaitCorrection:
    """Learns the ratio of actual to expected waits of each pool at one node."""

    def __init__(self) -> None:
        """Create an estimate without observations."""
        self._ratios: dict[str, float] = {}

    def ratio(self, pool: str) -> float:
        """Return the factor by which to multiply the expected wait of a pool."""
        return self._ratios.get(pool, 1.0)

    def note(self, pool: str, expected: float, waited: float, *, got_place: bool) -> None:
        """Learn from a wait that ended.

        Args:
            pool: The pool without a free slot.
            expected: Seconds expected at the start of the wait, before correction.
            waited: Seconds that it lasted.
            got_place: Whether it ended with a slot.
        """
        if expected < MIN_EXPECTED_SECONDS:
            return
        ratio = self.ratio(pool)
        observed = waited / expected
        if not got_place:
            observed = max(ratio, CENSORED_FACTOR * observed)
        observed = min(max(observed, MIN_RATIO), MAX_RATIO)
        self._ratios[pool] = ratio + RATIO_WEIGHT * (observed - ratio)
