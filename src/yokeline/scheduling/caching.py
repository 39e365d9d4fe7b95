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

CROWDED_SHARE = 0.8
"""Share of the cache in use from which eviction threatens what is idle."""
TURNOVER_SECONDS = 30.0
HOLD_QUANTILE = 0.9
"""A hold covers the pause with this probability."""
HOLD_MARGIN = 1.25
MIN_HOLD_SECONDS = 0.5
HOLD_SHARE = 0.5
"""Share of the cache that holds may take."""


def cache_decision(pause: PauseContext) -> CacheDecision:
    """Return what becomes of the context; see the module's docstring."""
    if pause.kind is PauseKind.END:
        return _ended(pause)
    if not pause.context_tokens:
        return _leave(CacheCause.CHEAP_REBUILD, "no context there")
    used = max(pause.active_tokens, pause.cache_used)
    if used < CROWDED_SHARE * pause.cache_tokens:
        return _leave(CacheCause.ROOM, f"{used} of {pause.cache_tokens} tokens of cache in use")
    if pause.forecast is None:
        return _leave(CacheCause.UNKNOWN_PAUSE, f"no forecast for {pause.kind.value} {pause.name}")
    return _crowded(pause)


def _ended(pause: PauseContext) -> CacheDecision:
    if pause.run != pause.cache_key:
        return _leave(CacheCause.ENDED, "the program that it is a child of goes on")
    return CacheDecision(
        action=CacheAction.DROP, cause=CacheCause.ENDED, reason="the program has ended"
    )


def _crowded(pause: PauseContext) -> CacheDecision:
    assert pause.forecast is not None
    wanted = max(MIN_HOLD_SECONDS, pause.forecast.quantile(HOLD_QUANTILE) * HOLD_MARGIN)
    seconds = min(wanted, pause.hold_max_seconds)
    occupied = pause.forecast.expected_within(seconds)
    saved = pause.forecast.share_within(seconds) * TURNOVER_SECONDS
    figures = f"{occupied:.1f} s of memory for {saved:.1f} s worth of rebuild"
    if saved <= occupied:
        return _leave(CacheCause.LONG_PAUSE, figures)
    if pause.held_tokens + pause.context_tokens > HOLD_SHARE * pause.cache_tokens:
        return _leave(CacheCause.CHEAP_REBUILD, "holds take their share of the cache already")
    return CacheDecision(
        action=CacheAction.HOLD,
        cause=CacheCause.COSTLY_REBUILD,
        reason=figures,
        hold_seconds=seconds,
    )


def _leave(cause: CacheCause, reason: str) -> CacheDecision:
    return CacheDecision(action=CacheAction.LEAVE, cause=cause, reason=reason)
