"""How long a call that may be repeated waits for its engine before another one is tried.

Learned per kind of call from those that were answered, as a retransmission time-out is (mean and
mean deviation, RFC 6298): most calls are answered long before, and one that hangs at a slow engine
still has time elsewhere. A call that had others before it at its engine is not late by the time
that those take: elsewhere it would begin anew, and its work would be done twice while engines are
full.
"""

from __future__ import annotations

import msgspec

MEAN_WEIGHT = 0.05
DEVIATIONS = 6.0
"""Mean deviations above the mean after which a call is late."""
MIN_MEANS = 3.0
"""The same as a multiple of the mean at least."""
MIN_CALLS = 20
"""Answered calls before patience is known."""
CENSORED_FACTOR = 1.5
"""A call that was given up took longer than was waited; it counts as this multiple of it."""


class _CallTimes(msgspec.Struct):
    mean: float = 0.0
    deviation: float = 0.0
    calls: int = 0


class CallTimeouts:
    """Times of calls, by kind of call."""

    def __init__(self) -> None:
        """Know nothing yet."""
        self._times: dict[str, _CallTimes] = {}

    def record_answered(self, kind: str, seconds: float) -> None:
        """Take the time of a call that was answered into its kind's."""
        times = self._times.setdefault(kind, _CallTimes())
        if not times.calls:
            times.mean = seconds
            times.deviation = seconds / 2
        times.calls += 1
        times.deviation += MEAN_WEIGHT * (abs(seconds - times.mean) - times.deviation)
        times.mean += MEAN_WEIGHT * (seconds - times.mean)

    def record_timeout(self, kind: str, waited: float) -> None:
        """Note that a call was not answered in time; so patience grows if all are slow."""
        self.record_answered(kind, CENSORED_FACTOR * waited)

    def timeout(self, kind: str, sends: int, rounds_before: float = 0.0) -> float | None:
        """Return how long to wait for an answer, twice as long with each further send.

        ``calls_before`` is how many calls, one after the other, the engine has to end first. None
        while too little is known.
        """
        times = self._times.get(kind)
        if times is None or times.calls < MIN_CALLS:
            return None
        least = MIN_MEANS * times.mean
        base = max(least, times.mean + DEVIATIONS * times.deviation)
        return (base + rounds_before * times.mean) * 2.0 ** (sends - 1)


def queue_rounds(load: int, slots: int) -> float:
    """Return how many calls a new one waits for at an engine that has ``load`` calls already."""
    return max(0, load - slots + 1) / slots
