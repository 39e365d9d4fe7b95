"""Estimates of what a call costs at an engine: seconds, and tokens of cache."""

from __future__ import annotations

from yokeline.scheduling.interface import CallDemand, EngineView

DEFAULT_COMPLETION_FRACTION = 0.25
"""Assumed completion length, as a fraction of the limit, for programs without observations."""

FULL_BATCH_SLOWDOWN = 1.0
"""Additional decode time in a full batch, relative to the decode time of a call that runs alone."""

EVICTION_WEIGHT = 0.5
"""Weight of the prefill cost of evicted tokens; not all of them would have been used again."""

STALL_WEIGHT = 1.0
"""Weight of the delay that a prefill causes each call that decodes at the same engine."""


def expected_completion_tokens(demand: CallDemand) -> float:
    """Return the expected completion tokens of a call."""
    if demand.expected_completion_tokens:
        return float(demand.expected_completion_tokens)
    return demand.completion_tokens * DEFAULT_COMPLETION_FRACTION


def memory_tokens(demand: CallDemand) -> float:
    """Return the tokens of cache that a call is expected to need."""
    return demand.prompt_tokens + expected_completion_tokens(demand)


def uncached_tokens(demand: CallDemand, engine: EngineView) -> int:
    """Return the prompt tokens that the engine would have to prefill."""
    return max(0, demand.prompt_tokens - engine.cached_tokens)


def decode_seconds(demand: CallDemand, engine: EngineView) -> float:
    """Return the expected seconds to decode the whole answer at the engine's current batch size.

    ``EngineView.decode_seconds`` is the time per token without interference by other calls.
    """
    batch_factor = 1.0 + FULL_BATCH_SLOWDOWN * min(1.0, engine.running / engine.slots)
    return expected_completion_tokens(demand) * engine.decode_seconds * batch_factor


def queue_seconds(demand: CallDemand, engine: EngineView) -> float:
    """Return the expected seconds until one of the engine's slots is free."""
    excess = max(0, engine.running + 1 - engine.slots)
    return excess / engine.slots * decode_seconds(demand, engine)


def eviction_seconds(demand: CallDemand, engine: EngineView) -> float:
    """Return the weighted seconds of prefill that other programs would have to repeat."""
    added_tokens = uncached_tokens(demand, engine) + expected_completion_tokens(demand)
    evicted = max(0.0, engine.active_tokens + added_tokens - engine.cache_tokens)
    return EVICTION_WEIGHT * evicted / engine.prefill_rate


def finish_seconds(demand: CallDemand, engine: EngineView) -> float:
    """Return the expected seconds until the answer is complete, plus the cost to other calls.

    The sum of queueing, pending prefill, prefill of the uncached tokens, decoding, stalled decodes
    of other calls, and the weighted cost of rebuilding evicted contexts.
    """
    uncached_seconds = uncached_tokens(demand, engine) / engine.prefill_rate
    prefill = engine.pending_prefill / engine.prefill_rate + uncached_seconds
    cost_to_others = STALL_WEIGHT * uncached_seconds * engine.running + eviction_seconds(
        demand, engine
    )
    queueing = queue_seconds(demand, engine)
    return queueing + prefill + decode_seconds(demand, engine) + cost_to_others
