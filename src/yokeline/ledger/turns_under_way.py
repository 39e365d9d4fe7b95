"""The leader's data on engines: running turns, and outcomes of recent ones.

Nodes report all their turns at engines with the operations that precede each turn, so the leader's
data is more recent than the load reports between nodes. It is neither replicated nor stored: a new
leader starts without data, and has it once each node has reported. Only the choice of an engine
depends on it.
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
"""Time without reports after which an engine without turns may be dropped, if there are too many
engines to report."""
PROFILE_RETENTION_SECONDS = 120.0
"""Time without reports after which any engine without turns is dropped; its profile carries almost
no weight by then."""
MAX_ENGINES_REPORTED = 256
"""Engines listed in one answer; in a larger fleet nodes rely on the load reports alone."""
SLOWNESS_WEIGHT = 0.15
"""Weight of one turn in an engine's slowness."""
SLOWNESS_DECAY_SECONDS = 4.0
"""Time constant with which an engine's slowness decays without new turns."""


class _EngineRecord(msgspec.Struct):
    running: int = 0
    updated_at: float = -math.inf
    is_app: bool = False
    profile: EngineProfile = msgspec.field(default_factory=EngineProfile)
    slowness: FadingAverage = msgspec.field(
        default_factory=lambda: FadingAverage(1.0, SLOWNESS_WEIGHT, SLOWNESS_DECAY_SECONDS)
    )


class TurnsUnderWay:
    """The leader's counts of running turns: the latest report of each node, and sums by engine."""

    def __init__(self) -> None:
        """Start without reports."""
        self._nodes = NodeReports[EngineLoad]()
        self._engines: dict[str, _EngineRecord] = {}

    def __len__(self) -> int:
        """Return the number of running turns of all nodes."""
        return sum(record.running for record in self._engines.values())

    def take(self, process: ReplicaId, report: NodeTurns, now: float) -> None:
        """Handle a node's report; the loads of an outdated one are ignored."""
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
        """Drop all data, because another replica leads."""
        self._nodes.clear()
        self._engines.clear()

    def engines(self, now: float) -> tuple[EngineTurns, ...]:
        """Return the data on all engines; empty if there are too many engines."""
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
        """Drop engines without turns that were last reported more than ``max_age`` seconds ago."""
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
        failed_percent=round(PERCENT * profile.failure_rate.value(now)),
        slowness_percent=round(PERCENT * record.slowness.value(now)),
        pace=round(pace.seconds / PACE_UNIT_SECONDS),
        samples=round(pace.samples),
        spell_percent=round(PERCENT * profile.spell(now)),
    )
