"""Cost-based decision on the cached context of a program that pauses or ends.

A hold pays off if the memory it is expected to occupy costs less than the rebuild it is expected to
save. Both costs are proportional to the context's size, which therefore cancels out: a token-second
of a crowded cache is priced at one rebuild per :data:`EVICTION_AGE_SECONDS`. A context that is not
expected to be used within :data:`REUSE_HORIZON_SECONDS` is dropped instead.
"""

from __future__ import annotations

from yokeline.scheduling.interface import (
    CacheAction,
    CacheCause,
    CacheDecision,
    PauseContext,
    PauseKind,
)

CROWDED_CACHE_FRACTION = 0.8
"""A cache is crowded if the active programs need this fraction of it. The same fraction of used
tokens, which include idle contexts, is a condition of dropping a context."""
EVICTION_AGE_SECONDS = 30.0
"""Price of a rebuild, in seconds of holding the context: the time for which the engine's LRU
eviction is assumed to keep an unused token (the characteristic time of an LRU cache, Che, Tung and
Wang 2002)."""
REUSE_HORIZON_SECONDS = 300.0
"""Time ahead for which the probability of reuse is computed before a context is dropped."""
MIN_REUSE_PROBABILITY = 0.02
"""Below this probability of reuse within the horizon, a context in a full cache is dropped."""
HOLD_QUANTILE = 0.9
"""Quantile of the pause that a hold covers."""
HOLD_MARGIN = 1.25
"""Length of a hold relative to that quantile of the pause."""
MIN_HOLD_SECONDS = 0.5
"""Minimum length of a hold, unless the settings allow less."""
MAX_HELD_CACHE_FRACTION = 0.5
"""Fraction of the cache that holds may occupy."""


def cache_decision(pause: PauseContext) -> CacheDecision:
    """Return what to do with the context of a paused or ended program."""
    if pause.kind is PauseKind.END:
        return _decide_ended(pause)
    if not pause.context_tokens:
        return _leave(CacheCause.CHEAP_REBUILD, "no cached context at the engine")
    needed = pause.active_tokens
    if needed < CROWDED_CACHE_FRACTION * pause.cache_tokens and not _is_unlikely_reused(pause):
        reason = f"active programs need {needed} of {pause.cache_tokens} tokens of cache"
        return _leave(CacheCause.ROOM, reason)
    if pause.forecast is None:
        return _leave(CacheCause.UNKNOWN_PAUSE, f"no forecast for {pause.kind.value} {pause.name}")
    return _decide_crowded(pause)


def _decide_ended(pause: PauseContext) -> CacheDecision:
    if pause.run != pause.cache_key:
        return _leave(CacheCause.ENDED, "the parent program is still active")
    return CacheDecision(
        action=CacheAction.DROP, cause=CacheCause.ENDED, reason="the program has ended"
    )


def _is_unlikely_reused(pause: PauseContext) -> bool:
    """Return whether the cache is nearly full and the context is unlikely to be used again.

    Here the tokens in the cache count, whether or not their programs are active.
    """
    if pause.run != pause.cache_key:
        # A drop is by cache key and would remove the parents' context as well.
        return False
    if pause.forecast is None or pause.cache_used < CROWDED_CACHE_FRACTION * pause.cache_tokens:
        return False
    return pause.forecast.probability_within(REUSE_HORIZON_SECONDS) < MIN_REUSE_PROBABILITY


def _decide_crowded(pause: PauseContext) -> CacheDecision:
    assert pause.forecast is not None
    wanted = max(MIN_HOLD_SECONDS, pause.forecast.quantile(HOLD_QUANTILE) * HOLD_MARGIN)
    seconds = min(wanted, pause.hold_max_seconds)
    occupied = pause.forecast.expected_seconds_within(seconds)
    saved = pause.forecast.probability_within(seconds) * EVICTION_AGE_SECONDS
    reason = f"a hold costs {occupied:.1f} s and saves {saved:.1f} s of rebuild"
    if _is_unlikely_reused(pause):
        return CacheDecision(action=CacheAction.DROP, cause=CacheCause.LONG_PAUSE, reason=reason)
    if saved <= occupied:
        return _leave(CacheCause.LONG_PAUSE, reason)
    if pause.held_tokens + pause.context_tokens > MAX_HELD_CACHE_FRACTION * pause.cache_tokens:
        return _leave(CacheCause.CHEAP_REBUILD, "holds already occupy their share of the cache")
    return CacheDecision(
        action=CacheAction.HOLD,
        cause=CacheCause.COSTLY_REBUILD,
        reason=reason,
        hold_seconds=seconds,
    )


def _leave(cause: CacheCause, reason: str) -> CacheDecision:
    return CacheDecision(action=CacheAction.LEAVE, cause=cause, reason=reason)
