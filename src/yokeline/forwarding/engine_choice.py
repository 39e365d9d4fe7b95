"""Which engine serves a request: the least estimated cost among those with room."""

from __future__ import annotations

import msgspec

from yokeline.forwarding.engines import EngineState
from yokeline.forwarding.model import Call, ModelTraits
from yokeline.forwarding.prefix_cache import PrefixCacheIndex
from yokeline.ledger.operations import CachedContext
from yokeline.scheduling.engine_model import EngineLatencyModel

CROSS_ZONE_PENALTY_SECONDS = 0.016
"""Cost of another zone: the way there and back, and the prompt's bytes between zones."""
SUSPECT_PENALTY_TURNS = 2.0
"""Cost of an engine that failed a moment ago, as a multiple of a usual turn or call."""
FAILURE_PENALTY_TURNS = 4.0
"""The same for an engine at which all requests fail; a lesser share costs that share of it: the
work is lost, and the caller has few tries."""
NON_RETRYABLE_FAILURE_PENALTY_CALLS = 40.0
"""The same, in usual calls, for a call that may not be repeated: a failure ends its program, which
has taken some tens of such calls' time. Calls that may be repeated go on trying the engine."""
UNREGISTERED_PENALTY_TURNS = 8.0
"""The same for an engine whose entry went without a word of leaving, times the share of the
pool's engines that are still listed: if all entries went, the key-value service was away."""
RANK_PENALTY_SHARE = 0.04
"""Cost of the engine that this node ranks last, as a share of a usual turn or call: it parts
engines that cost the same, so that nodes choose different ones."""
NEW_CONNECTION_PENALTY_SECONDS = 0.008
"""Cost of an engine to which this node has no idle connection: twice the way there and back between
zones, since a new connection sends the first part of a prompt only and then waits for word, and a
millisecond at each end."""
NON_PREFERRED_CONNECTION_PENALTY_SECONDS = 0.008
"""Cost of such a connection to an engine that this node does not prefer: it is not used again, so
the next request to an engine that is preferred opens another one."""
MODEL_OVERCOMMIT = 1.4
APP_OVERCOMMIT = 2.0
"""Most requests at an engine, as a multiple of its slots; the rest waits at the nodes."""
NEW_PROGRAM_OVERCOMMIT = 1.0
"""The same for first turns: they take places, and what lies beyond the places is for programs
that have begun. A program that begins where all are slow ends late and makes the others late."""
AFFINITY_BONUS_SECONDS = 0.02
"""Gain of the engine that saw a request's subject last."""


class EngineChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The engine chosen, and what decided it.

    Attributes:
        cost: Estimated seconds, those that it costs other requests included.
        load: Requests it had under way.
        cached: Prompt tokens that it probably has.
        predicted: Seconds from the send to the end; 0 if not predicted.
    """

    state: EngineState
    cost: float
    load: int
    cached_tokens: int
    predicted_seconds: float = 0.0


class ChoiceInputs(msgspec.Struct, frozen=True, kw_only=True):
    """What a choice depends on beside the engines.

    Attributes:
        traits: Of model engines; None for apps.
        zone: Of this node.
        excluded: Engines that have had this request.
        affine: The engine that saw the subject last; empty for none.
        context: Where the call's line of turns was last read, as the ledger knows.
        is_new_program: It is the first turn of a program.
        model: What turns cost at these engines; None for apps.
        may_fail: A failure loses no more than this try.
    """

    call: Call
    traits: ModelTraits | None
    zone: str
    excluded: frozenset[str] = frozenset()
    affinity_engine_id: str = ""
    cached_context: CachedContext | None = None
    is_new_program: bool = False
    model: EngineLatencyModel | None = None
    is_retryable: bool = True


class PoolStatistics(msgspec.Struct, frozen=True):
    """What the engines of a pool have in common.

    Attributes:
        usual_pace: Median seconds of a call; 0 if not known.
        listed: Share of the engines whose entries stand in the key-value service.
    """

    median_call_seconds: float
    registered_share: float


def choose_engine(
    engines: list[EngineState], prefix_cache: PrefixCacheIndex, inputs: ChoiceInputs, now: float
) -> EngineChoice | None:
    """Return the best engine with room; None if there is none."""
    best: EngineChoice | None = None
    median_call_seconds = _median_call_seconds(engines) if inputs.model is None else 0.0
    registered_share = sum(not state.expires_at for state in engines) / max(1, len(engines))
    pool = PoolStatistics(median_call_seconds, registered_share)
    for state in engines:
        if state.engine.engine_id in inputs.excluded or now < state.full_until:
            continue
        if state.load >= max_load(state, inputs):
            continue
        choice = _estimate(state, prefix_cache, inputs, pool, now)
        if best is None or choice.cost < best.cost:
            best = choice
    return best


def max_load(state: EngineState, inputs: ChoiceInputs) -> int:
    """Return how many requests an engine may have under way for this one to be added."""
    overcommit = APP_OVERCOMMIT
    if inputs.traits is not None:
        overcommit = NEW_PROGRAM_OVERCOMMIT if inputs.is_new_program else MODEL_OVERCOMMIT
    return max(1, int(state.engine.slots * overcommit))


def _estimate(
    state: EngineState,
    prefix_cache: PrefixCacheIndex,
    inputs: ChoiceInputs,
    pool: PoolStatistics,
    now: float,
) -> EngineChoice:
    if inputs.model is not None:
        choice = _estimate_turn(state, prefix_cache, inputs, inputs.model, now)
        typical_seconds = inputs.model.typical_turn_seconds
    else:
        choice = _estimate_call(state, pool.median_call_seconds)
        typical_seconds = pool.median_call_seconds or AFFINITY_BONUS_SECONDS
    cost = choice.cost
    if state.engine.zone != inputs.zone:
        cost += CROSS_ZONE_PENALTY_SECONDS
    if inputs.affinity_engine_id == state.engine.engine_id:
        cost -= AFFINITY_BONUS_SECONDS
    failure_penalty = (
        FAILURE_PENALTY_TURNS if inputs.is_retryable else NON_RETRYABLE_FAILURE_PENALTY_CALLS
    )
    cost += state.failure_rate(now) * failure_penalty * typical_seconds
    if now < state.suspect_until:
        cost += SUSPECT_PENALTY_TURNS * typical_seconds
    cost += state.rank * RANK_PENALTY_SHARE * typical_seconds
    cost += _connection_cost(state, now)
    if state.expires_at:
        cost += pool.registered_share * UNREGISTERED_PENALTY_TURNS * typical_seconds
    return msgspec.structs.replace(choice, cost=cost)


def _connection_cost(state: EngineState, now: float) -> float:
    if state.has_idle_connection(now):
        return 0.0
    if state.is_preferred:
        return NEW_CONNECTION_PENALTY_SECONDS
    return NEW_CONNECTION_PENALTY_SECONDS + NON_PREFERRED_CONNECTION_PENALTY_SECONDS


def _estimate_turn(
    state: EngineState,
    prefix_cache: PrefixCacheIndex,
    inputs: ChoiceInputs,
    model: EngineLatencyModel,
    now: float,
) -> EngineChoice:
    """Return the turn's own time, what it costs the turns beside it, and the wait for a place."""
    load = state.load
    slots = max(1, state.engine.slots)
    cached_tokens = _cached_tokens(state, prefix_cache, inputs)
    prediction = model.predict(
        state.engine.engine_id,
        uncached_tokens=max(0, inputs.call.prompt_tokens - cached_tokens),
        concurrent_turns=load,
        now=now,
        reported_profile=state.reported_profile,
        reported_slowness=state.reported_slowness,
        hinted_events=_hinted_events(inputs),
    )
    queue_seconds = max(0, load - slots + 1) * prediction.seconds / slots
    return EngineChoice(
        state=state,
        cost=prediction.cost + queue_seconds,
        load=load,
        cached_tokens=cached_tokens,
        predicted_seconds=prediction.seconds + queue_seconds,
    )


def _hinted_events(inputs: ChoiceInputs) -> float | None:
    hinted_tokens, traits = inputs.call.hinted_tokens, inputs.traits
    if hinted_tokens is None or traits is None:
        return None
    return hinted_tokens / max(1, traits.tokens_per_event)


def _estimate_call(state: EngineState, median_call_seconds: float) -> EngineChoice:
    """Return how long the calls under way keep an app, and how slow it is."""
    load = state.load
    slots = max(1, state.engine.slots)
    call_seconds = state.call_seconds or AFFINITY_BONUS_SECONDS
    cost = load / slots * call_seconds
    cost += max(0, load - slots + 1) * call_seconds / slots
    if median_call_seconds and state.call_seconds > median_call_seconds:
        cost += state.call_seconds - median_call_seconds
    return EngineChoice(state=state, cost=cost, load=load, cached_tokens=0)


def _cached_tokens(state: EngineState, prefix_cache: PrefixCacheIndex, inputs: ChoiceInputs) -> int:
    """Return how many leading tokens of the prompt an engine probably has."""
    engine_id = state.engine.engine_id
    tokens = prefix_cache.cached_tokens(engine_id, inputs.call.prompt_parts)
    context = inputs.cached_context
    if context is not None and context.engine_id == engine_id:
        tokens = max(tokens, min(context.tokens, inputs.call.prompt_tokens))
    return tokens


def _median_call_seconds(engines: list[EngineState]) -> float:
    """Return the median pace of a pool; 0 if it is not known."""
    paces = sorted(state.call_seconds for state in engines if state.call_seconds)
    return paces[len(paces) // 2] if paces else 0.0
