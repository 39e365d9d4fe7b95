"""Chooses engines and plans cache actions from this node's view of all engines."""

from __future__ import annotations

import functools
from collections.abc import Callable, Sequence

import msgspec
from returns.result import Failure, Result, Success

from yokeline.backends.engine import LOAD_PATH
from yokeline.effects import Address, HttpRequest, HttpResponse
from yokeline.errors import ErrorKind, YokelineError
from yokeline.identifiers import RunId
from yokeline.labels.objects import EnginePool
from yokeline.scheduling.cache_reconciler import (
    CacheReconciler,
    PresenceHandler,
    RunLookup,
    RunPresence,
    presence_unknown,
    reconciles_nothing,
)
from yokeline.scheduling.engine_catalog import EngineCatalog, EngineRecord, LoadReport, MachineEntry
from yokeline.scheduling.engine_state_tracker import CallEnd, EngineStateTracker
from yokeline.scheduling.interface import (
    CacheAction,
    CallDemand,
    EngineChoice,
    PauseKind,
    PlannedCacheAction,
    ProgramPause,
    SchedulingPolicy,
    WaitCause,
    WaitForEngine,
)
from yokeline.scheduling.tracked_engine import LoadState
from yokeline.server.context import HttpAnswer, NodeContext
from yokeline.settings import Settings

__all__ = [
    "EngineDirectory",
    "EngineRecord",
    "LoadReport",
    "MachineEntry",
    "PresenceHandler",
    "RunPresence",
]

LOAD_TIMEOUT_SECONDS = 2.0
RETRY_AFTER_SECONDS = 0.2
NO_ENGINE_RETRY_SECONDS = 1.0
HTTP_OK = 200


class EngineDirectory:
    """Combines the engine catalog, engine load, scheduling policy and cache reconciler."""

    def __init__(
        self,
        context: NodeContext,
        settings: Settings,
        policy: SchedulingPolicy,
        pools: Callable[[], tuple[EnginePool, ...]],
        machines: Callable[[], tuple[MachineEntry, ...]],
        *,
        reconciles: Callable[[str], bool] = reconciles_nothing,
        look_up_run: RunLookup = presence_unknown,
    ) -> None:
        """Create an empty directory.

        Args:
            context: The node's context.
            settings: The node's settings.
            policy: The scheduling policy.
            pools: Returns the configured engine pools; read by :meth:`refresh`.
            machines: Returns the machine list; read by :meth:`refresh`.
            reconciles: Returns whether this node reconciles an engine's cache, by its name.
            look_up_run: Asks the leader of a run's shard whether a root run is still needed.
        """
        self._context = context
        self._settings = settings.scheduling
        self._policy = policy
        self._tracker = EngineStateTracker()
        self._catalog = EngineCatalog(pools, machines)
        self._reconciler = CacheReconciler(
            context, self._catalog, self._tracker, reconciles, look_up_run
        )

    def refresh(self) -> None:
        """Apply the configured engine pools and the machine list."""
        for removed in self._catalog.refresh():
            self._tracker.forget_engine(removed)

    def address_of(self, engine: str) -> Address | None:
        """Return the address of an engine; None if it is not in the catalog."""
        record = self._catalog.records.get(engine)
        return record.address if record is not None else None

    def views(self) -> tuple[EngineRecord, ...]:
        """Return the records of all engines, by name, for the admin API."""
        records = self._catalog.records
        return tuple(records[name] for name in sorted(records))

    def sent_to(self, engine: str) -> int:
        """Return the number of this node's calls in progress at an engine."""
        return self._tracker.engine(engine).calls

    def choose(self, demand: CallDemand) -> Result[EngineChoice, YokelineError]:
        """Choose an engine; a failure with ``retry_after`` means that the call must wait."""
        allowed = self._catalog.allowed(demand.model, demand.engine_selector)
        if not allowed:
            return Failure(_no_engine_error(demand))
        preferred = [record for record in allowed if record.name not in demand.avoid] or allowed
        demand = self._tracker.with_expected_completion(demand)
        now = self._context.now
        views = [self._tracker.view(record.config(), demand, now) for record in preferred]
        choice = self._policy.choose(demand, views, now)
        if isinstance(choice, WaitForEngine):
            self._count("waits", choice.cause.value)
            return Failure(_wait_error(choice))
        self._count("choices", choice.cause.value)
        return Success(choice)

    def order(self, waiting: Sequence[CallDemand]) -> tuple[int, ...]:
        """Return the indices of the waiting calls in the order to serve them."""
        return self._policy.order(waiting, self._context.now)

    def engine_priority(self, demand: CallDemand) -> int:
        """Return the priority to send with a call."""
        return self._policy.engine_priority(demand, self._context.now)

    def pause_started(self, pause: ProgramPause) -> PlannedCacheAction | None:
        """Decide on the context of a pausing program; None if there is nothing to do."""
        record = self._catalog.records.get(pause.engine)
        if record is None:
            return None
        now = self._context.now
        context = self._tracker.pause_context(
            pause, record.config(), hold_max_seconds=self._settings.hold_max_seconds, now=now
        )
        decision = self._policy.cache_decision(context)
        self._tracker.pause_started(context, decision, now)
        self._count("cache_decisions", f"{decision.action.value}_{decision.cause.value}")
        if decision.action is CacheAction.LEAVE:
            return None
        return PlannedCacheAction(engine=record.name, address=record.address, decision=decision)

    def hold_ended(self, engine: str, cache_key: RunId) -> Address | None:
        """Remove a hold whose context is in use again; return the address to release it at."""
        had_hold = self._tracker.engine(engine).hold_ended(cache_key)
        return self.address_of(engine) if had_hold else None

    def pause_ended(self, kind: PauseKind, name: str, seconds: float) -> None:
        """Learn from a finished pause (a tool call, a child run, the time between turns)."""
        self._tracker.pauses.observe(kind, name, seconds)

    def _count(self, what: str, cause: str) -> None:
        name = f'yokeline_scheduling_{what}_total{{cause="{cause}"}}'
        self._context.counters[name] += 1

    def call_sent(self, engine: str, demand: CallDemand, call_id: str) -> None:
        """Record a call that was sent."""
        self._tracker.call_sent(engine, demand, call_id, self._context.now)

    def text_received(self, call_id: str) -> None:
        """Record text of a call's answer; the first text ends its prefill."""
        self._tracker.text_received(call_id, self._context.now)

    def call_ended(
        self,
        call_id: str,
        *,
        prompt_tokens: int,
        cached_tokens: int,
        ok: bool,
        completion_tokens: int = 0,
    ) -> None:
        """Record the end of a call; on success its context is in the engine's cache."""
        end = CallEnd(
            ok=ok,
            prompt_tokens=prompt_tokens,
            cached_tokens=cached_tokens,
            completion_tokens=completion_tokens,
        )
        self._tracker.call_ended(call_id, end, self._context.now)

    def run_ended(self, cache_key: RunId) -> tuple[str, ...]:
        """Forget the contexts of an ended program; return the engines that may still cache them."""
        return self._tracker.program_ended(cache_key)

    def next_deadline(self) -> float | None:
        """Return when the next load poll or inventory is due."""
        records = self._catalog.records.values()
        due = [record.next_poll for record in records if not record.is_polling]
        return min([*due, self._reconciler.next_deadline()])

    def tick(self) -> None:
        """Poll the loads and inventories that are due."""
        for record in self._catalog.records.values():
            if not record.is_polling and record.next_poll <= self._context.now:
                self._poll_load(record)
        self._reconciler.tick()

    def _poll_load(self, record: EngineRecord) -> None:
        record.is_polling = True
        request = HttpRequest(
            request=self._context.new_request_id(),
            address=record.address,
            method="GET",
            path=LOAD_PATH,
            timeout=LOAD_TIMEOUT_SECONDS,
            allow_retry=True,
        )
        self._context.send_http(request, functools.partial(self._load_received, record))

    def _load_received(self, record: EngineRecord, answer: HttpAnswer) -> None:
        now = self._context.now
        record.is_polling = False
        record.next_poll = now + self._settings.load_period_seconds
        report = _decode_report(answer)
        if report is None:
            record.failures += 1
            return
        record.failures = 0
        record.report = report
        record.reported_at = now
        state = LoadState(
            running=report.running,
            waiting=report.waiting,
            cache_tokens_used=report.cache_tokens_used,
            cache_tokens=report.cache_tokens,
        )
        self._tracker.report_received(record.name, state, now - report.age_seconds)


def _decode_report(answer: HttpAnswer) -> LoadReport | None:
    if not isinstance(answer, HttpResponse) or answer.status != HTTP_OK:
        return None
    try:
        return msgspec.json.decode(answer.body, type=LoadReport)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


def _no_engine_error(demand: CallDemand) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.UNAVAILABLE,
        message=f"no live engine serves model {demand.model!r} and matches the engine selectors",
        remedy="check the policies' engine selectors and the engine pools, or wait for engines",
        retry_after=NO_ENGINE_RETRY_SECONDS,
    )


def _wait_error(wait: WaitForEngine) -> YokelineError:
    no_engine = wait.cause is WaitCause.NO_ENGINE
    return YokelineError(
        kind=ErrorKind.OVERLOADED,
        message=wait.reason,
        remedy="wait; the call is queued",
        retry_after=NO_ENGINE_RETRY_SECONDS if no_engine else RETRY_AFTER_SECONDS,
    )
