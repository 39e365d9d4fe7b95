"""Requests that wait for an engine with room: sent in order, or refused."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from yokeline.forwarding.admission import UNKNOWN_KEY
from yokeline.forwarding.choice import Choice
from yokeline.forwarding.ends import Ends
from yokeline.forwarding.engine_sends import EngineSends
from yokeline.forwarding.exchange import Exchange, Phase
from yokeline.forwarding.http_statuses import UNAUTHORIZED, UNAVAILABLE
from yokeline.forwarding.model import is_later_request
from yokeline.forwarding.node_state import NodeState
from yokeline.forwarding.room_view import PoolView, RoomViews
from yokeline.forwarding.waiting import WaitingRequests
from yokeline.scheduling.return_times import Returning, return_after
from yokeline.scheduling.room_waits import (
    PoolRoom,
    RoomNeed,
    RoomRefusal,
    RoomWait,
    decide,
    expected_wait,
    is_hopeless,
)
from yokeline.scheduling.wait_errors import WaitErrors


class Dispatch:
    """Hands requests that wait to engines.

    Attributes:
        sent: Called with each request that was sent; nobody unless set.
    """

    def __init__(self, state: NodeState, sends: EngineSends, ends: Ends) -> None:
        """Send with ``sends``, refuse with ``ends``."""
        self._state = state
        self._sends = sends
        self._ends = ends
        self._views = RoomViews(state.engines, state.placement)
        self._reviewed: dict[str, PoolView] = {}
        self._errors = WaitErrors()
        self.sent: Callable[[Exchange], None] = tell_nobody

    def wait(self, exchange: Exchange) -> None:
        """Let a request wait for an engine with room, unless its key was taken away.

        Whether it may wait is decided by the next look at the queue, if that finds no room.
        """
        if exchange.is_revoked:
            self._end_revoked(exchange)
            return
        exchange.phase = Phase.WAITING
        exchange.engine = None
        exchange.waiting_since = self._state.now
        exchange.room_wait = None
        queue = self._state.waiting.setdefault(exchange.pool, WaitingRequests())
        displaced = queue.add(exchange)
        if displaced is not None:
            self.give_up(displaced, RoomRefusal.QUEUE_FULL)

    def give_up(
        self, exchange: Exchange, refusal: RoomRefusal = RoomRefusal.NO_ENGINE_LEFT
    ) -> None:
        """End a request for which no engine has room."""
        if exchange.runs:
            self._ends.fail(exchange, "no_engine_to_repeat")
            return
        now = self._state.now
        wait = exchange.room_wait
        expected = wait.expected if wait is not None else 0.0
        caller = Returning(
            request_id=exchange.call.request_id,
            has_begun=_has_begun(exchange),
            time_left=exchange.due - now,
        )
        view = self._views.of(exchange.pool, now)
        name = f'yokeline_forwarding_room_refusals_total{{cause="{refusal.value}"}}'
        self._state.outcomes.counters[name] += 1
        self._ends.refuse(
            exchange,
            UNAVAILABLE,
            "no_engine",
            retry_after=return_after(caller, expected),
            cause=refusal.value,
            begun=_has_begun(exchange),
            waited=round(now - exchange.waiting_since, 4),
            expected_wait=round(expected, 4),
            bears=round(wait.bears, 4) if wait is not None else None,
            program_share=round(self._program_share(exchange), 3),
            places=view.places,
            place_seconds=_rounded(view.place_seconds),
            error_ratio=round(self._errors.ratio(exchange.pool), 3),
            begin_share=round(view.begin_share, 3),
            begin_excess=view.begin_excess,
            waiting_here=len(self._state.waiting.get(exchange.pool, ())),
            waiting_elsewhere=view.elsewhere,
            view_age=round(now - view.at, 4),
            reports_age=round(now - view.at + view.reports_age, 4),
        )

    def _end_revoked(self, exchange: Exchange) -> None:
        if exchange.runs or exchange.events:
            self._ends.fail(exchange, UNKNOWN_KEY)
        else:
            self._ends.refuse(exchange, UNAUTHORIZED, UNKNOWN_KEY)

    def dispatch_all(self) -> None:
        """Send what may be sent, in all pools."""
        for pool in list(self._state.waiting):
            self.dispatch(pool)

    def dispatch(self, pool: str) -> None:
        """Send what waits for a pool, the most urgent first, as long as there is room.

        What finds no room is told whether it may wait; those that wait already are asked again
        whenever the view of the pool is a new one.
        """
        queue = self._state.waiting.get(pool)
        if queue is None or not len(queue):
            return
        queue.hold_back(self._state.shares.held_back(pool, self._state.now))
        full = _FullEngines()
        look: _Look | None = None
        ahead = 0
        for exchange in queue.in_order():
            refusal = self._refusal_by_itself(exchange)
            if refusal is None:
                choice = self._choice_for(exchange, full)
                if choice is not None:
                    queue.remove(exchange)
                    self._send(exchange, choice)
                    continue
                look = look or self._look_at(pool)
                refusal = self._weigh_on(exchange, look, ahead, len(queue))
            if refusal is not None:
                queue.remove(exchange)
                self.give_up(exchange, refusal)
                continue
            ahead += 1

    def _choice_for(self, exchange: Exchange, full: _FullEngines) -> Choice | None:
        """Return the engine for a request; None if none has room, or others go first."""
        if self._state.shares.leaves_place(exchange, self._state.now):
            return None
        placement = self._state.placement
        is_new_program = placement.is_new_program(exchange)
        if full.has_no_room(exchange, is_new_program=is_new_program):
            return None
        choice = placement.choose(exchange, self._state.pool_of(exchange), self._state.now)
        if choice is None:
            full.note(exchange, is_new_program=is_new_program)
        return choice

    def _send(self, exchange: Exchange, choice: Choice) -> None:
        self._note_wait_over(exchange, got_place=True)
        self._sends.send(exchange, choice)
        self.sent(exchange)

    def _weigh_on(
        self, exchange: Exchange, look: _Look, ahead: int, waiting: int
    ) -> RoomRefusal | None:
        """Return why a request without a place waits no longer, if the view is a new one."""
        if exchange.room_wait is not None and not look.is_new:
            return None
        return self._weigh(exchange, self._room_for(exchange, look.view, ahead, waiting))

    def _look_at(self, pool: str) -> _Look:
        view = self._views.of(pool, self._state.now)
        look = _Look(view=view, is_new=self._reviewed.get(pool) is not view)
        self._reviewed[pool] = view
        return look

    def _refusal_by_itself(self, exchange: Exchange) -> RoomRefusal | None:
        """Return why a request cannot be served whatever room there is; None if it can."""
        placement = self._state.placement
        if placement.is_hopeless(exchange, self._state.now):
            return RoomRefusal.NO_TIME
        if placement.is_stranded(exchange):
            return RoomRefusal.NO_ENGINE_LEFT
        return None

    def _room_for(self, exchange: Exchange, view: PoolView, ahead: int, waiting: int) -> PoolRoom:
        is_first = _is_first_turn(exchange)
        room = view.room(ahead, waiting, is_first=is_first)
        if not is_first:
            return room
        ratio = self._errors.ratio(exchange.pool)
        return msgspec.structs.replace(room, error_ratio=ratio)

    def _weigh(self, exchange: Exchange, room: PoolRoom) -> RoomRefusal | None:
        """Decide whether a request that found no room waits on; return why not."""
        wait = exchange.room_wait
        if wait is None:
            return self._begin_wait(exchange, room)
        wait.expected = expected_wait(room)
        if not exchange.call.program or exchange.events or exchange.runs:
            return None
        still = wait.until - self._state.now
        return RoomRefusal.HOPELESS if is_hopeless(still, wait.expected) else None

    def _begin_wait(self, exchange: Exchange, room: PoolRoom) -> RoomRefusal | None:
        decision = decide(self._need_of(exchange), room)
        until = self._state.now + decision.bears
        exchange.room_wait = RoomWait(
            until=until,
            expected=decision.expected,
            first_expected=decision.expected / room.error_ratio,
            bears=decision.bears,
        )
        self._state.expected_waits.observe(decision.expected)
        if decision.refusal is None:
            self._state.schedule(exchange, until, self._waited_long)
        return decision.refusal

    def _need_of(self, exchange: Exchange) -> RoomNeed:
        now, finish = self._state.now, exchange.call.finish
        program_left = finish - (now - exchange.started) if finish is not None else None
        return RoomNeed(
            time_left=exchange.due - now,
            own_seconds=self._state.placement.place_seconds(exchange.pool) or 0.0,
            target_latency=exchange.route.target_latency,
            has_program=bool(exchange.call.program),
            program_left=program_left,
            program_share=self._program_share(exchange),
            has_begun=_has_begun(exchange),
            is_interrupted=exchange.events > 0,
        )

    def _program_share(self, exchange: Exchange) -> float:
        return self._state.placement.programs.share(exchange.route.name)

    def _note_wait_over(self, exchange: Exchange, *, got_place: bool) -> None:
        """Learn from a wait how far the expected ones can be trusted."""
        wait = exchange.room_wait
        if wait is None:
            return
        waited = self._state.now - exchange.waiting_since
        if got_place:
            self._state.room_waits.observe(waited)
        if _is_first_turn(exchange):
            self._errors.note(exchange.pool, wait.first_expected, waited, got_place=got_place)

    def _waited_long(self, exchange: Exchange) -> None:
        """Refuse a request whose wait is over, unless an earlier wait of it set the timer."""
        wait = exchange.room_wait
        if exchange.phase is not Phase.WAITING or exchange.events or wait is None:
            return
        if self._state.now >= wait.until:
            self._note_wait_over(exchange, got_place=False)
            self.give_up(exchange, RoomRefusal.WAITED)


class _Look(msgspec.Struct, frozen=True, kw_only=True):
    """The room that one look at a queue goes by, and whether earlier looks went by another one."""

    view: PoolView
    is_new: bool


class _FullEngines:
    """For whom no engine had room in one look at a queue; the rest of the queue need not ask.

    Without it each event of a busy node looks at every engine for every request that waits:
    8 ms of processor time for 100 requests and 60 engines (``python -m benchmarks.dispatch``).
    """

    def __init__(self) -> None:
        """Know nothing yet."""
        self._for_any = False
        self._for_new_programs = False

    def note(self, exchange: Exchange, *, is_new_program: bool) -> None:
        """Note that no engine had room for a request."""
        if exchange.attempts.are_used_up:
            return
        self._for_new_programs = True
        self._for_any = self._for_any or not is_new_program

    def has_no_room(self, exchange: Exchange, *, is_new_program: bool) -> bool:
        """Return whether it is known that no engine has room for a request."""
        if exchange.attempts.are_used_up:
            return False
        return self._for_any or (is_new_program and self._for_new_programs)


def _is_first_turn(exchange: Exchange) -> bool:
    """Return whether a request begins a program, so that begun ones go before it."""
    return bool(exchange.call.program) and not _has_begun(exchange)


def _has_begun(exchange: Exchange) -> bool:
    """Return whether the program of a request has done work that would be lost with it."""
    return exchange.begun or is_later_request(exchange.route, exchange.call)


def _rounded(seconds: float | None) -> float | None:
    return round(seconds, 4) if seconds is not None else None


def tell_nobody(exchange: Exchange) -> None:
    """Tell nobody."""
