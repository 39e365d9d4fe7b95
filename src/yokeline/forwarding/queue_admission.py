"""Decides from needs and capacity whether requests that found no free slot may wait."""

from __future__ import annotations

import msgspec

from yokeline.forwarding.capacity_view import CapacityView, CapacityViews
from yokeline.forwarding.exchange import Exchange
from yokeline.forwarding.model import continues_program
from yokeline.forwarding.node_state import NodeState
from yokeline.forwarding.outcome_recorder import LogField
from yokeline.scheduling.room_waits import (
    PoolRoom,
    RoomNeed,
    RoomRefusal,
    RoomWait,
    decide,
    expected_wait,
    is_hopeless,
)
from yokeline.scheduling.wait_correction import WaitCorrection


class CapacitySnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity that one dispatch of a queue is based on.

    Attributes:
        view: Capacity of the pool.
        is_new: Whether earlier dispatches were based on another view, so that all waits are checked
            again.
    """

    view: CapacityView
    is_new: bool


class QueueAdmission:
    """Admits one node's requests to its queues, and learns from waits that have ended."""

    def __init__(self, state: NodeState) -> None:
        """Decide by ``state``."""
        self._state = state
        self._views = CapacityViews(state.engines, state.placement)
        self._last_views: dict[str, CapacityView] = {}
        self._wait_errors = WaitCorrection()

    def forget_capacity(self) -> None:
        """Take a new view of each pool for the next decision."""
        self._views.clear()

    def snapshot(self, pool: str) -> CapacitySnapshot:
        """Return the capacity for one dispatch of a pool's queue."""
        view = self._views.of(pool, self._state.now)
        snapshot = CapacitySnapshot(view=view, is_new=self._last_views.get(pool) is not view)
        self._last_views[pool] = view
        return snapshot

    def check_wait(
        self, exchange: Exchange, snapshot: CapacitySnapshot, *, ahead: int, waiting: int
    ) -> RoomRefusal | None:
        """Return why a request that found no capacity is refused; None if it waits.

        Args:
            exchange: The request; its wait is stored in it.
            snapshot: Capacity for this dispatch.
            ahead: Requests ahead of this one in the queue.
            waiting: Requests in the queue, including this one.
        """
        if exchange.room_wait is not None and not snapshot.is_new:
            return None
        capacity = self._capacity_for(exchange, snapshot.view, ahead, waiting)
        if exchange.room_wait is None:
            return self._begin_wait(exchange, capacity)
        exchange.room_wait.expected = expected_wait(capacity)
        if not exchange.call.program or exchange.relayed_events or exchange.possible_runs:
            return None
        time_left = exchange.room_wait.until - self._state.now
        hopeless = is_hopeless(time_left, exchange.room_wait.expected)
        return RoomRefusal.HOPELESS if hopeless else None

    def record_served(self, exchange: Exchange) -> None:
        """Learn from a request that is sent; one that did not wait is ignored."""
        if exchange.room_wait is not None:
            self._state.room_waits.observe(self._state.now - exchange.waiting_since)
            self._learn(exchange, exchange.room_wait, got_place=True)

    def record_expired(self, exchange: Exchange) -> None:
        """Learn from a request that has reached its wait limit.

        Waits that were ended early as hopeless are ignored, since the estimate would reinforce
        itself.
        """
        if exchange.room_wait is not None:
            self._learn(exchange, exchange.room_wait, got_place=False)

    def refusal_fields(self, exchange: Exchange, refusal: RoomRefusal) -> dict[str, LogField]:
        """Return the log fields that explain a refusal."""
        now, wait = self._state.now, exchange.room_wait
        view = self._views.of(exchange.pool, now)
        queue = self._state.waiting.get(exchange.pool)
        return {
            "cause": refusal.value,
            "begun": would_lose_work(exchange),
            "waited": round(now - exchange.waiting_since, 4),
            "expected_wait": round(wait.expected, 4) if wait is not None else None,
            "bears": round(wait.max_wait, 4) if wait is not None else None,
            "program_share": round(self._program_share(exchange), 3),
            "places": view.slots,
            "place_seconds": _rounded(view.slot_seconds),
            "error_ratio": round(self._wait_errors.ratio(exchange.pool), 3),
            "begin_share": round(view.new_program_share, 3),
            "begin_excess": view.new_program_excess,
            "waiting_here": len(queue) if queue is not None else 0,
            "waiting_elsewhere": view.waiting_elsewhere,
            "view_age": round(now - view.taken_at, 4),
            "reports_age": round(now - view.taken_at + view.report_age, 4),
        }

    def _begin_wait(self, exchange: Exchange, capacity: PoolRoom) -> RoomRefusal | None:
        decision = decide(self._need_of(exchange), capacity)
        exchange.room_wait = RoomWait(
            until=self._state.now + decision.max_wait,
            expected=decision.expected,
            first_expected=decision.expected / capacity.error_ratio,
            max_wait=decision.max_wait,
        )
        self._state.expected_waits.observe(decision.expected)
        return decision.refusal

    def _capacity_for(
        self, exchange: Exchange, view: CapacityView, ahead: int, waiting: int
    ) -> PoolRoom:
        is_first_turn = exchange.is_first_turn
        capacity = view.capacity_for(ahead, waiting, is_first_turn=is_first_turn)
        if exchange.allowed_versions is not None:
            capacity = self._capacity_of_versions(exchange, capacity)
        if not is_first_turn:
            return capacity
        return msgspec.structs.replace(capacity, error_ratio=self._wait_errors.ratio(exchange.pool))

    def _capacity_of_versions(self, exchange: Exchange, capacity: PoolRoom) -> PoolRoom:
        """Return the part of a capacity that engines of the request's versions have.

        Of the requests ahead, the same share is assumed to go there.
        """
        versions = exchange.allowed_versions or frozenset()
        engines = self._state.engines.in_pool(exchange.pool, self._state.now)
        slots = sum(item.engine.slots for item in engines if item.engine.version in versions)
        share = slots / max(1, sum(item.engine.slots for item in engines))
        return msgspec.structs.replace(
            capacity, places=min(capacity.places, max(1, slots)), ahead=capacity.ahead * share
        )

    def _need_of(self, exchange: Exchange) -> RoomNeed:
        now, program_time_left = self._state.now, exchange.call.program_time_left
        program_left = (
            program_time_left - (now - exchange.arrived_at)
            if program_time_left is not None
            else None
        )
        return RoomNeed(
            time_left=exchange.deadline - now,
            own_seconds=self._state.placement.slot_seconds(exchange.pool) or 0.0,
            target_latency=exchange.route.target_latency,
            has_program=bool(exchange.call.program),
            program_left=program_left,
            program_share=self._program_share(exchange),
            has_begun=would_lose_work(exchange) or exchange.possible_runs > 0,
            is_interrupted=exchange.relayed_events > 0,
        )

    def _program_share(self, exchange: Exchange) -> float:
        return self._state.placement.program_times.share(exchange.route.name)

    def _learn(self, exchange: Exchange, wait: RoomWait, *, got_place: bool) -> None:
        """Learn the error of the expected waits of first turns."""
        if exchange.is_first_turn and not exchange.was_held_back:
            waited = self._state.now - exchange.waiting_since
            self._wait_errors.note(exchange.pool, wait.first_expected, waited, got_place=got_place)


def would_lose_work(exchange: Exchange) -> bool:
    """Return whether a refusal loses work that the request's program has done."""
    if exchange.program_started or exchange.continues_known_stream:
        return True
    return continues_program(exchange.route, exchange.call)


def _rounded(seconds: float | None) -> float | None:
    return round(seconds, 4) if seconds is not None else None
