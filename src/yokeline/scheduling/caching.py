"""What becomes of the cached context of a program that pauses or ends.

A hold pays if the seconds it is expected to occupy the memory cost less than the rebuild it
is expected to save. Both grow with the size of the context, which therefore cancels out: per
token a rebuild costs ``1 / prefill_rate`` seconds, and a token-second of a crowded cache is
priced at one rebuild per :data:`TURNOVER_SECONDS`, the time for which the engine's own
eviction would keep an unused token (the characteristic time of an LRU cache, Che, Tung and
Wang 2002).
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
"""Share of the cache from which the need of the active programs threatens paused ones. What
is merely used tells nothing: an engine keeps idle context until it needs the room."""
EVICTION_AGE_SECONDS = 30.0
REUSE_HORIZON_SECONDS = 300.0
"""Time after which a crowded cache has evicted an unused context by itself."""
MIN_REUSE_PROBABILITY = 0.02
"""Chance of being used within that time below which a context only takes others' room."""
HOLD_QUANTILE = 0.9
"""A hold covers the pause with this probability."""
HOLD_MARGIN = 1.25
MIN_HOLD_SECONDS = 0.5
MAX_HELD_CACHE_FRACTION = 0.5
"""Share of the cache that holds may take."""


def cache_decision(pause: PauseContext) -> CacheDecision:
    """Return what becomes of the context; see the module's docstring."""
    if pause.kind is PauseKind.END:
        return _decide_ended(pause)
    if not pause.context_tokens:
        return _leave(CacheCause.CHEAP_REBUILD, "no context there")
    needed = pause.active_tokens
    if needed < CROWDED_CACHE_FRACTION * pause.cache_tokens and not _is_unlikely_reused(pause):
        reason = f"active programs need {needed} of {pause.cache_tokens} tokens of cache"
        return _leave(CacheCause.ROOM, reason)
    if pause.forecast is None:
        return _leave(CacheCause.UNKNOWN_PAUSE, f"no forecast for {pause.kind.value} {pause.name}")
    return _decide_crowded(pause)


def _decide_ended(pause: PauseContext) -> CacheDecision:
    if pause.run != pause.cache_key:
        return _leave(CacheCause.ENDED, "the program that it is a child of goes on")
    return CacheDecision(
        action=CacheAction.DROP, cause=CacheCause.ENDED, reason="the program has ended"
    )


def _is_unlikely_reused(pause: PauseContext) -> bool:
    """Return whether the engine would evict the context before it is used, at a full cache."""
    if pause.run != pause.cache_key:
        # A drop is by the cache key and would take the parents' context as well.
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
    reason = f"{occupied:.1f} s of memory for {saved:.1f} s worth of rebuild"
    if _is_unlikely_reused(pause):
        return CacheDecision(action=CacheAction.DROP, cause=CacheCause.LONG_PAUSE, reason=reason)
    if saved <= occupied:
        return _leave(CacheCause.LONG_PAUSE, reason)
    if pause.held_tokens + pause.context_tokens > MAX_HELD_CACHE_FRACTION * pause.cache_tokens:
        return _leave(CacheCause.CHEAP_REBUILD, "holds take their share of the cache already")
    return CacheDecision(
        action=CacheAction.HOLD,
        cause=CacheCause.COSTLY_REBUILD,
        reason=reason,
        hold_seconds=seconds,
    )


def _leave(cause: CacheCause, reason: str) -> CacheDecision:
    return CacheDecision(action=CacheAction.LEAVE, cause=cause, reason=reason)
