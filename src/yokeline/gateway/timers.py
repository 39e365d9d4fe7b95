"""Deadlines of many things with one next deadline: a heap with lazy removal."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NewType

COMPACT_FROM = 256
"""Entries from which cancelled ones are removed once they are the majority."""

TimerId = NewType("TimerId", int)


class Timers:
    """Calls functions at their time; cancelled ones are dropped when they come up."""

    def __init__(self) -> None:
        """Create an empty set of timers."""
        self._heap: list[tuple[float, TimerId]] = []
        self._actions: dict[TimerId, Callable[[], None]] = {}
        self._last = 0

    def at(self, when: float, action: Callable[[], None]) -> TimerId:
        """Call ``action`` once at ``when`` (monotonic seconds)."""
        self._last += 1
        timer = TimerId(self._last)
        self._actions[timer] = action
        heapq.heappush(self._heap, (when, timer))
        return timer

    def cancel(self, timer: TimerId | None) -> None:
        """Forget a timer; one that has fired already (or None) is a no-op."""
        if timer is None or self._actions.pop(timer, None) is None:
            return
        if len(self._heap) > COMPACT_FROM and len(self._heap) > 2 * len(self._actions):
            self._heap = [entry for entry in self._heap if entry[1] in self._actions]
            heapq.heapify(self._heap)

    def next_deadline(self) -> float | None:
        """Return when the first timer is due."""
        while self._heap and self._heap[0][1] not in self._actions:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def run_due(self, now: float) -> None:
        """Call what is due; what is set meanwhile waits for the next time."""
        due: list[TimerId] = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[1])
        for timer in due:
            action = self._actions.pop(timer, None)
            if action is not None:
                action()
