"""Tracks calls, cached contexts and pauses, and builds the views that policies decide on.

Load reports lag, so the tracker combines them with the calls that this node sent and saw end. A
run's context is known from the run's own log (its last model call) and from the calls that ended on
this node, so the next leader of a run's shard needs no transfer of this state.
"""

from __future__ import annotations

import msgspec

from yokeline.effects import Address
from yokeline.identifiers import RunId
from yokeline.scheduling.cache_types import (
    CacheAction,
    CacheDecision,
    PauseContext,
    PauseKind,
    ProgramPause,
)
from yokeline.scheduling.completion_lengths import CompletionLengths
from yokeline.scheduling.forecast import PauseForecast
from yokeline.scheduling.interface import CallDemand, EngineView
from yokeline.scheduling.pauses import PausePredictor
from yokeline.scheduling.tracked_engine import LoadState, SentCall, TrackedEngine

DEFAULT_PAUSE_SECONDS = 10.0
"""Time for which a paused program stays active without a forecast of its pause."""
ACTIVE_PAUSE_QUANTILE = 0.9
"""Quantile of its predicted pause for which a program stays active without a call."""
MAX_ACTIVE_PAUSE_SECONDS = 60.0
"""Limit on that time."""
MAX_PROGRAMS = 20_000
"""Programs whose contexts are kept in memory; others are read from their runs' logs."""


class EngineConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Configured values of an engine, and whether it takes new calls."""

    name: str
    address: Address
    pool: str
    labels: dict[str, str]
    slots: int
    cache_tokens: int
    usable: bool = True


class CallEnd(msgspec.Struct, frozen=True, kw_only=True):
    """How a call ended.

    Attributes:
        prompt_tokens: Tokens of the prompt, without the answer.
        cached_tokens: Prompt tokens that the engine had in its cache.
        completion_tokens: Actual tokens of the answer.
    """

    ok: bool
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0


class EngineStateTracker:
    """State of all engines, as one node knows them.

    Attributes:
        pauses: Predictor of pauses.
        completion_lengths: Predictor of completion lengths.
    """

    def __init__(self) -> None:
        """Create a tracker of no engines."""
        self.pauses = PausePredictor()
        self.completion_lengths = CompletionLengths()
        self._engines: dict[str, TrackedEngine] = {}
        self._sent: dict[str, SentCall] = {}
        self._contexts: dict[RunId, dict[str, dict[RunId, int]]] = {}

    def engine(self, engine: str) -> TrackedEngine:
        """Return the tracked state of an engine, created at its first use."""
        tracked = self._engines.get(engine)
        if tracked is None:
            tracked = self._engines[engine] = TrackedEngine()
        return tracked

    def forget_engine(self, engine: str) -> None:
        """Remove an engine; its tracked state is kept while it has calls in progress."""
        if not self.engine(engine).calls:
            del self._engines[engine]
        for contexts in self._contexts.values():
            contexts.pop(engine, None)

    def report_received(self, engine: str, report: LoadState, taken_at: float) -> None:
        """Store a load report that shows the state at ``taken_at``."""
        self.engine(engine).report_received(report, taken_at)

    def view(self, config: EngineConfig, demand: CallDemand, now: float) -> EngineView:
        """Return an engine's state as the policy sees it for one call."""
        tracked = self.engine(config.name)
        tracked.expire_pauses(now)
        report = tracked.report or LoadState()
        return EngineView(
            name=config.name,
            address=config.address,
            pool=config.pool,
            labels=config.labels,
            slots=config.slots,
            running=tracked.load,
            waiting=report.waiting,
            cached_tokens=self._cached_tokens(config.name, demand),
            cache_tokens=report.cache_tokens or config.cache_tokens,
            cache_used=report.cache_tokens_used,
            prefill_rate=tracked.speed.prefill_rate,
            decode_seconds=tracked.speed.decode_seconds,
            pending_prefill=tracked.pending_prefill,
            active_programs=tracked.active_programs,
            active_tokens=tracked.active_tokens,
            program_is_active=tracked.is_active(demand.cache_key),
            usable=config.usable,
        )

    def _cached_tokens(self, engine: str, demand: CallDemand) -> int:
        known = self._contexts.get(demand.cache_key, {}).get(engine, {}).get(demand.run)
        if known is None:
            return demand.previous_tokens if engine == demand.previous_engine else 0
        return known

    def with_expected_completion(self, demand: CallDemand) -> CallDemand:
        """Fill in the expected completion length, unless the demand has one."""
        expected = self.completion_lengths.expected(demand.program)
        if demand.expected_completion_tokens or expected is None:
            return demand
        expected = min(expected, demand.completion_tokens)
        return msgspec.structs.replace(demand, expected_completion_tokens=expected)

    def call_sent(self, engine: str, demand: CallDemand, call_id: str, now: float) -> None:
        """Record a call that was sent to an engine, replacing an earlier one of the same id."""
        self.call_ended(call_id, CallEnd(ok=False), now)
        tracked = self.engine(engine)
        uncached = max(0, demand.prompt_tokens - self._cached_tokens(engine, demand))
        call = SentCall(
            engine=engine,
            demand=demand,
            sent_at=now,
            uncached_tokens=uncached,
            is_sole_prefill=not tracked.pending_prefill,
        )
        self._sent[call_id] = call
        tracked.call_sent(call, now)

    def text_received(self, call_id: str, now: float) -> None:
        """Record text of a call; only the first one matters."""
        call = self._sent.get(call_id)
        if call is not None and call.first_text_at is None:
            self.engine(call.engine).prefill_ended(call, now)

    def call_ended(self, call_id: str, end: CallEnd, now: float) -> None:
        """Record the end of a call; on success its context is in the engine's cache."""
        call = self._sent.pop(call_id, None)
        if call is None:
            return
        tracked = self.engine(call.engine)
        context = end.prompt_tokens + end.completion_tokens
        if end.ok:
            self._observe_call(tracked, call, end, now)
            self._record_context(call, context)
        else:
            contexts = self._contexts.get(call.demand.cache_key, {}).get(call.engine, {})
            contexts.pop(call.demand.run, None)
        tracked.call_ended(call, context, now)

    def _observe_call(
        self, tracked: TrackedEngine, call: SentCall, end: CallEnd, now: float
    ) -> None:
        self.completion_lengths.observe(call.demand.program, end.completion_tokens)
        if call.first_text_at is None:
            return
        if call.is_sole_prefill:
            computed = end.prompt_tokens - end.cached_tokens
            tracked.speed.observe_prefill(computed, call.first_text_at - call.sent_at)
        tracked.speed.observe_decode(end.completion_tokens, now - call.first_text_at)

    def _record_context(self, call: SentCall, tokens: int) -> None:
        # Moved to the end, so that the first program is the least recently used.
        engines = self._contexts.pop(call.demand.cache_key, {})
        self._contexts[call.demand.cache_key] = engines
        engines.setdefault(call.engine, {})[call.demand.run] = tokens
        if len(self._contexts) > MAX_PROGRAMS:
            del self._contexts[next(iter(self._contexts))]

    def pause_context(
        self,
        pause: ProgramPause,
        config: EngineConfig,
        *,
        hold_max_seconds: float,
        now: float,
        forecast: PauseForecast | None = None,
    ) -> PauseContext:
        """Return the inputs of a cache decision; ``forecast`` defaults to the learned one."""
        tracked = self.engine(pause.engine)
        tracked.expire_pauses(now)
        report = tracked.report or LoadState()
        return PauseContext(
            run=pause.run,
            cache_key=pause.cache_key,
            tenant=pause.tenant,
            kind=pause.kind,
            name=pause.name,
            engine=pause.engine,
            context_tokens=pause.context_tokens,
            forecast=forecast or self.pauses.forecast(pause.kind, pause.name),
            prefill_rate=tracked.speed.prefill_rate,
            cache_tokens=report.cache_tokens or config.cache_tokens,
            cache_used=report.cache_tokens_used,
            active_tokens=tracked.active_tokens,
            held_tokens=tracked.held_tokens(now),
            hold_max_seconds=hold_max_seconds,
            priority=pause.priority,
            worth=pause.worth,
        )

    def pause_started(self, context: PauseContext, decision: CacheDecision, now: float) -> None:
        """Record a pause and the decision on its context."""
        tracked = self.engine(context.engine)
        if decision.action is CacheAction.HOLD:
            until = now + decision.hold_seconds
            tracked.hold_made(context.cache_key, context.context_tokens, until)
        if decision.action is CacheAction.DROP:
            self.context_removed(context.engine, context.cache_key)
        elif context.kind in (PauseKind.TOOL, PauseKind.CHILD):
            until = now + active_pause_seconds(context.forecast)
            tokens = context.context_tokens
            tracked.run_paused(context.cache_key, context.run, tokens, until)
        elif context.kind is PauseKind.END:
            tracked.remove_run_context(context.cache_key, context.run)
        else:
            tracked.deactivate_program(context.cache_key)

    def context_removed(self, engine: str, cache_key: RunId) -> None:
        """Record that an engine no longer caches a program's context."""
        tracked = self.engine(engine)
        tracked.hold_ended(cache_key)
        tracked.deactivate_program(cache_key)
        contexts = self._contexts.get(cache_key, {}).get(engine, {})
        for run in contexts:
            # Kept as 0, since a missing entry falls back to the run's last logged call.
            contexts[run] = 0

    def idle_contexts_at(self, engine: str) -> tuple[RunId, ...]:
        """Return the inactive programs whose context is expected in an engine's cache."""
        tracked = self.engine(engine)
        return tuple(
            cache_key
            for cache_key, engines in self._contexts.items()
            if engine in engines and not tracked.is_active(cache_key)
        )

    def engines_with_context(self, cache_key: RunId) -> tuple[str, ...]:
        """Return the engines that may cache a program's context, by name."""
        return tuple(sorted(self._contexts.get(cache_key, {})))

    def program_ended(self, cache_key: RunId) -> tuple[str, ...]:
        """Forget a program; return the engines that may still cache its context."""
        engines = self.engines_with_context(cache_key)
        for engine in engines:
            tracked = self.engine(engine)
            tracked.hold_ended(cache_key)
            tracked.deactivate_program(cache_key)
        self._contexts.pop(cache_key, None)
        return engines


def active_pause_seconds(forecast: PauseForecast | None) -> float:
    """Return for how long a paused program stays active."""
    if forecast is None:
        return DEFAULT_PAUSE_SECONDS
    return min(MAX_ACTIVE_PAUSE_SECONDS, forecast.quantile(ACTIVE_PAUSE_QUANTILE))
