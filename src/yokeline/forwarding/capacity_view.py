"""What a node knows of the room of each pool: places, those that wait elsewhere, and its age."""

from __future__ import annotations

import msgspec

from yokeline.forwarding.engines import EngineTable
from yokeline.forwarding.placement import Placement
from yokeline.scheduling.room_waits import PoolRoom

MAX_VIEW_AGE_SECONDS = 0.05
"""Age up to which a view is used again. A view costs a look at each engine and each report, and
reports come each 0.08 s at most."""


class CapacityView(msgspec.Struct, frozen=True, kw_only=True):
    """The room of one pool at one time.

    Attributes:
        at: When it was taken (monotonic seconds).
        places: Requests that its engines work on together, or hold if that is more.
        place_seconds: Seconds for which a request keeps a place; None if not known.
        begin_share: Share of the places that come free which programs that begin get.
        begin_excess: Requests that have to leave before a program may begin: engines hold more
            than their slots for begun programs, and those keep the engines alike.
        elsewhere: Requests that wait at other nodes.
        reports_age: Age of the oldest report that counts (seconds); 0 without one.
    """

    taken_at: float
    slots: int
    slot_seconds: float | None
    new_program_share: float
    new_program_excess: int
    waiting_elsewhere: int
    report_age: float

    def capacity_for(self, ahead: int, waiting: int, *, is_first_turn: bool) -> PoolRoom:
        """Return the room for one request.

        Other nodes do not tell the order of their queues. As many of theirs go before it as of
        this node's own, in proportion.

        Args:
            ahead: Requests that go before it at this node.
            waiting: Requests that wait at this node, itself included.
            is_first_turn: It begins a program.
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
        """Look at ``engines``, and at what ``placement`` has learned."""
        self._engines = engines
        self._placement = placement
        self._views: dict[str, CapacityView] = {}

    def of(self, pool: str, now: float) -> CapacityView:
        """Return a view of a pool that is fresh enough."""
        view = self._views.get(pool)
        if view is None or now - view.taken_at >= MAX_VIEW_AGE_SECONDS:
            view = self._take_view(pool, now)
            self._views[pool] = view
        return view

    def _take_view(self, pool: str, now: float) -> CapacityView:
        engines = self._engines.in_pool(pool, now)
        slots = sum(state.engine.slots for state in engines)
        held = sum(state.load for state in engines)
        least_excess = min((state.load - state.engine.slots for state in engines), default=0)
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
