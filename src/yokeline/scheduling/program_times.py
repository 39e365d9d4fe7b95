"""Share of their time limit that programs take, learned by route at one node.

A node measures the time from sending a program's first turn to its last answer here, as a share of
the time limit; a program counts once it has been idle for long enough. The wait before the first
turn is excluded, since the share serves to limit it.

A program that continues at another node appears shorter than it is, and never longer. So a high
quantile of the observations is learned instead of their mean.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

INITIAL_SHARE = 0.7
"""Share before the first observation. A program whose limit is 1.4 times its time on idle engines
takes that share."""
MIN_SHARE = 0.1
"""Lower bound, so that a few short programs do not let a first turn wait for its whole time
limit."""
MAX_SHARE = 0.9
"""Upper bound, so that a first turn may always wait a little; a program that ends late is worth
more than one that is refused."""
QUANTILE = 0.8
"""Quantile of the observed shares that is learned."""
QUANTILE_STEP = 0.05
"""Step of the quantile estimate: a larger observation raises the share by the quantile times this,
a smaller one lowers it by the remainder times this."""
IDLE_TIMEOUT_SHARE = 1.0
"""Idle time after which a program has ended, as a share of its time limit."""
MAX_PROGRAMS = 4096
"""Programs tracked at once; the one idle for longest is counted as ended."""
MAX_ROUTES = 1024
"""Routes with a learned share; the oldest one is removed."""


class _TrackedProgram(msgspec.Struct):
    """A program whose first turn this node sent."""

    route: str
    time_limit: float
    started_at: float
    last_answer_at: float


class ProgramTimes:
    """Learns the durations of programs at one node."""

    def __init__(self) -> None:
        """Create an estimate without observations."""
        self._tracked: OrderedDict[str, _TrackedProgram] = OrderedDict()
        self._shares: OrderedDict[str, float] = OrderedDict()

    def share(self, route: str) -> float:
        """Return the share of their time limit that programs of a route take."""
        return self._shares.get(route, INITIAL_SHARE)

    def begin(self, program: str, route: str, time_limit: float, now: float) -> None:
        """Track a program whose first turn is sent.

        Args:
            program: Its name.
            route: The route of its first turn.
            time_limit: Seconds from its arrival within which it should end.
            now: Time of the send (monotonic seconds).
        """
        self._close_idle(now)
        if time_limit <= 0 or program in self._tracked:
            return
        self._tracked[program] = _TrackedProgram(route, time_limit, now, now)
        if len(self._tracked) > MAX_PROGRAMS:
            self._close(next(iter(self._tracked)))

    def answered(self, program: str, now: float) -> None:
        """Record that a request of a program was answered completely."""
        tracked = self._tracked.get(program)
        if tracked is not None:
            tracked.last_answer_at = now
            self._tracked.move_to_end(program)

    def _close_idle(self, now: float) -> None:
        """Count the programs whose idle time has expired."""
        while self._tracked:
            program, tracked = next(iter(self._tracked.items()))
            if now - tracked.last_answer_at < IDLE_TIMEOUT_SHARE * tracked.time_limit:
                return
            self._close(program)

    def _close(self, program: str) -> None:
        tracked = self._tracked.pop(program)
        if tracked.last_answer_at <= tracked.started_at:
            return
        observed = (tracked.last_answer_at - tracked.started_at) / tracked.time_limit
        share = self.share(tracked.route)
        share += QUANTILE_STEP * QUANTILE if observed > share else -QUANTILE_STEP * (1.0 - QUANTILE)
        self._shares[tracked.route] = min(max(share, MIN_SHARE), MAX_SHARE)
        if len(self._shares) > MAX_ROUTES:
            self._shares.popitem(last=False)
