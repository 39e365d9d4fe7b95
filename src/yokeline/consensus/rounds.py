"""Rounds of a leader's messages: which send time does an answer prove leadership for."""

from __future__ import annotations

import msgspec


class RoundMark(msgspec.Struct, frozen=True, array_like=True):
    """The rounds from ``number`` up to the next mark were sent at ``sent_at`` or later."""

    number: int
    sent_at: float


class RoundClock:
    """Numbers the messages of one term and remembers about when they were sent.

    A follower echoes the round of the message it answers, which proves that it followed this
    leader when that message was sent: leases start there. Only one send time in
    ``granularity`` seconds is kept, always the earlier one, so that the memory is bounded and
    an error makes a lease shorter, never longer.
    """

    __slots__ = ("_granularity", "_horizon", "_marks", "current")

    def __init__(self, *, granularity: float, horizon: float) -> None:
        """Create a clock.

        Args:
            granularity: Least seconds between two remembered send times.
            horizon: Seconds after which the send time of a round is of no use.
        """
        self._granularity = granularity
        self._horizon = horizon
        self._marks: list[RoundMark] = []
        self.current = 0

    def next_number(self, now: float) -> int:
        """Return the round of a message that is sent now."""
        self.current += 1
        if not self._marks or now - self._marks[-1].sent_at >= self._granularity:
            self._forget_before(now - self._horizon)
            self._marks.append(RoundMark(self.current, now))
        return self.current

    def sent_at(self, number: int) -> float | None:
        """Return a time at or before the sending of a round; None if it is too long ago."""
        for mark in reversed(self._marks):
            if mark.number <= number:
                return mark.sent_at
        return None

    def _forget_before(self, time: float) -> None:
        keep = 0
        while keep < len(self._marks) and self._marks[keep].sent_at < time:
            keep += 1
        del self._marks[:keep]
