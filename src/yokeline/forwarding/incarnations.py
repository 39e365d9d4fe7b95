"""Names of engine incarnations in messages between nodes.

A node names an engine by its incarnation id. Nodes of an earlier release use the instance, which
all incarnations share. While such a node is heard from, load is reported under both names, so that
nodes of either release see the load of all nodes.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

LEGACY_REPORTING_SECONDS = 3.0
"""Time after the last report of an earlier release for which load is also reported under
instances."""


class IncarnationIndex:
    """Current incarnation of each known engine, and the names under which nodes report it."""

    def __init__(self) -> None:
        """Start without engines and without nodes of an earlier release."""
        self._current_ids: dict[str, str] = {}
        self._instances: dict[str, str] = {}
        self._legacy_heard_at = -math.inf

    def current_id(self, instance: str) -> str:
        """Return the id of an engine's current incarnation; empty if none is known."""
        return self._current_ids.get(instance, "")

    def put(self, instance: str, incarnation_id: str) -> None:
        """Set the current incarnation of an engine."""
        self._instances.pop(self.current_id(instance), None)
        self._current_ids[instance] = incarnation_id
        self._instances[incarnation_id] = instance

    def remove(self, instance: str) -> None:
        """Remove an engine."""
        self._instances.pop(self._current_ids.pop(instance, ""), None)

    def counts_by_incarnation(
        self, reported: Iterable[tuple[str, int]], now: float
    ) -> dict[str, int]:
        """Return reported counts by incarnation id.

        A count under an instance includes the count under its incarnation, or comes from a node
        that reports no other name, so the larger count is taken.
        """
        counts: dict[str, int] = {}
        counts_by_instance: dict[str, int] = {}
        for name, count in reported:
            if name in self._instances or name not in self._current_ids:
                counts[name] = count
            else:
                counts_by_instance[self._current_ids[name]] = count
        for incarnation_id, count in counts_by_instance.items():
            # Nodes of this release report equal counts under both names.
            if count > counts.get(incarnation_id, 0):
                self._legacy_heard_at = now
                counts[incarnation_id] = count
            counts.setdefault(incarnation_id, count)
        return counts

    def legacy_name(self, incarnation_id: str, now: float) -> str:
        """Return the instance under which to report an incarnation too.

        Empty if no node of an earlier release was heard from recently, or if both names are equal.
        """
        instance = self._instances.get(incarnation_id, "")
        is_heard = now - self._legacy_heard_at <= LEGACY_REPORTING_SECONDS
        return instance if is_heard and instance != incarnation_id else ""
