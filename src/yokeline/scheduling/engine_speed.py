"""Prefill and decode speed of an engine, observed from its calls."""

from __future__ import annotations

DEFAULT_PREFILL_RATE = 8000.0
"""Tokens per second before the first observation."""
DEFAULT_DECODE_SECONDS = 0.02
"""Seconds per generated token before the first observation."""

MIN_PREFILL_TOKENS = 500
"""Shorter prefills are dominated by the time of a step."""
MIN_DECODED_TOKENS = 8
"""Calls that generated fewer tokens are not measured."""
MIN_SECONDS = 1e-4
"""Shorter measured times are ignored."""
BEST_SPEED_DECAY = 0.98
"""Decay of the best observed speed at each slower observation."""


class EngineSpeed:
    """Speed of one engine without interference.

    Observed times include queueing and other calls' prefill, which only make an engine look slower.
    So a faster observation is adopted at once and slower ones decay the estimate; a mean would
    follow the momentary load and move programs away from their cached contexts.

    Attributes:
        prefill_rate: Tokens per second.
        decode_seconds: Seconds per generated token.
    """

    __slots__ = ("_decode_observed", "_prefill_observed", "decode_seconds", "prefill_rate")

    def __init__(self) -> None:
        """Start with the defaults."""
        self.prefill_rate = DEFAULT_PREFILL_RATE
        self.decode_seconds = DEFAULT_DECODE_SECONDS
        self._prefill_observed = False
        self._decode_observed = False

    def observe_prefill(self, tokens: int, seconds: float) -> None:
        """Learn from a call that prefilled ``tokens`` before its first text."""
        if tokens < MIN_PREFILL_TOKENS or seconds < MIN_SECONDS:
            return
        rate = tokens / seconds
        if not self._prefill_observed:
            self._prefill_observed = True
            self.prefill_rate = rate
            return
        self.prefill_rate = max(rate, self.prefill_rate * BEST_SPEED_DECAY)

    def observe_decode(self, tokens: int, seconds: float) -> None:
        """Learn from a call that generated ``tokens`` after its first text."""
        if tokens < MIN_DECODED_TOKENS or seconds < MIN_SECONDS:
            return
        seconds_per_token = seconds / tokens
        if not self._decode_observed:
            self._decode_observed = True
            self.decode_seconds = seconds_per_token
            return
        self.decode_seconds = min(seconds_per_token, self.decode_seconds / BEST_SPEED_DECAY)
