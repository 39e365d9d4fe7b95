"""The pace of an engine, observed from the calls that ended there."""

from __future__ import annotations

DEFAULT_PREFILL_RATE = 8000.0
"""Tokens a second until an engine's own pace has been observed."""
DEFAULT_DECODE_SECONDS = 0.02
"""Seconds per generated token until an engine's own pace has been observed."""

MIN_PREFILL_TOKENS = 500
"""Prefills below this say more about the step time than about the rate."""
MIN_DECODED_TOKENS = 8
MIN_SECONDS = 1e-4
BEST_SPEED_DECAY = 0.98
"""Factor by which the best pace is forgotten at an observation below it."""


class EngineSpeed:
    """The pace of one engine while nothing is in a call's way.

    Times contain queueing and the prefill of other calls, which only ever make an engine look
    slower. So good observations count at once and bad ones slowly; a mean would follow the
    load of the moment, and programs would leave their contexts because of it.

    Attributes:
        prefill_rate: Tokens a second.
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
        """Learn from a call that computed ``tokens`` before its first token."""
        if tokens < MIN_PREFILL_TOKENS or seconds < MIN_SECONDS:
            return
        rate = tokens / seconds
        if not self._prefill_observed:
            self._prefill_observed = True
            self.prefill_rate = rate
            return
        self.prefill_rate = max(rate, self.prefill_rate * BEST_SPEED_DECAY)

    def observe_decode(self, tokens: int, seconds: float) -> None:
        """Learn from a call that generated ``tokens`` after its first token."""
        if tokens < MIN_DECODED_TOKENS or seconds < MIN_SECONDS:
            return
        seconds_per_token = seconds / tokens
        if not self._decode_observed:
            self._decode_observed = True
            self.decode_seconds = seconds_per_token
            return
        self.decode_seconds = min(seconds_per_token, self.decode_seconds / BEST_SPEED_DECAY)
