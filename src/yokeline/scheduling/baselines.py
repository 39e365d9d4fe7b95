"""Baseline policies that ignore which program a call belongs to.

They serve calls in the order of arrival, limit nothing and leave the cache to the engine's own LRU
eviction.
"""

from __future__ import annotations

from collections.abc import Sequence

from yokeline.scheduling.interface import (
    CacheAction,
    CacheCause,
    CacheDecision,
    CallDemand,
    EngineChoice,
    EngineView,
    PauseContext,
    WaitCause,
    WaitForEngine,
)

NO_ENGINE = WaitForEngine(cause=WaitCause.NO_ENGINE, reason="no allowed engine is usable")

LEAVE_TO_ENGINE = CacheDecision(
    action=CacheAction.LEAVE, cause=CacheCause.BASELINE, reason="left to the engine"
)


class FcfsBaseline:
    """Common behaviour of the baselines; they differ in the choice of engine."""

    name = ""

    def choose(
        self, demand: CallDemand, engines: Sequence[EngineView], now: float
    ) -> EngineChoice | WaitForEngine:
        """Return an engine regardless of its load; wait only if none is usable."""
        usable = [engine for engine in engines if engine.usable]
        if not usable:
            return NO_ENGINE
        return self._choose(demand, usable)

    def _choose(self, demand: CallDemand, engines: list[EngineView]) -> EngineChoice:
        raise NotImplementedError

    def order(self, waiting: Sequence[CallDemand], now: float) -> tuple[int, ...]:
        """Return the calls in the order of their arrival."""
        keys = [(demand.waiting_since, demand.run, index) for index, demand in enumerate(waiting)]
        return tuple(index for _since, _run, index in sorted(keys))

    def engine_priority(self, demand: CallDemand, now: float) -> int:
        """Return the priority that the operator set."""
        return demand.priority

    def cache_decision(self, pause: PauseContext) -> CacheDecision:
        """Leave the context to the engine's own eviction."""
        return LEAVE_TO_ENGINE


class RoundRobinPolicy(FcfsBaseline):
    """Baseline: engines in rotation."""

    name = "round_robin"

    def __init__(self) -> None:
        """Start at the first engine."""
        self._next = 0

    def _choose(self, demand: CallDemand, engines: list[EngineView]) -> EngineChoice:
        ordered = sorted(engines, key=lambda engine: engine.name)
        best = ordered[self._next % len(ordered)]
        self._next += 1
        return EngineChoice(engine=best.name, address=best.address, reason="next in turn")


class LeastLoadedPolicy(FcfsBaseline):
    """Baseline: the engine with the fewest calls."""

    name = "least_loaded"

    def _choose(self, demand: CallDemand, engines: list[EngineView]) -> EngineChoice:
        best = min(engines, key=lambda engine: (engine.running, engine.name))
        reason = f"fewest calls: {best.running}"
        return EngineChoice(engine=best.name, address=best.address, reason=reason)


class PrefixFcfsPolicy(FcfsBaseline):
    """Baseline: the engine with the longest cached prefix, regardless of its load.

    Without a cached prefix, the engine with the fewest calls.
    """

    name = "prefix_fcfs"

    def _choose(self, demand: CallDemand, engines: list[EngineView]) -> EngineChoice:
        best = min(
            engines,
            key=lambda engine: (
                -min(engine.cached_tokens, demand.prompt_tokens),
                engine.running,
                engine.name,
            ),
        )
        reason = f"longest cached prefix: {best.cached_tokens} tokens"
        return EngineChoice(engine=best.name, address=best.address, reason=reason)
