"""What engines' starts are called between nodes.

A node calls an engine by the name of its start. A release that knows no starts calls it by its
instance, which each of its starts shares. As long as such a node is heard, the others report under
both names, so that either release sees the load of all nodes.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

EARLIER_HEARD_SECONDS = 3.0
"""Time after the last word of an earlier release for which loads are reported for it as well."""


class StartNames:
    """The start of each engine that is known, and the names under which others tell of it."""

    def __init__(self) -> None:
        """Know no engine, and no node of an earlier release."""
        self._starts: dict[str, str] = {}
        self._instances: dict[str, str] = {}
        self._earlier_heard_at = -math.inf

    def start_of(self, instance: str) -> str:
        """Return the name of an engine's present start; empty if none is known."""
        return self._starts.get(instance, "")

    def put(self, instance: str, start: str) -> None:
        """Note the present start of an engine."""
        self._instances.pop(self.start_of(instance), None)
        self._starts[instance] = start
        self._instances[start] = instance

    def remove(self, instance: str) -> None:
        """Forget an engine."""
        self._instances.pop(self._starts.pop(instance, ""), None)

    def by_start(self, told: Iterable[tuple[str, int]], now: float) -> dict[str, int]:
        """Return counts by start.

        What is told under an instance holds what is told under its start, or comes from a node
        that has no other name; so the larger of both counts.
        """
        counts: dict[str, int] = {}
        under_instances: dict[str, int] = {}
        for name, count in told:
            if name in self._instances or name not in self._starts:
                counts[name] = count
            else:
                under_instances[self._starts[name]] = count
        for start, count in under_instances.items():
            # What this release reports under both names is equal, and tells of no earlier one.
            if count > counts.get(start, 0):
                self._earlier_heard_at = now
                counts[start] = count
            counts.setdefault(start, count)
        return counts

    def earlier_name(self, start: str, now: float) -> str:
        """Return what an earlier release calls a start; empty if none is heard, or it is alike."""
        instance = self._instances.get(start, "")
        is_heard = now - self._earlier_heard_at <= EARLIER_HEARD_SECONDS
        return instance if is_heard and instance != start else ""
