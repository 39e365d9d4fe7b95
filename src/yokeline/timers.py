"""Timers of sans-I/O components: actions that are due at a monotonic time."""

from __future__ import annotations

import heapq
from collections.abc import Callable

COMPACTION_MINIMUM = 256
"""Cancelled timers left in the queue before it is worth rebuilding."""


def _nothing() -> None:
    """Stand for the action of a cancelled timer."""


class Timer:
    """An action that is due at a time.

    Attributes:
        due: Monotonic seconds.
        action: Called once, without arguments.
        cancelled: The action is not to be run.
    """

    __slots__ = ("_queue", "action", "cancelled", "due")

    def __init__(self, queue: TimerQueue, due: float, action: Callable[[], None]) -> None:
        """Create a timer; use :meth:`TimerQueue.schedule`."""
        self._queue: TimerQueue | None = queue
        self.due = due
        self.action = action
        self.cancelled = False

    def cancel(self) -> None:
        """Make sure that the action does not run (any more)."""
        self.cancelled = True
        self.action = _nothing  # the queue must not keep alive what the action refers to
        if self._queue is not None:
            self._queue.count_cancelled()
            self._queue = None

    def leave_queue(self) -> None:
        """Note that the queue has taken the timer out."""
        self._queue = None


class TimerQueue:
    """Timers in the order in which they are due; equal times in the order of creation.

    A cancelled timer stays in the heap until it comes up or, so that short waits under long
    time limits do not pile up, until cancelled ones are the majority.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._heap: list[tuple[float, int, Timer]] = []
        self._created = 0
        self._cancelled = 0

    def __len__(self) -> int:
        """Return how many timers the heap holds, cancelled ones that are left included."""
        return len(self._heap)

    def schedule(self, due: float, action: Callable[[], None]) -> Timer:
        """Run ``action`` at the first :meth:`run_due` at or after ``due``.

        Args:
            due: Monotonic seconds.
            action: Called once, without arguments.
        """
        timer = Timer(self, due, action)
        self._created += 1
        heapq.heappush(self._heap, (due, self._created, timer))
        return timer

    def run_due(self, now: float) -> None:
        """Run the actions that are due; those they schedule for now run as well.

        Raises:
            Exception: The first fault of an action, after the others have run.
        """
        fault: Exception | None = None
        while (timer := self.pop_due(now)) is not None:
            try:
                timer.action()
            except Exception as error:  # a fault of one action must not stop the others
                fault = fault or error
        if fault is not None:
            raise fault

    def pop_due(self, now: float) -> Timer | None:
        """Take out the first timer that is due at ``now``; None if there is none."""
        due = self.next_due()
        if due is None or due > now:
            return None
        timer = heapq.heappop(self._heap)[2]
        timer.leave_queue()
        return timer

    def next_due(self) -> float | None:
        """Return when the next action is due (monotonic seconds), None if there is none."""
        while self._heap and self._heap[0][2].cancelled:
            heapq.heappop(self._heap)
            self._cancelled -= 1
        return self._heap[0][0] if self._heap else None

    def count_cancelled(self) -> None:
        """Note that one more timer of the heap is cancelled; rebuild it when most are."""
        self._cancelled += 1
        if self._cancelled > max(COMPACTION_MINIMUM, len(self._heap) // 2):
            self._heap = [entry for entry in self._heap if not entry[2].cancelled]
            heapq.heapify(self._heap)
            self._cancelled = 0
