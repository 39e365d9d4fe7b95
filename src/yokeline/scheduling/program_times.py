"""Which share of the time that programs are given they take, learned by route.

A node sees the first turn of a program with the time that the program is given, and then those of
its requests that come to this node. What it observes is the time from the send of the first turn
to the last answer here, as a share of what was given; a program counts once it was silent for a
while. The wait of the first turn is left out: it is what the share is needed for.

Part of the programs end at another node, so that their observed times are too short. They are
never too long. So a high quantile is learned in place of the mean: as long as between a third and
three quarters of the programs stay, the 0.8 quantile of all observations lies between the 0.4 and
the 0.73 quantile of those that stayed.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

INITIAL_SHARE = 0.7
"""Share before anything was seen: a program that is given 1.4 times what it takes on idle engines
takes that."""
MIN_SHARE = 0.1
"""Bound below the learned share, so that a few short programs do not let a first turn wait for all
its time."""
MAX_SHARE = 0.9
"""A first turn always bears a little: a program that ends somewhat late is worth more than one
that never begins."""
QUANTILE = 0.8
QUANTILE_STEP = 0.05
"""By how much an observation moves the learned share; one moves it by this times the quantile, or
by this times the rest."""
IDLE_TIMEOUT_SHARE = 1.0
"""Time without a request after which a program has ended, as a share of what it was given."""
MAX_PROGRAMS = 4096
"""Programs that are followed at once; the one that was silent for longest counts as ended."""
MAX_ROUTES = 1024
"""Routes of which a share is kept; the oldest gives way."""


class _TrackedProgram(msgspec.Struct):
    """A program whose first turn this node sent."""

    route: str
    time_limit: float
    started_at: float
    last_answer_at: float


class ProgramTimes:
    """Times of programs, as one node has seen them."""

    def __init__(self) -> None:
        """Know nothing yet."""
        self._tracked: OrderedDict[str, _TrackedProgram] = OrderedDict()
        self._shares: OrderedDict[str, float] = OrderedDict()

    def share(self, route: str) -> float:
        """Return which share of their time programs that begin on a route take."""
        return self._shares.get(route, INITIAL_SHARE)

    def begin(self, program: str, route: str, time_limit: float, now: float) -> None:
        """Follow a program whose first turn is sent.

        Args:
            program: Its name.
            route: Of its first turn.
            time_limit: Seconds in which it should be over, from its arrival.
            now: Time of the send (monotonic seconds).
        """
        self._close_idle(now)
        if time_limit <= 0 or program in self._tracked:
            return
        self._tracked[program] = _TrackedProgram(route, time_limit, now, now)
        if len(self._tracked) > MAX_PROGRAMS:
            self._close(next(iter(self._tracked)))

    def answered(self, program: str, now: float) -> None:
        """Note that a request of a program got its whole answer."""
        tracked = self._tracked.get(program)
        if tracked is not None:
            tracked.last_answer_at = now
            self._tracked.move_to_end(program)

    def _close_idle(self, now: float) -> None:
        """Count the programs that were silent for so long that they have ended."""
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
