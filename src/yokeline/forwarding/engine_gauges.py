"""Gauges of engine pace, for the engines that deviate most from the pace of their pool."""

from __future__ import annotations

import heapq

import msgspec

from yokeline.forwarding.engines import EngineTable

MAX_ENGINES_SHOWN = 32
"""Maximum number of engines with gauges of their own. With two gauges each, the metrics page stays
readable."""


class _EnginePace(msgspec.Struct, frozen=True, kw_only=True):
    engine_id: str
    pace_ratio: float
    spell_ratio: float

    @property
    def distance(self) -> float:
        """Deviation from a ratio of 1; half and double the pace deviate equally."""
        present = self.pace_ratio * self.spell_ratio
        return max(present, 1 / present)


def pace_gauges(engines: EngineTable, now: float) -> dict[str, float]:
    """Return long-term pace and current slowdown of engines as ratios to the typical pace."""
    known = [
        _EnginePace(
            engine_id=state.engine.engine_id,
            pace_ratio=state.reported_profile.pace_seconds / engines.usual_pace(state.engine.pool),
            spell_ratio=state.reported_profile.spell_at(now),
        )
        for state in engines.all()
        if state.reported_profile is not None and engines.usual_pace(state.engine.pool) > 0
    ]
    gauges: dict[str, float] = {}
    for item in heapq.nlargest(MAX_ENGINES_SHOWN, known, key=lambda item: item.distance):
        label = f'{{engine="{item.engine_id}"}}'
        gauges[f"yokeline_forwarding_engine_pace_ratio{label}"] = item.pace_ratio
        gauges[f"yokeline_forwarding_engine_spell_ratio{label}"] = item.spell_ratio
    return gauges
