"""Capacity of each pool as this node sees it: slots, requests waiting elsewhere, age."""

from __future__ import annotations

import msgspec

from yokeline.forwarding.engines import EngineTable
from yokeline.forwarding.placement import Placement, whole_slots
from yokeline.scheduling.room_waits import PoolRoom

MAX_VIEW_AGE_SECONDS = 0.05
"""Age up to which a view is reused; computing one visits each engine and each node report. Reports
arrive every 0.08 s at most."""


class CapacityView(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity of one pool at one time.

    Attributes:
        taken_at: Time of the view (monotonic seconds).
        slots: Total slots of the pool's engines, or their load if that is higher.
        slot_seconds: Average time for which a request occupies a slot; None if not known.
        new_program_share: Share of the freed slots that goes to first turns.
        new_program_excess: Requests that must end before a first turn may be sent: engines accept
            load above their slots for programs that have started.
        waiting_elsewhere: Requests that wait at other nodes.
        report_age: Age of the oldest report used (seconds); 0 without reports.
    """

    taken_at: float
    slots: int
    slot_seconds: float | None
    new_program_share: float
    new_program_excess: int
    waiting_elsewhere: int
    report_age: float

    def capacity_for(self, ahead: int, waiting: int, *, is_first_turn: bool) -> PoolRoom:
        """Return the capacity as seen by one request.

        Other nodes do not report the order of their queues. The same proportion of their requests
        as of this node's is assumed to be ahead.

        Args:
            ahead: Requests ahead of this one at this node.
            waiting: Requests that wait at this node, including this one.
            is_first_turn: Whether the request is the first turn of a program.
        """
        rank = (ahead + 1) / (max(waiting, ahead + 1) + 1)
        return PoolRoom(
            places=self.slots,
            ahead=ahead + rank * self.waiting_elsewhere,
            excess=self.new_program_excess if is_first_turn else 0,
            place_seconds=self.slot_seconds,
            share=self.new_program_share if is_first_turn else 1.0,
        )


class CapacityViews:
    """The latest view of each pool."""

    def __init__(self, engines: EngineTable, placement: Placement) -> None:
        """Compute views from ``engines`` and from the averages of ``placement``."""
        self._engines = engines
        self._placement = placement
        self._views: dict[str, CapacityView] = {}

    def of(self, pool: str, now: float) -> CapacityView:
        """Return a sufficiently recent view of a pool."""
        view = self._views.get(pool)
        if view is None or now - view.taken_at >= MAX_VIEW_AGE_SECONDS:
            view = self._take_view(pool, now)
            self._views[pool] = view
        return view

    def clear(self) -> None:
        """Drop the views, since the usable engines have changed."""
        self._views.clear()

    def _take_view(self, pool: str, now: float) -> CapacityView:
        engines = [
            (state, usable)
            for state in self._engines.in_pool(pool, now)
            if (usable := self._placement.usable_slots(state, now)) > 0
        ]
        slots = whole_slots(usable for _, usable in engines)
        # Load beyond the slots shows that an engine sustains it, but not that a cold one does.
        held = sum(
            state.load if usable >= state.engine.slots else min(state.load, int(usable))
            for state, usable in engines
        )
        least_excess = min((state.load - state.engine.slots for state, _ in engines), default=0)
        waiting = self._engines.waiting_elsewhere(pool, now)
        return CapacityView(
            taken_at=now,
            slots=max(slots, held),
            slot_seconds=self._placement.slot_seconds(pool),
            new_program_share=self._placement.new_program_share(pool),
            new_program_excess=max(0, least_excess) * len(engines),
            waiting_elsewhere=waiting.requests,
            report_age=waiting.report_age,
        )
