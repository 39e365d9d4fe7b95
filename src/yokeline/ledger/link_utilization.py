"""Share of the leader's network link that log replication takes."""

from __future__ import annotations

import math

AVERAGE_SECONDS = 1.0
"""Time constant of the moving average. A burst shows within a second."""
HIGH_UTILIZATION = 0.25
"""Share of the link above which forwarding nodes send the texts to the followers instead of the
leader; the rest is for answers and for a load twice as high. Answers take about a tenth of the
link."""
LOW_UTILIZATION = 0.12
"""Share below which the leader sends the texts again; the gap provides hysteresis."""
BITS_PER_BYTE = 8


class LinkUtilization:
    """Exponential moving average of the bytes needed to send complete entries to the followers."""

    def __init__(self, link_mbps: float) -> None:
        """Create an average for a link of ``link_mbps`` (megabits a second; 0 if unknown)."""
        self._link_bytes = link_mbps * 1e6 / BITS_PER_BYTE
        self._bytes = 0.0
        self._at = 0.0
        self._is_high = False

    def note(self, size: int, now: float) -> None:
        """Add bytes to be sent to followers."""
        self._decay(now)
        self._bytes += size

    def is_high(self, now: float) -> bool:
        """Return whether complete entries take too much of the link; False for an unknown rate."""
        self._decay(now)
        limit = LOW_UTILIZATION if self._is_high else HIGH_UTILIZATION
        per_second = self._bytes / AVERAGE_SECONDS
        self._is_high = self._link_bytes > 0 and per_second > limit * self._link_bytes
        return self._is_high

    def _decay(self, now: float) -> None:
        self._bytes *= math.exp((self._at - now) / AVERAGE_SECONDS) if now > self._at else 1.0
        self._at = max(self._at, now)
