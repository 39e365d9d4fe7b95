"""The default policy: cache affinity, least attained service, admission limits and holds."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from yokeline.scheduling import caching
from yokeline.scheduling.baselines import LEAVE_TO_ENGINE, NO_ENGINE
from yokeline.scheduling.estimate import finish_seconds, memory_tokens
from yokeline.scheduling.interface import (
    CacheDecision,
    CallDemand,
    ChoiceCause,
    EngineChoice,
    EngineView,
    PauseContext,
    PauseKind,
    WaitCause,
    WaitForEngine,
)
from yokeline.scheduling.ordering import OrderRules, aged_priority, order_key

MAX_ACTIVE_CACHE_RATIO = 1.2
"""Bound on the active programs' context tokens, relative to the size of an engine's cache. It
exceeds 1 because a paused program stays active for a high quantile of its pause."""

ADMISSION_TIMEOUT_SECONDS = 120.0
"""Wait after which a call is no longer kept back by the memory limit or for the engine that holds
its context."""


class Mechanisms(msgspec.Struct, frozen=True, kw_only=True):
    """Parts of the policy that can be disabled, to measure the effect of each.

    Attributes:
        affinity: Cached context counts in the choice of engine.
        queue: Calls beyond an engine's slots wait at the node, where they can be reordered.
        admission: New programs wait while their context does not fit beside the active ones.
        wait_for_context: A call may wait for the engine that holds its context.
        service: Least attained service first.
        deadlines: Programs past their deadline are served last within their priority.
        ageing: Priority rises with waiting time.
        drop: The context of ended programs is dropped.
        holds: Contexts are held during pauses.
    """

    affinity: bool = True
    queue: bool = True
    admission: bool = True
    wait_for_context: bool = True
    service: bool = True
    deadlines: bool = True
    ageing: bool = True
    drop: bool = True
    holds: bool = True


class AffinityPolicy:
    """Chooses the earliest estimated finish; orders calls by least attained service."""

    name = "affinity"

    def __init__(
        self, mechanisms: Mechanisms | None = None, *, aging_seconds: float = 10.0
    ) -> None:
        """Create the policy; without ``mechanisms`` all of them are enabled."""
        self._mechanisms = mechanisms or Mechanisms()
        self._rules = OrderRules(
            aging_seconds=aging_seconds,
            by_service=self._mechanisms.service,
            by_deadline=self._mechanisms.deadlines,
            by_aging=self._mechanisms.ageing,
        )

    def choose(
        self, demand: CallDemand, engines: Sequence[EngineView], now: float
    ) -> EngineChoice | WaitForEngine:
        """Return the engine with the least estimated finish among those that admit the call."""
        usable = [self._policy_view(engine) for engine in engines if engine.usable]
        if not usable:
            return NO_ENGINE
        limits_apply = now - demand.waiting_since < ADMISSION_TIMEOUT_SECONDS
        free = [engine for engine in usable if self._has_slot(engine)]
        admitting = [engine for engine in free if not limits_apply or self._admits(demand, engine)]
        if not admitting:
            return _wait_decision(usable, free)
        best = _earliest_finish(demand, admitting)
        holder = self._earlier_full_holder(demand, usable, best) if limits_apply else None
        if holder is not None:
            return WaitForEngine(
                cause=WaitCause.CONTEXT_ELSEWHERE,
                reason=f"{holder.name} holds {holder.cached_tokens} tokens and would finish sooner",
            )
        return _choice(demand, best, len(usable))

    def _policy_view(self, engine: EngineView) -> EngineView:
        if self._mechanisms.affinity:
            return engine
        return msgspec.structs.replace(engine, cached_tokens=0)

    def _has_slot(self, engine: EngineView) -> bool:
        return not self._mechanisms.queue or engine.running < engine.slots

    def _admits(self, demand: CallDemand, engine: EngineView) -> bool:
        """Return whether the call's program may become active at an engine, or already is."""
        if not self._mechanisms.admission or engine.program_is_active or not engine.active_programs:
            return True
        needed = engine.active_tokens + memory_tokens(demand)
        return needed <= MAX_ACTIVE_CACHE_RATIO * engine.cache_tokens

    def _earlier_full_holder(
        self, demand: CallDemand, engines: list[EngineView], best: EngineView
    ) -> EngineView | None:
        """Return a full engine that holds context and would finish earlier than ``best``."""
        if not self._mechanisms.wait_for_context:
            return None
        holders = [engine for engine in engines if engine.cached_tokens]
        if not holders:
            return None
        holder = _earliest_finish(demand, holders)
        sooner = finish_seconds(demand, holder) < finish_seconds(demand, best)
        return holder if sooner and not self._has_slot(holder) else None

    def order(self, waiting: Sequence[CallDemand], now: float) -> tuple[int, ...]:
        """Return the calls by priority, lateness, service of their program, and arrival."""
        keys = [order_key(demand, index, now, self._rules) for index, demand in enumerate(waiting)]
        return tuple(key[-1] for key in sorted(keys))

    def engine_priority(self, demand: CallDemand, now: float) -> int:
        """Return the aged priority."""
        return aged_priority(demand, now, self._rules)

    def cache_decision(self, pause: PauseContext) -> CacheDecision:
        """Return what to do with a context; see :mod:`yokeline.scheduling.caching`."""
        enabled = self._mechanisms.drop if pause.kind is PauseKind.END else self._mechanisms.holds
        return caching.cache_decision(pause) if enabled else LEAVE_TO_ENGINE


def _earliest_finish(demand: CallDemand, engines: list[EngineView]) -> EngineView:
    return min(engines, key=lambda engine: (finish_seconds(demand, engine), engine.name))


def _choice(demand: CallDemand, best: EngineView, count: int) -> EngineChoice:
    seconds = finish_seconds(demand, best)
    cached = min(best.cached_tokens, demand.prompt_tokens)
    reason = (
        f"least estimated finish {seconds:.2f} s of {count}; "
        f"{cached} of {demand.prompt_tokens} tokens cached"
    )
    return EngineChoice(
        engine=best.name,
        address=best.address,
        reason=reason,
        expected_seconds=seconds,
        cause=ChoiceCause.CACHED_CONTEXT if cached else ChoiceCause.LEAST_FINISH,
    )


def _wait_decision(usable: list[EngineView], free: list[EngineView]) -> WaitForEngine:
    if not free:
        reason = f"all {len(usable)} allowed engines are full"
        return WaitForEngine(cause=WaitCause.SLOTS, reason=reason)
    reason = f"the context does not fit beside the active programs of {len(free)} engines"
    return WaitForEngine(cause=WaitCause.MEMORY, reason=reason)
