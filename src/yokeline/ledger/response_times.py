"""Adaptive timeout for answers of the ledger's leader.

The estimate follows TCP's retransmission timer (RFC 6298): the smoothed mean plus four times the
smoothed deviation. The timeout grows with the leader's response times, so that a slow leader does
not receive more retries because it is slow.
"""

from __future__ import annotations

MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
"""Weights of one sample, from RFC 6298."""
DEVIATION_FACTOR = 4.0
"""Deviations above the mean in the timeout, from RFC 6298."""
MIN_TIMEOUT_SECONDS = 0.15
"""Above the response time of a busy leader, below the election timeout. An idle ledger answers in
0.02 s and a busy one in 0.05 s; an election takes 0.3 s."""
MAX_TIMEOUT_SECONDS = 0.8
"""Short enough to retry a reservation through another node before its timeout of 2 s."""


class ResponseTimeEstimator:
    """Estimates the response time of one leader."""

    def __init__(self) -> None:
        """Start with the minimum timeout."""
        self._mean = 0.0
        self._deviation = 0.0

    def observe(self, seconds: float) -> None:
        """Add a sample: seconds from sending an operation to receiving its result."""
        if not self._mean:
            self._mean = seconds
            self._deviation = seconds / 2
            return
        error = abs(seconds - self._mean)
        self._deviation += DEVIATION_WEIGHT * (error - self._deviation)
        self._mean += MEAN_WEIGHT * (seconds - self._mean)

    @property
    def timeout(self) -> float:
        """Seconds without an answer after which the leader counts as unreachable."""
        expected = self._mean + DEVIATION_FACTOR * self._deviation
        return min(MAX_TIMEOUT_SECONDS, max(MIN_TIMEOUT_SECONDS, expected))
