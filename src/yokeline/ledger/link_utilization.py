"""How much of its link a ledger leader needs to send its log to the followers."""

from __future__ import annotations

import math

AVERAGE_SECONDS = 1.0
"""Time constant of the average: a burst shows within a second."""
HIGH_UTILIZATION = 0.25
"""Share of the link that entries would take from which nodes are asked to send texts themselves:
answers take about a tenth, and twice the load must still fit."""
LOW_UTILIZATION = 0.12
"""Share below which the leader sends them again; half of the other, so that it does not flutter."""
BITS_PER_BYTE = 8


class LinkUtilization:
    """A fading average of the bytes that entries would take if the leader sent them whole."""

    def __init__(self, link_mbps: float) -> None:
        """Watch a link of so many megabits a second; one of 0 is not known, and never pressed."""
        self._link_bytes = link_mbps * 1e6 / BITS_PER_BYTE
        self._bytes = 0.0
        self._at = 0.0
        self._is_high = False

    def note(self, size: int, now: float) -> None:
        """Count bytes that are to go to followers."""
        self._decay(now)
        self._bytes += size

    def is_high(self, now: float) -> bool:
        """Return whether entries take, or would take, too much of the link."""
        self._decay(now)
        limit = LOW_UTILIZATION if self._is_high else HIGH_UTILIZATION
        per_second = self._bytes / AVERAGE_SECONDS
        self._is_high = self._link_bytes > 0 and per_second > limit * self._link_bytes
        return self._is_high

    def _decay(self, now: float) -> None:
        self._bytes *= math.exp((self._at - now) / AVERAGE_SECONDS) if now > self._at else 1.0
        self._at = max(self._at, now)
