"""Load reports that lag behind the engine's state."""

from __future__ import annotations

from collections import deque

import msgspec


class LoadState(msgspec.Struct, frozen=True, kw_only=True):
    """The load of an engine at one time."""

    running: int
    waiting: int
    cache_tokens_used: int


class LoadHistory:
    """Past states of the load, as far back as reports lag."""

    def __init__(self, lag_seconds: float) -> None:
        """Create a history for reports that are ``lag_seconds`` old."""
        self.lag_seconds = lag_seconds
        empty = LoadState(running=0, waiting=0, cache_tokens_used=0)
        self._states: deque[tuple[float, LoadState]] = deque([(float("-inf"), empty)])

    def record(self, state: LoadState, now: float) -> None:
        """Note the state from ``now`` on."""
        if self._states[-1][1] == state:
            return
        if self._states[-1][0] == now:
            self._states.pop()
        self._states.append((now, state))
        self._forget(now)

    def reported(self, now: float) -> LoadState:
        """Return the state that a report at ``now`` shows."""
        self._forget(now)
        return self._states[0][1]

    def _forget(self, now: float) -> None:
        shown = now - self.lag_seconds
        while len(self._states) > 1 and self._states[1][0] <= shown:
            self._states.popleft()
