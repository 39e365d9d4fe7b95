"""How long the ledger's leader takes to answer, and so how long to wait before it is doubted.

The estimate is that of TCP's retransmission timer (RFC 6298): a smoothed mean plus four times the
smoothed deviation. A leader under load answers later and is given more time, so load does not
turn into repetitions, which would be more load.
"""

from __future__ import annotations

MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
"""Weights of one answer, from RFC 6298."""
DEVIATION_FACTOR = 4.0
"""Deviations above the mean after which an answer is late, from RFC 6298."""
MIN_TIMEOUT_SECONDS = 0.15
"""An idle ledger answers in 0.02 s and a busy one in 0.05; an election takes 0.3 s."""
MAX_TIMEOUT_SECONDS = 0.8
"""Beyond it a reservation (2 s in all) has no time left for another way."""


class ResponseTimeEstimator:
    """The times of one leader's answers."""

    def __init__(self) -> None:
        """Start with the least patience."""
        self._mean = 0.0
        self._deviation = 0.0

    def observe(self, seconds: float) -> None:
        """Take the time from an operation's send to its result in."""
        if not self._mean:
            self._mean = seconds
            self._deviation = seconds / 2
            return
        error = abs(seconds - self._mean)
        self._deviation += DEVIATION_WEIGHT * (error - self._deviation)
        self._mean += MEAN_WEIGHT * (seconds - self._mean)

    @property
    def timeout(self) -> float:
        """Seconds of silence after which the leader is doubted."""
        expected = self._mean + DEVIATION_FACTOR * self._deviation
        return min(MAX_TIMEOUT_SECONDS, max(MIN_TIMEOUT_SECONDS, expected))
