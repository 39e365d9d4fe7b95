"""Sends queued requests to engines with capacity in order of urgency, or refuses them."""

from __future__ import annotations

from collections.abc import Callable

from yokeline.forwarding.admission import UNKNOWN_KEY
from yokeline.forwarding.engine_choice import EngineChoice
from yokeline.forwarding.engine_sender import EngineSender
from yokeline.forwarding.exchange import Exchange, Phase
from yokeline.forwarding.http_statuses import UNAUTHORIZED, UNAVAILABLE
from yokeline.forwarding.node_state import NodeState
from yokeline.forwarding.queue_admission import CapacitySnapshot, QueueAdmission, would_lose_work
from yokeline.forwarding.residency import NO_ENGINE_IN_REGIONS
from yokeline.forwarding.responder import Responder
from yokeline.forwarding.stream_versions import NO_ENGINE_OF_VERSION
from yokeline.forwarding.wait_queue import WaitQueue
from yokeline.scheduling.retry_delays import (
    NO_ELIGIBLE_ENGINE_DELAY_SECONDS,
    RefusedCaller,
    retry_delay,
)
from yokeline.scheduling.room_waits import RoomRefusal


class Dispatcher:
    """Assigns queued requests to engines.

    Attributes:
        on_sent: Called with each request that was sent; does nothing by default.
        permit: Called with each request that is to be queued, and what queues it; queues it at once
            by default.
        is_still_permitted: Returns whether a queued request may still be sent; always by default.
    """

    def __init__(self, state: NodeState, sender: EngineSender, responder: Responder) -> None:
        """Send with ``sender`` and refuse with ``responder``."""
        self._state = state
        self._sender = sender
        self._responder = responder
        self._admission = QueueAdmission(state)
        self.on_sent: Callable[[Exchange], None] = ignore_exchange
        self.permit: Callable[[Exchange, Callable[[Exchange], None]], None] = _permit_at_once
        self.is_still_permitted: Callable[[Exchange], bool] = _always_permitted

    def enqueue(self, exchange: Exchange) -> None:
        """Queue a request until an engine has capacity, once it may be sent.

        It is ended if its key was revoked. The next dispatch of the pool decides whether the
        request may wait.
        """
        if exchange.is_revoked:
            self._end_revoked(exchange)
            return
        self.permit(exchange, self._enqueue_permitted)

    def _enqueue_permitted(self, exchange: Exchange) -> None:
        if exchange.is_revoked:
            self._end_revoked(exchange)
            return
        exchange.phase = Phase.WAITING
        exchange.engine = None
        exchange.waiting_since = self._state.now
        exchange.room_wait = None
        queue = self._state.waiting.setdefault(exchange.pool, WaitQueue())
        displaced = queue.add(exchange)
        if displaced is not None:
            self.refuse_for_capacity(displaced, RoomRefusal.QUEUE_FULL)

    def refuse_for_capacity(
        self, exchange: Exchange, refusal: RoomRefusal = RoomRefusal.NO_ENGINE_LEFT
    ) -> None:
        """End a request that no engine has capacity for."""
        if exchange.possible_runs:
            self._responder.fail(exchange, "no_engine_to_repeat")
            return
        name = f'yokeline_forwarding_room_refusals_total{{cause="{refusal.value}"}}'
        self._state.outcomes.counters[name] += 1
        fields = self._admission.refusal_fields(exchange, refusal)
        self._responder.refuse(
            exchange,
            UNAVAILABLE,
            self._refusal_reason(exchange, refusal),
            retry_after=self._retry_after(exchange, refusal),
            **fields,
        )

    def refuse_by_residency(self, exchange: Exchange, reason: str) -> None:
        """End a request that was not run and may not be served or kept in its regions."""
        self._responder.refuse(
            exchange,
            UNAVAILABLE,
            reason,
            retry_after=self._retry_after(exchange, RoomRefusal.NO_ELIGIBLE_ENGINE),
            regions=" ".join(sorted(exchange.allowed_regions or ())),
        )

    def _refusal_reason(self, exchange: Exchange, refusal: RoomRefusal) -> str:
        if refusal is not RoomRefusal.NO_ELIGIBLE_ENGINE:
            return "no_engine"
        engines = self._state.engines.in_pool(exchange.pool, self._state.now)
        versions = exchange.allowed_versions
        if versions is not None and all(item.engine.version not in versions for item in engines):
            return NO_ENGINE_OF_VERSION
        has_engine = self._state.residency.has_engine(exchange, engines)
        return "no_engine" if has_engine else NO_ENGINE_IN_REGIONS

    def _retry_after(self, exchange: Exchange, refusal: RoomRefusal) -> float:
        caller = RefusedCaller(
            request_id=exchange.call.request_id,
            has_begun=would_lose_work(exchange),
            time_left=exchange.deadline - self._state.now,
        )
        expected = exchange.room_wait.expected if exchange.room_wait is not None else 0.0
        if refusal is RoomRefusal.NO_ELIGIBLE_ENGINE and exchange.allowed_versions is not None:
            # The caller may begin a new stream, for which other engines are eligible.
            expected = 0.0
        elif refusal is RoomRefusal.NO_ELIGIBLE_ENGINE:
            expected = NO_ELIGIBLE_ENGINE_DELAY_SECONDS
        return retry_delay(caller, expected)

    def refuse_without_eligible_engine(self, exchange: Exchange) -> bool:
        """Refuse a new request that no engine of its pool can become eligible for.

        Returns:
            Whether it was refused. It has then neither a reservation nor a share of a limit.
        """
        pool = self._state.pool_of(exchange)
        if not self._state.placement.has_no_eligible_engine(exchange, pool, self._state.now):
            return False
        exchange.waiting_since = self._state.now
        self.refuse_for_capacity(exchange, RoomRefusal.NO_ELIGIBLE_ENGINE)
        return True

    def forget_capacity(self) -> None:
        """Compute the capacity of the pools anew for the next decisions."""
        self._admission.forget_capacity()

    def _end_revoked(self, exchange: Exchange) -> None:
        if exchange.possible_runs or exchange.relayed_events:
            self._responder.fail(exchange, UNKNOWN_KEY)
        else:
            self._responder.refuse(exchange, UNAUTHORIZED, UNKNOWN_KEY)

    def dispatch_all(self) -> None:
        """Dispatch the queued requests of all pools."""
        for pool in list(self._state.waiting):
            self.dispatch(pool)

    def dispatch(self, pool: str) -> None:
        """Send the queued requests of a pool, most urgent first, while engines have capacity.

        A request that finds no capacity waits or is refused. Requests that wait already are checked
        again whenever the capacity view of the pool is refreshed.
        """
        queue = self._state.waiting.get(pool)
        if queue is None or not len(queue):
            return
        held_back = self._state.fair_shares.held_back(pool, self._state.now)
        queue.set_held_back(held_back)
        full_engines = _FullEngineCache(held_back)
        snapshot: CapacitySnapshot | None = None
        ahead = 0
        for exchange in queue.in_order():
            refusal = self._unservable_cause(exchange)
            if refusal is None:
                choice = self._choose(exchange, full_engines)
                if choice is not None:
                    queue.remove(exchange)
                    if self.is_still_permitted(exchange):
                        self._send(exchange, choice)
                    else:
                        self.enqueue(exchange)
                    continue
                snapshot = snapshot or self._admission.snapshot(pool)
                refusal = self._check_wait(exchange, snapshot, ahead=ahead, waiting=len(queue))
            if refusal is not None:
                queue.remove(exchange)
                self.refuse_for_capacity(exchange, refusal)
                continue
            ahead += 1

    def _unservable_cause(self, exchange: Exchange) -> RoomRefusal | None:
        """Return why a request cannot be served at any capacity; None if it can."""
        placement = self._state.placement
        if placement.lacks_time(exchange, self._state.now):
            return RoomRefusal.NO_TIME
        if placement.has_no_engine_left(exchange):
            return RoomRefusal.NO_ENGINE_LEFT
        pool = self._state.pool_of(exchange)
        if placement.has_no_eligible_engine(exchange, pool, self._state.now):
            return RoomRefusal.NO_ELIGIBLE_ENGINE
        return None

    def _choose(self, exchange: Exchange, full_engines: _FullEngineCache) -> EngineChoice | None:
        """Return the engine for a request; None without capacity or if its tenant is held back."""
        if exchange.is_unstarted_first_turn_of(full_engines.held_back):
            exchange.was_held_back = True
            return None
        placement = self._state.placement
        is_new_program = exchange.is_first_turn
        if full_engines.is_full_for(exchange, is_new_program=is_new_program):
            return placement.choose_cached(exchange, self._state.pool_of(exchange), self._state.now)
        choice = placement.choose(exchange, self._state.pool_of(exchange), self._state.now)
        if choice is None:
            full_engines.record_full(exchange, is_new_program=is_new_program)
        return choice

    def _send(self, exchange: Exchange, choice: EngineChoice) -> None:
        self._admission.record_served(exchange)
        exchange.room_wait = None
        self._sender.send(exchange, choice)
        self.on_sent(exchange)

    def _check_wait(
        self, exchange: Exchange, snapshot: CapacitySnapshot, *, ahead: int, waiting: int
    ) -> RoomRefusal | None:
        """Decide whether a request keeps waiting; a new wait gets a timer for its limit."""
        is_new_wait = exchange.room_wait is None
        refusal = self._admission.check_wait(exchange, snapshot, ahead=ahead, waiting=waiting)
        if is_new_wait and refusal is None and exchange.room_wait is not None:
            self._state.schedule(exchange, exchange.room_wait.until, self._wait_expired)
        return refusal

    def _wait_expired(self, exchange: Exchange) -> None:
        """Refuse a request at its wait limit, unless the timer belongs to an earlier wait."""
        wait = exchange.room_wait
        if exchange.phase is not Phase.WAITING or exchange.relayed_events or wait is None:
            return
        if self._state.now >= wait.until:
            self._admission.record_expired(exchange)
            self.refuse_for_capacity(exchange, RoomRefusal.WAITED)


_EngineSet = tuple[frozenset[str] | None, frozenset[str] | None]
"""Allowed regions and versions of a request."""


def _engine_set_of(exchange: Exchange) -> _EngineSet:
    return (exchange.allowed_regions, exchange.allowed_versions)


class _FullEngineCache:
    """Remembers within one dispatch for which requests all engines are full.

    Requests are told apart by their allowed regions and versions.

    Without the cache, each dispatch would evaluate every engine for every queued request (``python
    -m benchmarks.dispatch``).
    """

    def __init__(self, held_back: frozenset[str]) -> None:
        """Start empty; first turns of ``held_back`` tenants get no slot."""
        self.held_back = held_back
        self._full_for_any: set[_EngineSet] = set()
        self._full_for_new_programs: set[_EngineSet] = set()

    def record_full(self, exchange: Exchange, *, is_new_program: bool) -> None:
        """Record that no engine had capacity for a request."""
        if exchange.attempts.are_exhausted:
            return
        engines = _engine_set_of(exchange)
        self._full_for_new_programs.add(engines)
        if not is_new_program:
            self._full_for_any.add(engines)

    def is_full_for(self, exchange: Exchange, *, is_new_program: bool) -> bool:
        """Return whether all engines are known to be full for a request."""
        if exchange.attempts.are_exhausted:
            return False
        engines = _engine_set_of(exchange)
        return engines in self._full_for_any or (
            is_new_program and engines in self._full_for_new_programs
        )


def _permit_at_once(exchange: Exchange, send: Callable[[Exchange], None]) -> None:
    """Queue a request; the default without restrictions."""
    send(exchange)


def _always_permitted(_exchange: Exchange) -> bool:
    """Permit all sends; the default without restrictions."""
    return True


def ignore_exchange(exchange: Exchange) -> None:
    """Do nothing; the default callback."""
