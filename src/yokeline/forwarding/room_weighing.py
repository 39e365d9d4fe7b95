"""Whether requests that found no room wait on: their needs and the pool's room, put together."""

from __future__ import annotations

import msgspec

from yokeline.forwarding.exchange import Exchange
from yokeline.forwarding.model import continues_program
from yokeline.forwarding.node_state import NodeState
from yokeline.forwarding.outcome_recorder import LogField
from yokeline.forwarding.room_view import RoomView, RoomViews
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


class Look(msgspec.Struct, frozen=True, kw_only=True):
    """The room that one look at a queue goes by.

    Attributes:
        view: What is known of the pool.
        is_new: Earlier looks went by another view, so that all waits are weighed anew.
    """

    view: RoomView
    is_new: bool


class RoomWeighing:
    """Weighs the waits of one node's requests, and learns from those that are over."""

    def __init__(self, state: NodeState) -> None:
        """Weigh by what ``state`` knows."""
        self._state = state
        self._views = RoomViews(state.engines, state.placement)
        self._weighed_by: dict[str, RoomView] = {}
        self._errors = WaitCorrection()

    def look(self, pool: str) -> Look:
        """Return what a look at a pool's queue goes by."""
        view = self._views.of(pool, self._state.now)
        look = Look(view=view, is_new=self._weighed_by.get(pool) is not view)
        self._weighed_by[pool] = view
        return look

    def weigh(
        self, exchange: Exchange, look: Look, *, ahead: int, waiting: int
    ) -> RoomRefusal | None:
        """Decide whether a request that found no room waits on; return why not.

        Args:
            exchange: The request; its wait is noted there.
            look: At the queue.
            ahead: Requests before it in the queue.
            waiting: Requests in the queue, itself included.
        """
        if exchange.room_wait is not None and not look.is_new:
            return None
        room = self._room_for(exchange, look.view, ahead, waiting)
        if exchange.room_wait is None:
            return self._begin(exchange, room)
        exchange.room_wait.expected = expected_wait(room)
        if not exchange.call.program or exchange.relayed_events or exchange.possible_runs:
            return None
        still = exchange.room_wait.until - self._state.now
        hopeless = is_hopeless(still, exchange.room_wait.expected)
        return RoomRefusal.HOPELESS if hopeless else None

    def note_place(self, exchange: Exchange) -> None:
        """Learn from a request that got a place; one that did not wait tells nothing."""
        if exchange.room_wait is not None:
            self._state.room_waits.observe(self._state.now - exchange.waiting_since)
            self._learn(exchange, exchange.room_wait, got_place=True)

    def note_in_vain(self, exchange: Exchange) -> None:
        """Learn from a request that has waited for as long as it can bear.

        Waits that were ended as hopeless tell nothing: the expectation would feed on itself.
        """
        if exchange.room_wait is not None:
            self._learn(exchange, exchange.room_wait, got_place=False)

    def refusal_fields(self, exchange: Exchange, refusal: RoomRefusal) -> dict[str, LogField]:
        """Return what decided a refusal, and how old that is, for the log."""
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
            "places": view.places,
            "place_seconds": _rounded(view.place_seconds),
            "error_ratio": round(self._errors.ratio(exchange.pool), 3),
            "begin_share": round(view.begin_share, 3),
            "begin_excess": view.begin_excess,
            "waiting_here": len(queue) if queue is not None else 0,
            "waiting_elsewhere": view.elsewhere,
            "view_age": round(now - view.at, 4),
            "reports_age": round(now - view.at + view.reports_age, 4),
        }

    def _begin(self, exchange: Exchange, room: PoolRoom) -> RoomRefusal | None:
        decision = decide(self._need_of(exchange), room)
        exchange.room_wait = RoomWait(
            until=self._state.now + decision.max_wait,
            expected=decision.expected,
            first_expected=decision.expected / room.error_ratio,
            max_wait=decision.max_wait,
        )
        self._state.expected_waits.observe(decision.expected)
        return decision.refusal

    def _room_for(self, exchange: Exchange, view: RoomView, ahead: int, waiting: int) -> PoolRoom:
        is_first = exchange.is_first_turn
        room = view.room(ahead, waiting, is_first=is_first)
        if not is_first:
            return room
        return msgspec.structs.replace(room, error_ratio=self._errors.ratio(exchange.pool))

    def _need_of(self, exchange: Exchange) -> RoomNeed:
        now, program_time_left = self._state.now, exchange.call.program_time_left
        program_left = (
            program_time_left - (now - exchange.arrived_at)
            if program_time_left is not None
            else None
        )
        return RoomNeed(
            time_left=exchange.deadline - now,
            own_seconds=self._state.placement.place_seconds(exchange.pool) or 0.0,
            target_latency=exchange.route.target_latency,
            has_program=bool(exchange.call.program),
            program_left=program_left,
            program_share=self._program_share(exchange),
            has_begun=would_lose_work(exchange) or exchange.possible_runs > 0,
            is_interrupted=exchange.relayed_events > 0,
        )

    def _program_share(self, exchange: Exchange) -> float:
        return self._state.placement.programs.share(exchange.route.name)

    def _learn(self, exchange: Exchange, wait: RoomWait, *, got_place: bool) -> None:
        """Learn how far the expected waits of first turns can be trusted."""
        if exchange.is_first_turn and not exchange.was_held_back:
            waited = self._state.now - exchange.waiting_since
            self._errors.note(exchange.pool, wait.first_expected, waited, got_place=got_place)


def would_lose_work(exchange: Exchange) -> bool:
    """Return whether the program of a request has done work that would be lost with it."""
    return exchange.program_started or continues_program(exchange.route, exchange.call)


def _rounded(seconds: float | None) -> float | None:
    return round(seconds, 4) if seconds is not None else None
