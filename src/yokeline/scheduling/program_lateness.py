"""Whether a program that asks to begin can still end in time.

The load it answers: a tenant that goes on asking for more than its limit. Its refused programs come
back, and if they are let in in their turn, each program begins after about the same delay, and all
end late. So while programs that can end in time are refused, those that cannot leave them what the
limit gives.
"""

from __future__ import annotations

WEIGHT = 0.05
"""Weight of one program in the learned share."""
MAX_SHARE = 0.95
"""Where programs take all the time that they are given, one that has just come still counts as one
that can end in time."""


class MeanTimeShare:
    """The mean share of the time that programs of a kind are given which they take.

    The ledger's leader sees programs whole; a node sees parts of them, and so learns a quantile
    (:mod:`yokeline.scheduling.program_times`).
    """

    def __init__(self) -> None:
        """Know nothing."""
        self._share: float | None = None

    def observe(self, seconds: float, time_limit: float) -> None:
        """Learn from a program that took ``seconds`` of those that it was given."""
        if time_limit <= 0:
            return
        observed = min(MAX_SHARE, seconds / time_limit)
        mean = observed if self._share is None else self._share
        self._share = mean + WEIGHT * (observed - mean)

    def is_late(self, time_left: float, time_limit: float) -> bool:
        """Return whether what is left of the time given is less than such programs take."""
        return self._share is not None and time_left < self._share * time_limit
