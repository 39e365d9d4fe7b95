"""Rate limit and fault switches of the key-value service."""

from __future__ import annotations

import msgspec


class StoreFaults(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What is wrong with the store (``PUT /emulator/faults``).

    Attributes:
        down: Every connection breaks without an answer, watches too.
        hang: No request is taken in or answered; watches stay open and silent.
        slow_seconds: Added to the time of every answer.
        lose_answers: Writes to come that take effect, but whose connection then breaks.
        lose_requests: Writes to come whose connection breaks before they take effect.
    """

    down: bool = False
    hang: bool = False
    slow_seconds: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0


class TokenBucket:
    """A rate limit with bursts."""

    def __init__(self, rate: float, burst: int) -> None:
        """Create a full bucket of ``burst`` tokens that fills with ``rate`` a second."""
        self._rate = rate
        self._burst = float(burst)
        self._tokens = float(burst)
        self._filled_at = 0.0

    def take(self, now: float) -> bool:
        """Take a token; return whether there was one."""
        gained = max(now - self._filled_at, 0.0) * self._rate
        self._tokens = min(self._tokens + gained, self._burst)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def wait_seconds(self) -> float:
        """Return the time until there is a token again."""
        return max((1.0 - self._tokens) / self._rate, 0.0)
