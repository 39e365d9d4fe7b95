"""What engines' starts are called between nodes.

A node calls an engine by the name of its start. A release that knows no starts calls it by its
instance, which each of its starts shares. As long as such a node is heard, the others report under
both names, so that either release sees the load of all nodes.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

LEGACY_REPORTING_SECONDS = 3.0
"""Time after the last word of an earlier release for which loads are reported for it as well."""


class IncarnationIndex:
    """The start of each engine that is known, and the names under which others tell of it."""

    def __init__(self) -> None:
        """Know no engine, and no node of an earlier release."""
        self._current_ids: dict[str, str] = {}
        self._instances: dict[str, str] = {}
        self._legacy_heard_at = -math.inf

    def current_id(self, instance: str) -> str:
        """Return the name of an engine's present start; empty if none is known."""
        return self._current_ids.get(instance, "")

    def put(self, instance: str, incarnation_id: str) -> None:
        """Note the present start of an engine."""
        self._instances.pop(self.current_id(instance), None)
        self._current_ids[instance] = incarnation_id
        self._instances[incarnation_id] = instance

    def remove(self, instance: str) -> None:
        """Forget an engine."""
        self._instances.pop(self._current_ids.pop(instance, ""), None)

    def counts_by_incarnation(
        self, reported: Iterable[tuple[str, int]], now: float
    ) -> dict[str, int]:
        """Return counts by start.

        What is told under an instance holds what is told under its start, or comes from a node
        that has no other name; so the larger of both counts.
        """
        counts: dict[str, int] = {}
        counts_by_instance: dict[str, int] = {}
        for name, count in reported:
            if name in self._instances or name not in self._current_ids:
                counts[name] = count
            else:
                counts_by_instance[self._current_ids[name]] = count
        for incarnation_id, count in counts_by_instance.items():
            # What this release reports under both names is equal, and tells of no earlier one.
            if count > counts.get(incarnation_id, 0):
                self._legacy_heard_at = now
                counts[incarnation_id] = count
            counts.setdefault(incarnation_id, count)
        return counts

    def legacy_name(self, incarnation_id: str, now: float) -> str:
        """Return what an earlier release calls a start; empty if none is heard, or it is alike."""
        instance = self._instances.get(incarnation_id, "")
        is_heard = now - self._legacy_heard_at <= LEGACY_REPORTING_SECONDS
        return instance if is_heard and instance != incarnation_id else ""
