"""A priority queue with one deadline per key."""

from __future__ import annotations

import heapq
from typing import Generic, TypeVar

REBUILD_MIN_ENTRIES = 256
"""Heap size up to which the heap is not rebuilt to drop superseded entries."""

K = TypeVar("K", bound=int | str)


class DeadlineQueue(Generic[K]):
    """One deadline per key, in monotonic seconds; equal deadlines are ordered by key.

    Superseded entries stay in the heap until they are reached, or until they are the majority
    and the heap is rebuilt.
    """

    def __init__(self) -> None:
        self._deadlines: dict[K, float] = {}
        self._heap: list[tuple[float, K]] = []

    def __len__(self) -> int:
        """Return the number of heap entries, including superseded ones."""
        return len(self._heap)

    def set(self, key: K, deadline: float) -> None:
        """Set or replace the deadline of ``key``."""
        if self._deadlines.get(key) == deadline:
            return
        self._deadlines[key] = deadline
        heapq.heappush(self._heap, (deadline, key))
        if len(self._heap) > max(REBUILD_MIN_ENTRIES, 2 * len(self._deadlines)):
            self._heap = [(due, known) for known, due in self._deadlines.items()]
            heapq.heapify(self._heap)

    def remove(self, key: K) -> None:
        """Remove the deadline of ``key``, if there is one."""
        self._deadlines.pop(key, None)

    def next(self) -> float | None:
        """Return the earliest deadline, None if there is none."""
        while self._heap and self._superseded(self._heap[0]):
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def take_due(self, now: float) -> list[K]:
        """Remove and return the keys whose deadline is reached, earliest deadline first."""
        due: list[K] = []
        while (first := self.next()) is not None and first <= now:
            _, key = heapq.heappop(self._heap)
            del self._deadlines[key]
            due.append(key)
        return due

    def _superseded(self, item: tuple[float, K]) -> bool:
        deadline, key = item
        return self._deadlines.get(key) != deadline
