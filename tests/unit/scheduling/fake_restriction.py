"""A restriction whose answers a test sets."""

from __future__ import annotations

from yokeline.scheduling.eligibility import EngineQuery, Ineligibility


class FakeRestriction:
    """Leaves out the engines in ``engine_ids``, or all of them if it names none."""

    def __init__(
        self,
        cause: Ineligibility | None = None,
        *,
        engine_ids: frozenset[str] = frozenset(),
        is_active: bool = True,
        slots_share: float = 1.0,
        changes_at: float | None = None,
    ) -> None:
        self.cause = cause
        self.engine_ids = engine_ids
        self.is_active = is_active
        self.slots_share = slots_share
        self.changes_at = changes_at
        self.sends: list[str] = []
        self.queries: list[EngineQuery] = []

    def check(self, query: EngineQuery, now: float) -> Ineligibility | None:
        self.queries.append(query)
        applies = not self.engine_ids or query.engine_id in self.engine_ids
        return self.cause if applies else None

    def record_send(self, engine_id: str, now: float) -> None:
        self.sends.append(engine_id)

    def next_change(self, now: float) -> float | None:
        return self.changes_at

    def usable_slots(
        self, engine_id: str, zone: str, slots: float, slot_seconds: float, now: float
    ) -> float:
        return slots * self.slots_share
