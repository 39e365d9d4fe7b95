"""Adaptive timeouts after which a retryable call is moved to another engine.

A timeout is estimated per kind of call from the mean and the mean deviation of observed durations,
as retransmission timeouts are (RFC 6298). The time for calls queued before a call at its engine is
added: at another engine it would queue again, and moving it would duplicate work while engines are
full.
"""

from __future__ import annotations

from yokeline.forwarding.duration_estimate import DurationEstimate

DEVIATIONS = 6.0
"""Timeout in mean deviations above the mean."""
MIN_MEANS = 3.0
"""Least timeout as a multiple of the mean."""
MIN_CALLS = 20
"""Observed calls before there is a timeout."""
CENSORED_FACTOR = 1.5
"""Assumed duration of a call that timed out, as a multiple of its timeout."""


class CallTimeouts:
    """Estimated timeouts by kind of call."""

    def __init__(self) -> None:
        """Start without observations."""
        self._times: dict[str, DurationEstimate] = {}

    def record_answered(self, kind: str, seconds: float) -> None:
        """Record the duration of an answered call."""
        self._times.setdefault(kind, DurationEstimate()).observe(seconds)

    def record_timeout(self, kind: str, waited: float) -> None:
        """Record a call that timed out, so that timeouts grow if all engines are slow."""
        self.record_answered(kind, CENSORED_FACTOR * waited)

    def timeout(self, kind: str, sends: int, rounds_before: float = 0.0) -> float | None:
        """Return the timeout of a call, doubled with each further send; None without enough calls.

        ``rounds_before`` is how many rounds of calls the engine has to finish first.
        """
        times = self._times.get(kind)
        if times is None or times.count < MIN_CALLS:
            return None
        least = MIN_MEANS * times.mean
        base = max(least, times.mean + DEVIATIONS * times.deviation)
        return (base + rounds_before * times.mean) * 2.0 ** (sends - 1)


def queue_rounds(load: int, slots: int) -> float:
    """Return the rounds of calls before a new call at an engine with ``load`` calls."""
    return max(0, load - slots + 1) / slots
