"""Timers of a sans-I/O component: actions that are due at a monotonic time."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class Timer:
    """A scheduled action; cancelling it is enough, the queue drops it later."""

    __slots__ = ("action", "cancelled", "due")

    def __init__(self, due: float, action: Callable[[], None]) -> None:
        """Create a timer that runs ``action`` at ``due`` (monotonic seconds)."""
        self.due = due
        self.action = action
        self.cancelled = False

    def cancel(self) -> None:
        """Make sure that the action does not run."""
        self.cancelled = True


class TimerQueue:
    """Timers in the order in which they are due; equal times in the order of creation."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._heap: list[tuple[float, int, Timer]] = []
        self._created = 0

    def schedule(self, due: float, action: Callable[[], None]) -> Timer:
        """Run ``action`` at the first :meth:`run_due` at or after ``due``."""
        timer = Timer(due, action)
        self._created += 1
        heapq.heappush(self._heap, (due, self._created, timer))
        return timer

    def run_due(self, now: float) -> None:
        """Run the actions that are due; those they schedule for now run as well."""
        while self._heap and self._heap[0][0] <= now:
            timer = heapq.heappop(self._heap)[2]
            if not timer.cancelled:
                timer.action()

    def next_due(self) -> float | None:
        """Return when the next action is due, None if there is none."""
        while self._heap and self._heap[0][2].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None
