"""Requests that wait for an engine with room: sent in order, or refused after a while."""

from __future__ import annotations

from collections.abc import Callable

from yokeline.forwarding.admission import UNKNOWN_KEY
from yokeline.forwarding.ends import Ends
from yokeline.forwarding.engine_sends import EngineSends
from yokeline.forwarding.exchange import Exchange, Phase
from yokeline.forwarding.http_statuses import UNAUTHORIZED, UNAVAILABLE
from yokeline.forwarding.node_state import NodeState
from yokeline.forwarding.waiting import WaitingRequests
from yokeline.scheduling.return_times import return_after
from yokeline.scheduling.room_waits import RoomNeed, longest_wait


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
        self.sent: Callable[[Exchange], None] = tell_nobody

    def wait(self, exchange: Exchange) -> None:
        """Let a request wait for an engine with room, unless its key was taken away."""
        if exchange.is_revoked:
            self._end_revoked(exchange)
            return
        now = self._state.now
        exchange.phase = Phase.WAITING
        exchange.engine = None
        exchange.waiting_since = now
        queue = self._state.waiting.setdefault(exchange.pool, WaitingRequests())
        displaced = queue.add(exchange)
        if displaced is not None:
            self.give_up(displaced)
        give_up_at = now + longest_wait(self._need_of(exchange))
        self._state.schedule(exchange, give_up_at, self._waited_long)

    def give_up(self, exchange: Exchange) -> None:
        """End a request for which no engine has room."""
        if exchange.runs:
            self._ends.fail(exchange, "no_engine_to_repeat")
            return
        retry_after = return_after(has_begun=exchange.begun)
        waited = round(self._state.now - exchange.waiting_since, 4)
        self._ends.refuse(
            exchange, UNAVAILABLE, "no_engine", retry_after=retry_after, waited=waited
        )

    def _need_of(self, exchange: Exchange) -> RoomNeed:
        return RoomNeed(
            target_latency=exchange.route.target_latency,
            time_left=exchange.due - self._state.now,
            has_begun=exchange.begun,
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
        """Send what waits for a pool, the most urgent first, as long as there is room."""
        queue = self._state.waiting.get(pool)
        if queue is None or not len(queue):
            return
        placement, now = self._state.placement, self._state.now
        shares = self._state.shares
        queue.hold_back(shares.held_back(pool, now))
        full = _FullEngines()
        for exchange in queue.in_order():
            if placement.is_hopeless(exchange, now) or placement.is_stranded(exchange):
                queue.remove(exchange)
                self.give_up(exchange)
                continue
            if shares.leaves_place(exchange, now):
                continue
            is_new_program = placement.is_new_program(exchange)
            if full.has_no_room(exchange, is_new_program=is_new_program):
                continue
            choice = placement.choose(exchange, self._state.pool_of(exchange), now)
            if choice is None:
                full.note(exchange, is_new_program=is_new_program)
                continue
            queue.remove(exchange)
            self._sends.send(exchange, choice)
            self.sent(exchange)

    def _waited_long(self, exchange: Exchange) -> None:
        if exchange.phase is Phase.WAITING and not exchange.events:
            self.give_up(exchange)


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


def tell_nobody(exchange: Exchange) -> None:
    """Tell nobody."""
