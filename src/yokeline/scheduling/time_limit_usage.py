"""Whether a program that asks to begin can still end within its time limit.

When a tenant keeps exceeding its limit, its refused programs come back later. Admitted in order,
each would begin with about the same delay and all would end late. So while programs that can end in
time are refused, those that cannot are refused as well.
"""

from __future__ import annotations

SHARE_WEIGHT = 0.05
"""Weight of one program in the learned share."""
MAX_SHARE = 0.95
"""Upper bound on the learned share: a program that has used none of its time is never late."""


class TimeLimitUsage:
    """Mean share of their time limit that programs of one kind take.

    The leader of :mod:`yokeline.ledger` sees whole programs. A node sees parts of them and
    therefore learns a quantile (:mod:`yokeline.scheduling.program_times`).
    """

    def __init__(self) -> None:
        """Create an estimate without observations."""
        self._share: float | None = None

    def observe(self, seconds: float, time_limit: float) -> None:
        """Learn from a program that took ``seconds`` of its time limit."""
        if time_limit <= 0:
            return
        observed = min(MAX_SHARE, seconds / time_limit)
        mean = observed if self._share is None else self._share
        self._share = mean + SHARE_WEIGHT * (observed - mean)

    def is_late(self, time_left: float, time_limit: float) -> bool:
        """Return whether the time left is less than the mean time that programs of this kind take.

        False without observations. Unlike a request that is late in
        :mod:`yokeline.scheduling.queue_order`, the program's time limit need not have passed.
        """
        return self._share is not None and time_left < self._share * time_limit
