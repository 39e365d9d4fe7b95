"""Chooses engines by estimates of cached prompts, affinity and pace, and updates the estimates."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable

from yokeline.forwarding.engine_choice import (
    NO_RESTRICTIONS,
    ChoiceInputs,
    EngineChoice,
    choose_engine,
    ineligibility,
)
from yokeline.forwarding.engines import EngineState, EngineTable
from yokeline.forwarding.exchange import Exchange
from yokeline.forwarding.model import Pool, RouteKind
from yokeline.forwarding.prefix_cache import PrefixCacheIndex
from yokeline.identifiers import ExchangeId
from yokeline.scheduling.eligibility import EligibilityPolicy
from yokeline.scheduling.engine_model import NO_PACE, EngineLatencyModel, ObservedPace, ServedTurn
from yokeline.scheduling.program_times import ProgramTimes

MAX_AFFINITIES = 4096
MIN_TIME_LEFT_SHARE = 0.6
"""Least time left for a turn to be sent, as a share of a turn's average duration."""
SERVICE_TIME_WEIGHT = 0.05
"""Weight of an observation in the moving averages of service time."""
NEW_PROGRAM_SHARE_WEIGHT = 0.02
"""Weight of a send in the moving average of the share of slots given to first turns."""
INITIAL_NEW_PROGRAM_SHARE = 0.25
"""Initial value of that share, for programs of four turns."""
MIN_NEW_PROGRAM_SHARE = 0.1
"""Lower bound of that share: below it, the share reflects low demand rather than low capacity."""
MIN_EVENT_GAPS = 3
"""Least number of gaps between events from which an engine's pace is estimated."""
MIN_TIME_LEFT_SECONDS = 0.005
"""Least time left for any request to be sent. There is less after a pause of the whole process."""


class Placement:
    """Chooses engines for one node.

    Attributes:
        prefix_cache: Estimate of the prompt prefixes cached at each engine.
        program_times: Share of their allowed time that programs take.
        eligibility: Restrictions on the engines that a request may be sent to.
        isolation_changes: Counter that increases when an isolated request is sent or leaves.
        usable_versions: Returns the software versions to which new streams of a pool may be sent
            that can be resumed; None for all.
    """

    def __init__(
        self,
        zone: str,
        engines: EngineTable,
        eligibility: EligibilityPolicy = NO_RESTRICTIONS,
    ) -> None:
        """Choose among ``engines`` for a node in ``zone``."""
        self.prefix_cache = PrefixCacheIndex()
        self.program_times = ProgramTimes()
        self.eligibility = eligibility
        self._zone = zone
        self._engines = engines
        self._affinities: OrderedDict[tuple[str, str], str] = OrderedDict()
        self._turn_seconds: dict[str, float] = {}
        self._call_seconds: dict[str, float] = {}
        self._new_program_shares: dict[str, float] = {}
        self._models: dict[str, EngineLatencyModel] = {}
        self._isolated: dict[ExchangeId, str] = {}
        self.isolation_changes = 0
        self.usable_versions: Callable[[str], frozenset[str] | None] = _all_versions

    def choose(self, exchange: Exchange, pool: Pool, now: float) -> EngineChoice | None:
        """Return the engine for a request; None if no engine has capacity.

        Engines that failed or rejected the request are used only if no other one has capacity. A
        request with exhausted attempts returns to the latest of its engines that is still
        available.
        """
        if exchange.attempts.are_exhausted:
            attempted = self._attempted_engines(exchange)[:1]
            inputs = self._choice_inputs(exchange, pool, now, excluded=())
            return choose_engine(attempted, self.prefix_cache, inputs, now)
        choice = self._choose(exchange, pool, now)
        if choice is None and exchange.excluded_engine_ids:
            exchange.excluded_engine_ids.clear()
            choice = self._choose(exchange, pool, now)
        return choice

    def choose_cached(self, exchange: Exchange, pool: Pool, now: float) -> EngineChoice | None:
        """Return the engine with a session's context while restrictions are active.

        The restrictions may let the session use that engine although other requests may not; None
        if they do not, or if the engine has no capacity.
        """
        context = exchange.cached_context
        if context is None or not self.eligibility.is_active:
            return None
        state = self._engines.get(context.engine_id)
        if state is None or state.engine.draining or state.engine.pool != exchange.pool:
            return None
        inputs = self._choice_inputs(exchange, pool, now, exchange.excluded_engine_ids)
        return choose_engine([state], self.prefix_cache, inputs, now)

    def lacks_time(self, exchange: Exchange, now: float) -> bool:
        """Return whether too little time is left to serve a request before its deadline."""
        time_left = exchange.deadline - now
        if time_left <= MIN_TIME_LEFT_SECONDS:
            return True
        if exchange.route.kind is not RouteKind.STREAMING or exchange.relayed_events:
            return False
        return time_left < MIN_TIME_LEFT_SHARE * self._turn_seconds.get(exchange.pool, 0.0)

    def has_no_engine_left(self, exchange: Exchange) -> bool:
        """Return whether a request's attempts are exhausted and none of its engines is available.

        An unregistered engine may still be serving, so it counts as available.
        """
        return exchange.attempts.are_exhausted and not self._attempted_engines(exchange)

    def has_no_eligible_engine(self, exchange: Exchange, pool: Pool, now: float) -> bool:
        """Return whether no engine of a pool can become eligible for a request while it waits."""
        if not self.eligibility.is_active and exchange.allowed_versions is None:
            return False
        if exchange.allowed_regions is not None and not exchange.allowed_regions:
            return True
        is_exhausted = exchange.attempts.are_exhausted
        engines = (
            self._attempted_engines(exchange)[:1]
            if is_exhausted
            else self._engines.in_pool(exchange.pool, now)
        )
        inputs = self._choice_inputs(exchange, pool, now, excluded=())
        for state in engines:
            cause = ineligibility(state, self.prefix_cache, inputs, now)
            if cause is None or cause.is_temporary:
                return False
        return bool(engines)

    def usable_slots(self, state: EngineState, now: float) -> float:
        """Return how many slots of an engine count as capacity."""
        engine = state.engine
        if not self.eligibility.is_active:
            return engine.slots
        slot_seconds = self.slot_seconds(engine.pool) or 0.0
        return self.eligibility.usable_slots(
            engine.engine_id, engine.zone, engine.slots, slot_seconds, now
        )

    def usable_slots_in_pool(self, pool: str, now: float) -> int:
        """Return how many slots of a pool's engines count as capacity."""
        if not self.eligibility.is_active:
            return self._engines.slots_in_pool(pool)
        return whole_slots(
            self.usable_slots(state, now) for state in self._engines.in_pool(pool, now)
        )

    def slot_seconds(self, pool: str) -> float | None:
        """Return the average time for which a request occupies a slot; None if not known."""
        return self._turn_seconds.get(pool, self._call_seconds.get(pool))

    def new_program_share(self, pool: str) -> float:
        """Return the share of a pool's freed slots that goes to first turns."""
        return max(
            MIN_NEW_PROGRAM_SHARE, self._new_program_shares.get(pool, INITIAL_NEW_PROGRAM_SHARE)
        )

    def record_send(self, exchange: Exchange, choice: EngineChoice, pool: Pool, now: float) -> None:
        """Record a send in the prefix cache, the affinity and the share of first turns."""
        engine_id = choice.state.engine.engine_id
        call = exchange.call
        self._record_program_start(exchange, now)
        if exchange.is_isolated:
            self._isolated[exchange.exchange_id] = choice.state.engine.instance
            self.isolation_changes += 1
        if pool.model is not None:
            self.prefix_cache.record_prompt(engine_id, call.prompt_parts, pool.model.memory_tokens)
        if call.affinity_key:
            self._record_affinity((exchange.pool, call.affinity_key), engine_id)

    def isolated_instances(self) -> tuple[str, ...]:
        """Return the names of the engines to which this node has sent isolated requests."""
        return tuple(sorted(set(self._isolated.values()))) if self._isolated else ()

    def record_release(self, exchange: Exchange) -> None:
        """Record that a request has left its engine."""
        if exchange.is_isolated:
            self._isolated.pop(exchange.exchange_id, None)
            self.isolation_changes += 1

    def forget_engine(self, engine_id: str) -> None:
        """Remove the estimates of a removed engine."""
        self.prefix_cache.remove_engine(engine_id)
        for model in self._models.values():
            model.forget(engine_id)

    def record_turn(self, exchange: Exchange, now: float) -> ObservedPace:
        """Learn from a turn that its engine completed at the first attempt."""
        self.program_times.answered(exchange.names.program, now)
        if exchange.sends > 1 or exchange.engine is None:
            return NO_PACE
        if self._engines.get(exchange.engine.engine.engine_id) is None:
            # Removed meanwhile: estimates stored now would never be removed.
            return NO_PACE
        self._record_turn_seconds(exchange, now)
        if exchange.first_event_at is None or not exchange.relayed_events:
            return NO_PACE
        gaps = exchange.relayed_events - 1
        event_seconds = (exchange.last_event_at - exchange.first_event_at) / gaps if gaps else 0.0
        turn = ServedTurn(
            engine_id=exchange.engine.engine.engine_id,
            uncached_tokens=exchange.uncached_tokens,
            concurrent_turns=(exchange.load_when_sent + max(0, exchange.engine.load - 1)) / 2,
            first_event_seconds=exchange.first_event_at - exchange.sent_at,
            event_seconds=event_seconds if gaps >= MIN_EVENT_GAPS else None,
            events=exchange.relayed_events,
        )
        return self._model(exchange.pool).observe(turn, now, exchange.engine.reported_profile)

    def _attempted_engines(self, exchange: Exchange) -> list[EngineState]:
        """Return the available engines that may be running a request, latest first."""
        known = (self._engines.get(name) for name in reversed(exchange.attempts.engine_ids))
        return [state for state in known if state is not None and not state.engine.draining]

    def _model(self, pool: str) -> EngineLatencyModel:
        model = self._models.setdefault(pool, EngineLatencyModel())
        model.set_typical_pace(self._engines.usual_pace(pool))
        return model

    def record_call(self, exchange: Exchange, now: float) -> None:
        """Learn from an answered call."""
        self.program_times.answered(exchange.names.program, now)
        seconds = now - exchange.sent_at
        average = self._call_seconds.setdefault(exchange.pool, seconds)
        self._call_seconds[exchange.pool] = average + SERVICE_TIME_WEIGHT * (seconds - average)

    def _record_program_start(self, exchange: Exchange, now: float) -> None:
        """Record whether a slot went to a first turn, and track the program if so."""
        is_first_turn = exchange.is_first_turn
        share = self._new_program_shares.get(exchange.pool, INITIAL_NEW_PROGRAM_SHARE)
        self._new_program_shares[exchange.pool] = share + NEW_PROGRAM_SHARE_WEIGHT * (
            float(is_first_turn) - share
        )
        time_given = exchange.call.program_time_left
        if is_first_turn and time_given is not None:
            self.program_times.begin(exchange.names.program, exchange.route.name, time_given, now)

    def _record_turn_seconds(self, exchange: Exchange, now: float) -> None:
        seconds = now - exchange.sent_at
        average = self._turn_seconds.setdefault(exchange.pool, seconds)
        self._turn_seconds[exchange.pool] = average + SERVICE_TIME_WEIGHT * (seconds - average)

    def _choose(self, exchange: Exchange, pool: Pool, now: float) -> EngineChoice | None:
        engines = self._engines.in_pool(exchange.pool, now)
        inputs = self._choice_inputs(exchange, pool, now, exchange.excluded_engine_ids)
        return choose_engine(engines, self.prefix_cache, inputs, now)

    def _choice_inputs(
        self, exchange: Exchange, pool: Pool, now: float, excluded: Iterable[str]
    ) -> ChoiceInputs:
        call = exchange.call
        affinity_engine_id = ""
        if call.affinity_key:
            affinity_engine_id = self._affinities.get((exchange.pool, call.affinity_key), "")
        return ChoiceInputs(
            call=call,
            traits=pool.model,
            zone=self._zone,
            topology=self._engines.topology,
            excluded=frozenset(excluded),
            affinity_engine_id=affinity_engine_id,
            cached_context=exchange.cached_context,
            is_new_program=exchange.is_first_turn,
            model=self._model(exchange.pool) if pool.model is not None else None,
            is_retryable=exchange.route.kind is RouteKind.STREAMING or exchange.route.is_retryable,
            eligibility=self.eligibility,
            allowed_regions=exchange.allowed_regions,
            allowed_versions=exchange.allowed_versions,
            usable_versions=self._usable_versions(exchange),
            avoided_instances=self._avoided_instances(now),
            isolation_key=_isolation_key(exchange),
        )

    def _usable_versions(self, exchange: Exchange) -> frozenset[str] | None:
        is_new_stream = exchange.route.is_resumable_stream and exchange.allowed_versions is None
        return self.usable_versions(exchange.pool) if is_new_stream else None

    def _avoided_instances(self, now: float) -> frozenset[str]:
        elsewhere = self._engines.isolated_elsewhere(now)
        return elsewhere.union(self._isolated.values()) if self._isolated else elsewhere

    def _record_affinity(self, subject: tuple[str, str], engine_id: str) -> None:
        self._affinities[subject] = engine_id
        self._affinities.move_to_end(subject)
        if len(self._affinities) > MAX_AFFINITIES:
            self._affinities.popitem(last=False)


def _isolation_key(exchange: Exchange) -> str:
    if not exchange.is_isolated or exchange.loss_key is None:
        return ""
    return exchange.loss_key.digest


def _all_versions(_pool: str) -> None:
    """Restrict no stream; the default."""


def whole_slots(usable: Iterable[float]) -> int:
    """Return the whole slots in a sum; at least one for any capacity, since none means unknown."""
    total = sum(usable)
    return max(1, int(total)) if total > 0 else 0
