"""What the ledger's leader knows of engines: turns under way, and how engines served the last ones.

Every turn asks the leader before it is sent, and its node tells the leader of all turns that it
has at engines, so the leader sees the load of all nodes some milliseconds old, where reports
between nodes are a few tenths of a second old. The book is not replicated and not on the disk: a
new leader begins with an empty one, which is whole again once each node has reported. Nothing but
the choice of an engine depends on it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec

from yokeline.fading import FadingAverage
from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import (
    NOT_COUNTED,
    PACE_UNIT_SECONDS,
    PERCENT,
    EngineLoad,
    EngineTurns,
    NodeTurns,
    TurnServed,
)
from yokeline.ledger.node_reports import NodeReports
from yokeline.scheduling.engine_profiles import EngineProfile

IDLE_ENGINE_SECONDS = 15.0
"""An engine without turns of which nothing was seen for this long may be forgotten if there are
too many to tell."""
PROFILE_RETENTION_SECONDS = 120.0
"""The same for any engine: its profile weighs next to nothing by then, or the engine has gone."""
MAX_ENGINES_REPORTED = 256
"""Engines told with one answer; in a larger fleet nodes go by the load reports alone."""
SLOWNESS_WEIGHT = 0.15
"""Weight of one turn in an engine's slowness."""
SLOWNESS_DECAY_SECONDS = 4.0
"""Time in which the slowness of an engine fades to a third without new turns."""


class _EngineRecord(msgspec.Struct):
    running: int = 0
    updated_at: float = -math.inf
    is_app: bool = False
    profile: EngineProfile = msgspec.field(default_factory=EngineProfile)
    slowness: FadingAverage = msgspec.field(
        default_factory=lambda: FadingAverage(1.0, SLOWNESS_WEIGHT, SLOWNESS_DECAY_SECONDS)
    )


class TurnsUnderWay:
    """The latest report of each node, and the engines by id."""

    def __init__(self) -> None:
        """Know of no turn."""
        self._nodes = NodeReports[EngineLoad]()
        self._engines: dict[str, _EngineRecord] = {}

    def __len__(self) -> int:
        """Return how many turns are under way."""
        return sum(record.running for record in self._engines.values())

    def take(self, process: ReplicaId, report: NodeTurns, now: float) -> None:
        """Take the report of a node's process in, unless a later one came before."""
        if not self._nodes.has_room(process):
            return
        for served in report.served:
            self._note_served(served, now)
        if not self._nodes.is_newer(process, report.sequence):
            return
        self._subtract(self._nodes.pop_report(process))
        self._nodes.put(process, report.sequence, report.loads, now)
        for load in report.loads:
            record = self._engine(load.engine_id)
            record.running += load.running
            record.updated_at = now

    def clear(self) -> None:
        """Forget everything, since another replica leads."""
        self._nodes.clear()
        self._engines.clear()

    def engines(self, now: float) -> tuple[EngineTurns, ...]:
        """Return what is known of engines; empty if there are too many of them to tell."""
        self._forget_silent(now)
        if len(self._engines) > MAX_ENGINES_REPORTED:
            self._forget_idle(now, IDLE_ENGINE_SECONDS)
            if len(self._engines) > MAX_ENGINES_REPORTED:
                return ()
        return tuple(_to_message(name, item, now) for name, item in self._engines.items())

    def _engine(self, engine_id: str) -> _EngineRecord:
        return self._engines.setdefault(engine_id, _EngineRecord())

    def _note_served(self, served: TurnServed, now: float) -> None:
        record = self._engine(served.engine_id)
        record.updated_at = now
        record.is_app = record.is_app or served.is_call
        record.profile.note_outcome(now, failed=served.failed)
        if served.pace > 0:
            record.profile.note_pace(served.pace * PACE_UNIT_SECONDS, now)
        if served.slowness > 0:
            record.slowness.observe(served.slowness, now)

    def _subtract(self, loads: Iterable[EngineLoad]) -> None:
        for load in loads:
            self._engine(load.engine_id).running -= load.running

    def _forget_silent(self, now: float) -> None:
        silent = self._nodes.pop_silent_loads(now)
        if silent is not None:
            self._subtract(silent)
            self._forget_idle(now, PROFILE_RETENTION_SECONDS)

    def _forget_idle(self, now: float, max_age: float) -> None:
        """Forget engines without turns of which nothing was seen for ``silence`` seconds."""
        idle = [
            name
            for name, item in self._engines.items()
            if not item.running and now - item.updated_at > max_age
        ]
        for name in idle:
            del self._engines[name]


def _to_message(engine_id: str, record: _EngineRecord, now: float) -> EngineTurns:
    profile = record.profile
    pace = profile.pace(now)
    return EngineTurns(
        engine_id=engine_id,
        running=NOT_COUNTED if record.is_app else record.running,
        failed_percent=round(PERCENT * profile.failed.value(now)),
        slowness_percent=round(PERCENT * record.slowness.value(now)),
        pace=round(pace.seconds / PACE_UNIT_SECONDS),
        samples=round(pace.samples),
        spell_percent=round(PERCENT * profile.spell(now)),
    )
