"""Deadlines of the transports in one heap, so that a process needs a single timer."""

from __future__ import annotations

import heapq
import itertools
import time
import traceback
from collections.abc import Callable

import absl.logging

_COMPACTION_MINIMUM = 256
"""Cancelled deadlines left in the heap before it is worth rebuilding."""


class Deadline:
    """A callback due at a moment, until it is cancelled."""

    __slots__ = ("_queue", "callback", "when")

    def __init__(self, queue: DeadlineQueue, when: float, callback: Callable[[], None]) -> None:
        """Create it; use :meth:`DeadlineQueue.call_at`."""
        self._queue = queue
        self.when = when
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Make sure that the callback is not called (any more)."""
        if self.callback is not None:
            self.callback = None
            self._queue.count_cancelled()


class DeadlineQueue:
    """Callbacks ordered by the monotonic second at which they are due."""

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[tuple[float, int, Deadline]] = []
        self._sequence = itertools.count()
        self._cancelled = 0

    def call_after(self, seconds: float, callback: Callable[[], None]) -> Deadline:
        """Call ``callback`` once after some seconds."""
        return self.call_at(time.monotonic() + seconds, callback)

    def call_at(self, when: float, callback: Callable[[], None]) -> Deadline:
        """Call ``callback`` once at the monotonic second ``when``."""
        deadline = Deadline(self, when, callback)
        heapq.heappush(self._heap, (when, next(self._sequence), deadline))
        return deadline

    def count_cancelled(self) -> None:
        """Note that one more entry of the heap is dead; rebuild it when most are."""
        self._cancelled += 1
        if self._cancelled > max(_COMPACTION_MINIMUM, len(self._heap) // 2):
            self._heap = [entry for entry in self._heap if entry[2].callback is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def next_due(self) -> float | None:
        """Return when the next callback is due; None if there is none."""
        self._drop_cancelled()
        return self._heap[0][0] if self._heap else None

    def run_due(self, now: float) -> None:
        """Call what is due at ``now``; what that adds is left for the next time."""
        due: list[Deadline] = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[2])
        for deadline in due:
            callback = deadline.callback
            if callback is None:
                self._cancelled = max(0, self._cancelled - 1)
                continue
            deadline.callback = None
            try:
                callback()
            except Exception:  # a fault met by one deadline must not stop the others
                trace = traceback.format_exc()
                absl.logging.error({"event": "deadline_fault", "trace": trace})

    def _drop_cancelled(self) -> None:
        while self._heap and self._heap[0][2].callback is None:
            heapq.heappop(self._heap)
            self._cancelled = max(0, self._cancelled - 1)
