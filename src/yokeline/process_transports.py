"""The transports of a process that runs a role, for services that are made before them."""

from __future__ import annotations

from collections import Counter

from yokeline.node.process import BUFFER_BYTES, BoundService
from yokeline.status_service import NodeFigures


class ProcessTransports:
    """The transports of the process, of which its services know nothing.

    Attributes:
        bound: The services with their transports, once they are bound.
    """

    def __init__(self, dropped: Counter[str]) -> None:
        """Tell of the log lines that were ``dropped``, by event."""
        self.bound: list[BoundService] = []
        self._dropped = dropped

    def has_room(self, size: int) -> bool:
        """Return whether the process has memory for a body of some bytes."""
        return not self.bound or self.bound[0].budget.has_room_for(size)

    def add_to(self, figures: NodeFigures) -> NodeFigures:
        """Add the log lines dropped, and what the transports refused, freed and dropped."""
        for event, count in sorted(self._dropped.items()):
            series = f'yokeline_log_lines_dropped_total{{event="{event}"}}'
            figures.counters[series] = float(count)
        for bound in self.bound:
            for name, value in bound.transport_counters().items():
                figures.counters[name] = figures.counters.get(name, 0.0) + value
        if self.bound:
            for name, value in self.bound[0].memory_counters().items():
                figures.counters[name] = value
            figures.gauges[BUFFER_BYTES] = self.bound[0].budget.held_bytes
        return figures
