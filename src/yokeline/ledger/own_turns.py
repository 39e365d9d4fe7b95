"""This node's turns at engines, as reported to the ledger's leader.

Every report lists all turns, so the next one makes up for a lost report.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Protocol

from msgspec import UNSET, UnsetType

from yokeline.ledger.messages import EngineLoad, NodeTurns, PoolLoad, TurnServed

REFRESH_SECONDS = 0.5
"""Time after which a node with turns at engines reports without changes; the leader drops a node's
loads after three such periods without a report."""
ROWS_SECONDS = 0.05
"""Minimum time between two reports with tenants' loads, which are larger than the rest of
a report."""
MAX_UNREPORTED_OUTCOMES = 256
"""Outcomes waiting to be reported; the oldest are dropped, as they only affect the choice of
engines."""


class TenantLoadSource(Protocol):
    """Loads of this node's tenants."""

    @property
    def is_used(self) -> bool:
        """Whether the configuration has tenants."""

    @property
    def changes(self) -> int:
        """Increases when first turns of a tenant begin to wait, and when the last of them stops."""

    @property
    def has_waiting(self) -> bool:
        """Whether a first turn of any tenant is waiting."""

    def rows(self) -> tuple[PoolLoad, ...]:
        """Return the tenants' loads by pool."""


class OwnTurns:
    """Turns of one node by request id, and outcomes to be reported.

    Attributes:
        dropped: Outcomes that were dropped without a report.
        earlier_name: Called with an engine's id and the current time. Returns the id by which nodes
            of an earlier release know the engine, under which its load is reported as well; empty
            for none.
        tenants: Source of the tenants' loads; None by default.
    """

    def __init__(self) -> None:
        """Start without turns."""
        self.dropped = 0
        self.earlier_name: Callable[[str, float], str] = _no_earlier_name
        self.tenants: TenantLoadSource | None = None
        self._reported_changes = 0
        self._tenant_loads_reported_at = float("-inf")
        self._tenant_loads_overdue = False
        self._running: dict[str, str] = {}
        self._served: list[TurnServed] = []
        self._sequence = 0
        self._has_changes = False
        self._reported_at = float("-inf")

    def begin(self, request_id: str, engine_id: str) -> None:
        """Note that a turn was sent to an engine."""
        self._running[request_id] = engine_id
        self._has_changes = True

    def end(self, request_id: str, served: TurnServed) -> None:
        """Note the end of a turn at an engine, and its outcome."""
        self._running.pop(request_id, None)
        self._note_served(served)
        self._has_changes = True

    def end_call(self, served: TurnServed) -> None:
        """Note the outcome of a call; a failure is reported immediately.

        Successful calls are left for the next report, since the leader does not count running
        calls.
        """
        self._note_served(served)
        self._has_changes = self._has_changes or served.failed

    def _note_served(self, served: TurnServed) -> None:
        self._served.append(served)
        if len(self._served) > MAX_UNREPORTED_OUTCOMES:
            del self._served[0]
            self.dropped += 1

    def leader_changed(self) -> None:
        """Report soon, since a new leader has no data on this node."""
        self._has_changes = self._has_changes or self._has_load()
        self._tenant_loads_reported_at = float("-inf")

    def report_due(self) -> float | None:
        """Return when a report is due; None if there is nothing to report."""
        if self._has_changes:
            return float("-inf")
        if self._tenant_loads_overdue or self._tenants_changed():
            return self._tenant_loads_reported_at + ROWS_SECONDS
        return self._reported_at + REFRESH_SECONDS if self._has_load() else None

    def take_report(self, now: float) -> NodeTurns | None:
        """Return the report, if one is due."""
        due = self.report_due()
        if due is None or now < due:
            return None
        served, self._served = tuple(self._served), []
        self._has_changes = False
        self._reported_at = now
        self._sequence += 1
        return NodeTurns(sequence=self._sequence, loads=self._loads(now), served=served)

    def report_for_peer(self, now: float) -> NodeTurns:
        """Return a report of all turns to accompany a relayed operation.

        Outcomes are left for reports that reach the leader directly.
        """
        self._sequence += 1
        return NodeTurns(sequence=self._sequence, loads=self._loads(now))

    def take_rows(self, now: float) -> tuple[PoolLoad, ...] | UnsetType:
        """Return the tenants' loads to accompany a report.

        Unset if the configuration has no tenants, or if the loads were last returned less than
        :data:`ROWS_SECONDS` ago; another report is then due at the end of that period.
        """
        if self.tenants is None or not self.tenants.is_used:
            self._tenant_loads_overdue = False
            return UNSET
        self._tenant_loads_overdue = now < self._tenant_loads_reported_at + ROWS_SECONDS
        if self._tenant_loads_overdue:
            return UNSET
        self._tenant_loads_reported_at = now
        self._reported_changes = self.tenants.changes
        return self.tenants.rows()

    def _has_load(self) -> bool:
        if self._running:
            return True
        tenants = self.tenants
        return tenants is not None and tenants.is_used and tenants.has_waiting

    def _tenants_changed(self) -> bool:
        tenants = self.tenants
        if tenants is None or not tenants.is_used:
            return False
        return tenants.changes != self._reported_changes

    def _loads(self, now: float) -> tuple[EngineLoad, ...]:
        counts = Counter(self._running.values())
        for name, count in tuple(counts.items()):
            earlier_name = self.earlier_name(name, now)
            if earlier_name:
                counts[earlier_name] += count
        return tuple(EngineLoad(name, count) for name, count in counts.items())


def _no_earlier_name(_name: str, _now: float) -> str:
    return ""
