"""Types shared by the callers of the scheduler and the scheduling policies.

A policy answers four questions as pure functions: which engine serves a call and whether it must
wait (:meth:`SchedulingPolicy.choose`), in which order calls wait (:meth:`SchedulingPolicy.order`),
which priority they get at the engine (:meth:`SchedulingPolicy.engine_priority`), and what happens
to the cached context when a program pauses or ends (:meth:`SchedulingPolicy.cache_decision`). All
inputs are arguments: :class:`EngineView` values are built by
``scheduling.engine_state_tracker.EngineStateTracker`` and forecasts by
``scheduling.pauses.PausePredictor``, in production and in experiments.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import Protocol

import msgspec
from returns.result import Result

from yokeline.effects import Address
from yokeline.errors import YokelineError
from yokeline.identifiers import RunId
from yokeline.scheduling.cache_types import (
    CacheAction,
    CacheCause,
    CacheDecision,
    PauseContext,
    PauseKind,
    PlannedCacheAction,
    ProgramPause,
)

__all__ = [
    "CacheAction",
    "CacheCause",
    "CacheDecision",
    "CallDemand",
    "ChoiceCause",
    "EngineChoice",
    "EngineDirectoryInterface",
    "EngineView",
    "PauseContext",
    "PauseKind",
    "PlannedCacheAction",
    "ProgramPause",
    "SchedulingPolicy",
    "WaitCause",
    "WaitForEngine",
]


class CallDemand(msgspec.Struct, frozen=True, kw_only=True):
    """A model call that needs an engine.

    Attributes:
        cache_key: Root run of the program whose context the call extends.
        model: Model that must be served.
        engine_selector: Selector on engine labels; empty matches all.
        prompt_tokens: Estimated tokens of the prompt, which contains the whole conversation.
        completion_tokens: Maximum tokens of the answer, not its actual length.
        previous_engine: Engine of this run's last finished model call, where its context is cached;
            empty if there was none. It is read from the run's log, so that it is known after the
            run's shard elects another leader.
        previous_tokens: Tokens of context (prompt and answer) there after that call.
        priority: Scheduling priority; higher values are served first, unlike
            :attr:`yokeline.scheduling.queue_order.QueuePosition.priority`.
        worth: Weight of the program in fair sharing: its attained service is divided by it.
        attained_service: Tokens served to the whole program so far.
        deadline_wall: Wall seconds by which the caller wants the run's answer.
        avoid: Engines that failed this call before; used only if no other is left.
        waiting_since: Monotonic seconds at which the call began to wait.
        repeatable: Whether another engine may be tried later.
        program: Name of the program, qualified by its tenant.
        deadline: ``deadline_wall`` converted to monotonic seconds.
        program_since: Monotonic seconds at which the program's current turn arrived.
        expected_completion_tokens: Expected length of the answer; 0 if unknown.
        remaining_service: Tokens still to be served to the program, including this call. Set for
            the clairvoyant policy only; None otherwise.
    """

    run: RunId
    cache_key: RunId
    tenant: str
    model: str
    engine_selector: str = ""
    prompt_tokens: int = 0
    completion_tokens: int = 0
    previous_engine: str = ""
    previous_tokens: int = 0
    priority: int = 0
    worth: float = 1.0
    attained_service: int = 0
    deadline_wall: float | None = None
    avoid: tuple[str, ...] = ()
    waiting_since: float = 0.0
    repeatable: bool = True
    program: str = ""
    deadline: float | None = None
    program_since: float = 0.0
    expected_completion_tokens: int = 0
    remaining_service: int | None = None


class EngineView(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of one engine when a call is scheduled.

    Attributes:
        name: ``pool/ip:port``.
        running: Calls running or waiting there: this node's calls in progress, and other nodes' as
            last reported.
        waiting: Calls among them that wait at the engine, as last reported.
        cached_tokens: Tokens of this call's context expected in the engine's cache.
        cache_tokens: Size of its cache.
        cache_used: Tokens in its cache, as last reported.
        prefill_rate: Observed prefill rate, tokens per second.
        decode_seconds: Observed seconds per generated token without interference by other
            calls.
        pending_prefill: Prompt tokens sent there and not yet prefilled, as far as known.
        active_programs: Programs with a call there, or paused with context there.
        active_tokens: Context tokens of the active programs.
        program_is_active: Whether this call's program is one of them.
        usable: Whether new calls may go there (it is neither leaving nor unreachable).
    """

    name: str
    address: Address
    pool: str
    labels: dict[str, str]
    slots: int
    running: int
    waiting: int
    cached_tokens: int
    cache_tokens: int
    cache_used: int
    prefill_rate: float
    decode_seconds: float
    pending_prefill: int
    active_programs: int = 0
    active_tokens: int = 0
    program_is_active: bool = False
    usable: bool = True


class ChoiceCause(enum.Enum):
    """Why an engine was chosen."""

    BASELINE = "baseline"
    CACHED_CONTEXT = "cached_context"
    """It caches context of the call and has the least estimated finish."""
    LEAST_FINISH = "least_finish"
    """It has the least estimated finish and caches no context of the call."""


class EngineChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The engine for a call, and the reason in words.

    Attributes:
        expected_seconds: Estimated cost in seconds, including the delay of other calls.
    """

    engine: str
    address: Address
    reason: str
    expected_seconds: float = 0.0
    cause: ChoiceCause = ChoiceCause.BASELINE


class WaitCause(enum.Enum):
    """Why a call gets no engine now."""

    NO_ENGINE = "no_engine"
    """No engine is usable."""
    SLOTS = "slots"
    """All allowed engines are at their limit of calls."""
    MEMORY = "memory"
    """The program is new and its context does not fit beside the active programs."""
    CONTEXT_ELSEWHERE = "context_elsewhere"
    """Waiting for the engine that caches the context is faster than a rebuild elsewhere."""


class WaitForEngine(msgspec.Struct, frozen=True, kw_only=True):
    """The decision to keep a call in the queue."""

    cause: WaitCause
    reason: str


class SchedulingPolicy(Protocol):
    """Decides on engines, order and cache; pure apart from its own counters."""

    name: str

    def choose(
        self, demand: CallDemand, engines: Sequence[EngineView], now: float
    ) -> EngineChoice | WaitForEngine:
        """Return the engine to use now, or the decision to wait.

        Waiting calls are offered again, in the order of :meth:`order`, whenever a call ends, a
        program ends or pauses, or a load report arrives. A call that must wait does not block the
        calls behind it.
        """
        ...

    def order(self, waiting: Sequence[CallDemand], now: float) -> tuple[int, ...]:
        """Return the indices of the waiting calls in the order to serve them."""
        ...

    def engine_priority(self, demand: CallDemand, now: float) -> int:
        """Return the priority of the call at the engine; higher values are served first."""
        ...

    def cache_decision(self, pause: PauseContext) -> CacheDecision:
        """Return what to do with the context of a program that pauses or ends."""
        ...


class EngineDirectoryInterface(Protocol):
    """The methods of the engine directory that the executor of runs calls."""

    def choose(self, demand: CallDemand) -> Result[EngineChoice, YokelineError]:
        """Choose an engine; a failure with ``retry_after`` means that the call must wait."""
        ...

    def order(self, waiting: Sequence[CallDemand]) -> tuple[int, ...]:
        """Return the indices of the waiting calls in the order to serve them."""
        ...

    def engine_priority(self, demand: CallDemand) -> int:
        """Return the priority to send with a call."""
        ...

    def address_of(self, engine: str) -> Address | None:
        """Return the address of an engine; None if it is not in the catalog."""
        ...

    def call_sent(self, engine: str, demand: CallDemand, call_id: str) -> None:
        """Record a call that was sent."""
        ...

    def text_received(self, call_id: str) -> None:
        """Record text of a call's answer; the first text ends its prefill."""
        ...

    def call_ended(
        self,
        call_id: str,
        *,
        prompt_tokens: int,
        cached_tokens: int,
        ok: bool,
        completion_tokens: int = 0,
    ) -> None:
        """Record the end of a call; on success its context is in the engine's cache.

        Args:
            call_id: The id given to :meth:`call_sent`.
            prompt_tokens: Tokens of the prompt, without the answer.
            cached_tokens: Prompt tokens that the engine had in its cache.
            ok: Whether the answer is complete.
            completion_tokens: Actual tokens of the answer.
        """
        ...

    def pause_started(self, pause: ProgramPause) -> PlannedCacheAction | None:
        """Decide on the context of a pausing program; None if there is nothing to do."""
        ...

    def hold_ended(self, engine: str, cache_key: RunId) -> Address | None:
        """Remove a hold whose context is in use again; return the address to release it at."""
        ...

    def pause_ended(self, kind: PauseKind, name: str, seconds: float) -> None:
        """Learn from a finished pause (a tool call, a child run, the time between turns)."""
        ...

    def run_ended(self, cache_key: RunId) -> tuple[str, ...]:
        """Forget the contexts of an ended program; return the engines that may still cache them."""
        ...
