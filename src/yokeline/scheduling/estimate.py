"""Estimates of what a call costs at an engine, in seconds and in tokens of memory."""

from __future__ import annotations

from yokeline.scheduling.interface import CallDemand, EngineView

DEFAULT_COMPLETION_FRACTION = 0.25
"""Share of ``completion_tokens`` that an answer is taken to use while nothing is known."""

FULL_BATCH_SLOWDOWN = 1.0
"""How much a full batch slows decoding, relative to a call that runs alone."""

EVICTION_WEIGHT = 0.5
"""Share of the prefill cost of evicted tokens that counts against an engine: some of what is
evicted would never have been used again."""


STALL_WEIGHT = 1.0
"""A prefill stalls every call that decodes beside it: how much their delay counts."""


def expected_completion_tokens(demand: CallDemand) -> float:
    """Return the expected tokens of the call's answer."""
    if demand.expected_completion_tokens:
        return float(demand.expected_completion_tokens)
    return demand.completion_tokens * DEFAULT_COMPLETION_FRACTION


def memory_tokens(demand: CallDemand) -> float:
    """Return the tokens of cache that the call is expected to need."""
    return demand.prompt_tokens + expected_completion_tokens(demand)


def uncached_tokens(demand: CallDemand, engine: EngineView) -> int:
    """Return the tokens of the call's context that the engine would have to prefill."""
    return max(0, demand.prompt_tokens - engine.cached_tokens)


def decode_seconds(demand: CallDemand, engine: EngineView) -> float:
    """Return the expected seconds of decoding, in a batch as full as it is now."""
    batch_factor = 1.0 + FULL_BATCH_SLOWDOWN * min(1.0, engine.running / engine.slots)
    return expected_completion_tokens(demand) * engine.decode_seconds * batch_factor


def queue_seconds(demand: CallDemand, engine: EngineView) -> float:
    """Return the expected seconds until one of the engine's slots is free."""
    excess = max(0, engine.running + 1 - engine.slots)
    return excess / engine.slots * decode_seconds(demand, engine)


def eviction_seconds(demand: CallDemand, engine: EngineView) -> float:
    """Return the expected seconds of prefill that others will have to repeat."""
    added_tokens = uncached_tokens(demand, engine) + expected_completion_tokens(demand)
    evicted = max(0.0, engine.active_tokens + added_tokens - engine.cache_tokens)
    return EVICTION_WEIGHT * evicted / engine.prefill_rate


def finish_seconds(demand: CallDemand, engine: EngineView) -> float:
    """Return the expected seconds until the answer is complete, with the harm to others.

    Queue wait, prefill of the missing tokens behind the prefill already sent, decoding, and
    a share of the cost of rebuilding what would be evicted.
    """
    uncached_seconds = uncached_tokens(demand, engine) / engine.prefill_rate
    prefill = engine.pending_prefill / engine.prefill_rate + uncached_seconds
    cost_to_others = STALL_WEIGHT * uncached_seconds * engine.running + eviction_seconds(
        demand, engine
    )
    queueing = queue_seconds(demand, engine)
    return queueing + prefill + decode_seconds(demand, engine) + cost_to_others
