"""Which engine serves a request: the least estimated cost among those with room."""

from __future__ import annotations

import msgspec

from yokeline.forwarding.engines import EngineState
from yokeline.forwarding.model import Call, ModelTraits
from yokeline.forwarding.prefixes import PrefixBeliefs
from yokeline.ledger.messages import CachedContext

READ_TOKENS_PER_SECOND = 270_000.0
"""Pace at which an engine reads a prompt that it has not cached."""
READING_DELAY_SHARE = 1.0
"""Share of the reading time that each request running at the engine is charged for: while a
prompt is read, the others' tokens wait."""
SHARED_STEP_SECONDS = 0.008
"""Time that each other running request adds to a turn (its step, and its context)."""
FULL_TURN_SECONDS = 0.35
"""Time until a place comes free at an engine whose places are all taken, times its places."""
OTHER_ZONE_SECONDS = 0.016
"""Cost of another zone: the way there and back, and the prompt's bytes between zones."""
SUSPECT_SECONDS = 0.5
"""Cost of an engine that failed a moment ago."""
FAULT_SECONDS = 0.4
"""Cost of an engine at which all requests fail; a lesser share costs that share of it."""
MODEL_HEADROOM = 1.4
APP_HEADROOM = 2.0
"""Most requests at an engine, as a multiple of its slots; the rest waits at the nodes."""
NEW_PROGRAM_HEADROOM = 0.85
"""The same for first turns: the more requests run, the slower each, and a program that begins
where all are slow ends late and makes the others late."""
AFFINITY_SECONDS = 0.02
"""Gain of the engine that saw a request's subject last."""


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """The engine chosen, and what decided it.

    Attributes:
        cost: Estimated seconds.
        load: Requests it had under way.
        cached: Prompt tokens that it probably has.
    """

    state: EngineState
    cost: float
    load: int
    cached: int


class ChoiceInputs(msgspec.Struct, frozen=True, kw_only=True):
    """What a choice depends on beside the engines.

    Attributes:
        traits: Of model engines; None for apps.
        zone: Of this node.
        excluded: Engines that have had this request.
        affine: The engine that saw the subject last; empty for none.
        context: Where the call's line of turns was last read, as the ledger knows.
        is_new_program: It is the first turn of a program.
    """

    call: Call
    traits: ModelTraits | None
    zone: str
    excluded: frozenset[str] = frozenset()
    affine: str = ""
    context: CachedContext | None = None
    is_new_program: bool = False


def choose(
    engines: list[EngineState], beliefs: PrefixBeliefs, inputs: ChoiceInputs, now: float
) -> Choice | None:
    """Return the best engine with room; None if there is none."""
    best: Choice | None = None
    usual_pace = _usual_pace(engines)
    for state in engines:
        if state.engine.engine_id in inputs.excluded or now < state.full_until:
            continue
        if state.load >= room(state, inputs):
            continue
        choice = _estimate(state, beliefs, inputs, usual_pace, now)
        if best is None or choice.cost < best.cost:
            best = choice
    return best


def room(state: EngineState, inputs: ChoiceInputs) -> int:
    """Return how many requests an engine may have under way for this one to be added."""
    headroom = APP_HEADROOM
    if inputs.traits is not None:
        headroom = NEW_PROGRAM_HEADROOM if inputs.is_new_program else MODEL_HEADROOM
    return max(1, int(state.engine.slots * headroom))


def _estimate(
    state: EngineState,
    beliefs: PrefixBeliefs,
    inputs: ChoiceInputs,
    usual_pace: float,
    now: float,
) -> Choice:
    call = inputs.call
    load = state.load
    slots = max(1, state.engine.slots)
    cached = 0
    cost = 0.0
    if inputs.traits is not None:
        cached = _cached_tokens(state, beliefs, inputs)
        reading = max(0, call.prompt_tokens - cached) / READ_TOKENS_PER_SECOND
        cost += reading * (1 + READING_DELAY_SHARE * load)
        cost += load * SHARED_STEP_SECONDS
    else:
        cost += load / slots * (state.pace or AFFINITY_SECONDS)
    if load >= slots:
        cost += (load - slots + 1) * FULL_TURN_SECONDS / slots
    if usual_pace and state.pace > usual_pace:
        cost += state.pace - usual_pace if inputs.traits is None else 10 * (state.pace - usual_pace)
    if state.engine.zone != inputs.zone:
        cost += OTHER_ZONE_SECONDS
    if inputs.affine == state.engine.engine_id:
        cost -= AFFINITY_SECONDS
    cost += state.faults(now) * FAULT_SECONDS
    if now < state.suspect_until:
        cost += SUSPECT_SECONDS
    return Choice(state=state, cost=cost, load=load, cached=cached)


def _cached_tokens(state: EngineState, beliefs: PrefixBeliefs, inputs: ChoiceInputs) -> int:
    """Return how many leading tokens of the prompt an engine probably has."""
    engine_id = state.engine.engine_id
    cached = beliefs.cached_tokens(engine_id, inputs.call.parts)
    context = inputs.context
    if context is not None and context.engine_id == engine_id:
        cached = max(cached, min(context.tokens, inputs.call.prompt_tokens))
    return cached


def _usual_pace(engines: list[EngineState]) -> float:
    """Return the median pace of a pool; 0 if it is not known."""
    paces = sorted(state.pace for state in engines if state.pace)
    return paces[len(paces) // 2] if paces else 0.0
