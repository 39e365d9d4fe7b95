"""The turns that this node has at engines, as it tells the ledger's leader of them.

A report names all of them, so a lost one is made good by the next, and what a node that has died
told is forgotten when it falls silent.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Protocol

from msgspec import UNSET, UnsetType

from yokeline.ledger.messages import EngineLoad, NodeTurns, PoolLoad, TurnServed

REFRESH_SECONDS = 0.5
"""Pause after which a node with turns at engines reports although nothing changed; the leader
forgets a node that is silent for three of them."""
ROWS_SECONDS = 0.05
"""Least pause between two reports with the rows of tenants. They are longer than the rest of a
report, and a turn lasts some tenths of a second."""
MAX_SERVED = 256
"""Ends that wait to be told; beyond it the oldest are dropped, since they only colour the choice
of an engine. A node ends some tens of turns and calls a second."""


class TenantLoadSource(Protocol):
    """What the tenants of this node have of the engines, and what they ask for."""

    @property
    def is_used(self) -> bool:
        """Whether the configuration has tenants."""

    @property
    def changes(self) -> int:
        """Rises when a tenant's first turns begin to wait, and when none of them waits any more."""

    @property
    def has_waiting(self) -> bool:
        """Whether a first turn of any tenant waits."""

    def rows(self) -> tuple[PoolLoad, ...]:
        """Return what the leader is told."""


class OwnTurns:
    """Turns of one node by request id, and how engines served the last ones.

    Attributes:
        dropped: Ends that were never told, since there were too many.
        earlier_name: Returns the second name under which a load is reported at a time, for nodes
            of an earlier release; empty for none.
        tenants: What the node's tenants have; None unless set.
    """

    def __init__(self) -> None:
        """Have no turn under way."""
        self.dropped = 0
        self.earlier_name: Callable[[str, float], str] = _no_earlier_name
        self.tenants: TenantLoadSource | None = None
        self._reported_changes = 0
        self._rows_reported_at = float("-inf")
        self._owes_rows = False
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
        """Note that a turn left its engine, and how it was served."""
        self._running.pop(request_id, None)
        self._note_served(served)
        self._has_changes = True

    def end_call(self, served: TurnServed) -> None:
        """Note how an engine served a request that is no turn; a failure is told at once.

        The others go with the next report: the leader counts no calls under way.
        """
        self._note_served(served)
        self._has_changes = self._has_changes or served.failed

    def _note_served(self, served: TurnServed) -> None:
        self._served.append(served)
        if len(self._served) > MAX_SERVED:
            del self._served[0]
            self.dropped += 1

    def leader_changed(self) -> None:
        """Report soon, since a new leader knows nothing of this node."""
        self._has_changes = self._has_changes or self._has_load()
        self._rows_reported_at = float("-inf")

    def report_due(self) -> float | None:
        """Return when a report is due; None while there is nothing to tell."""
        if self._has_changes:
            return float("-inf")
        if self._owes_rows or self._tenants_changed():
            return self._rows_reported_at + ROWS_SECONDS
        return self._reported_at + REFRESH_SECONDS if self._has_load() else None

    def take_report(self, now: float) -> NodeTurns | None:
        """Return the report that is due; None if none is."""
        due = self.report_due()
        if due is None or now < due:
            return None
        served, self._served = tuple(self._served), []
        self._has_changes = False
        self._reported_at = now
        self._sequence += 1
        return NodeTurns(sequence=self._sequence, loads=self._loads(now), served=served)

    def report_for_peer(self, now: float) -> NodeTurns:
        """Return a report of all turns, to go with an operation that another node passes on.

        How engines served the last turns is left to reports that reach the leader directly.
        """
        self._sequence += 1
        return NodeTurns(sequence=self._sequence, loads=self._loads(now))

    def take_rows(self, now: float) -> tuple[PoolLoad, ...] | UnsetType:
        """Return the rows that go with a report that was taken.

        Unset where the configuration has no tenants, and until the next rows are due: these go
        then, with a report of their own if need be.
        """
        if self.tenants is None or not self.tenants.is_used:
            self._owes_rows = False
            return UNSET
        self._owes_rows = now < self._rows_reported_at + ROWS_SECONDS
        if self._owes_rows:
            return UNSET
        self._rows_reported_at = now
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
