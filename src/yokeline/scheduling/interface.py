"""Types between those who schedule (executor, experiments) and the scheduling policies.

A policy answers four questions as pure functions: *which* engine serves a call
(:meth:`SchedulingPolicy.choose`, which also caps the programs active at an engine), *when*
(:meth:`SchedulingPolicy.order`), and *what becomes of the cached context* when a program
pauses or ends (:meth:`SchedulingPolicy.cache_decision`). Everything it may know is in the
arguments: :class:`EngineView` values are built by ``scheduling.ledger.EngineLedger``,
forecasts by ``scheduling.pauses.PausePredictor``. Both are pure bookkeeping and serve the
production code and the experiments alike.
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
        cache_key: Root run whose context the call extends: the whole program.
        model: Model that must be served.
        engine_selector: Selector on engine labels; empty allows all.
        prompt_tokens: Estimated tokens of the whole context.
        completion_tokens: Most tokens the answer may have.
        previous_engine: Engine of this run's last finished model call, from the log, so that
            a new leader knows where the context is; empty if there was none.
        previous_tokens: Tokens of context (prompt and answer) there after that call.
        attained_service: Tokens that the whole program was served so far.
        deadline_wall: Wall seconds by which the caller wants the run's answer.
        avoid: Engines that failed this call before; used only if no other is left.
        waiting_since: Monotonic seconds since when the call waits.
        repeatable: Whether another engine may be tried later.
        program: Name of the program, qualified by its tenant.
        deadline: The same as ``deadline_wall`` in monotonic seconds, comparable with ``now``.
        program_since: Monotonic seconds at which the program's current turn arrived.
        expected_completion_tokens: Expected length of the answer; 0 if nothing is known.
        remaining_service: Tokens that the program will still be served, this call included.
            Only a clairvoyant reference knows it; None otherwise.
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
    """What is known of one engine at the moment of a choice.

    Attributes:
        name: ``pool/ip:port``.
        running: Calls running or waiting there, as far as known: those that this node sent
            and that have not ended, and those of others by the last report.
        waiting: Calls among them that wait at the engine, by the last report.
        cached_tokens: Tokens of this call's context that the engine is believed to hold.
        cache_tokens: Size of its cache.
        cache_used: Tokens in its cache, as reported.
        prefill_rate: Observed prefill, tokens a second.
        decode_seconds: Observed seconds per generated token.
        pending_prefill: Prompt tokens sent there and not yet prefilled, as far as known.
        active_programs: Programs with a call there, or paused by a tool with context there.
        active_tokens: Tokens of context that those programs need there.
        member: This call's program is one of the active programs.
        usable: New calls may go there (it is neither leaving nor unreachable).
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
    """It holds context of the call and is the least estimated finish."""
    LEAST_FINISH = "least_finish"
    """No context anywhere, or the engine that has it would take longer."""


class EngineChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The engine for a call and, for people, why.

    Attributes:
        expected_seconds: Estimated time until the answer is complete.
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
    """All allowed engines run as many calls as they should."""
    MEMORY = "memory"
    """The program is new and its context does not fit beside the active ones."""
    CONTEXT_ELSEWHERE = "context_elsewhere"
    """Waiting for the engine that holds the context is shorter than a rebuild."""


class WaitForEngine(msgspec.Struct, frozen=True, kw_only=True):
    """The decision to keep a call in the queue; it is asked for again when room appears."""

    cause: WaitCause
    reason: str


class SchedulingPolicy(Protocol):
    """Which engine, when, and what of the cache; pure apart from its own counters."""

    name: str

    def choose(
        self, demand: CallDemand, engines: Sequence[EngineView], now: float
    ) -> EngineChoice | WaitForEngine:
        """Return the engine to use now, or the decision to wait.

        Whoever waits is asked again, in the order of :meth:`order`, whenever a call ends, a
        program ends or pauses, or a load report arrives. A call that must wait does not keep
        those behind it from being asked.
        """
        ...

    def order(self, waiting: Sequence[CallDemand], now: float) -> tuple[int, ...]:
        """Return the indices of the waiting calls, the one to serve first in front."""
        ...

    def engine_priority(self, demand: CallDemand, now: float) -> int:
        """Return the priority to give the call at the engine; the highest goes first."""
        ...

    def cache_decision(self, pause: PauseContext) -> CacheDecision:
        """Return what becomes of the context of a program that pauses or ends."""
        ...


class EngineDirectoryInterface(Protocol):
    """What the executor needs of the engine directory."""

    def choose(self, demand: CallDemand) -> Result[EngineChoice, YokelineError]:
        """Choose an engine; a failure with ``retry_after`` means that the call must wait."""
        ...

    def order(self, waiting: Sequence[CallDemand]) -> tuple[int, ...]:
        """Return the indices of the waiting calls, the one to serve first in front."""
        ...

    def engine_priority(self, demand: CallDemand) -> int:
        """Return the priority to give a call at its engine."""
        ...

    def address_of(self, engine: str) -> Address | None:
        """Return where an engine listens, None if it is not known (any more)."""
        ...

    def call_sent(self, engine: str, demand: CallDemand, call_id: str) -> None:
        """Note that a call was sent."""
        ...

    def text_received(self, call_id: str) -> None:
        """Note that text of a call's answer arrived: its prefill is over."""
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
        """Note that a call ended; on success its context is in the engine's cache.

        Args:
            call_id: The id given to :meth:`call_sent`.
            prompt_tokens: Tokens of the prompt, without the answer.
            cached_tokens: Those among them that the engine had in its cache.
            ok: Whether the answer is complete.
            completion_tokens: Tokens of the answer.
        """
        ...

    def pause_started(self, pause: ProgramPause) -> PlannedCacheAction | None:
        """Decide what becomes of a pausing program's context; None: nothing is to be done."""
        ...

    def hold_ended(self, engine: str, cache_key: RunId) -> Address | None:
        """Forget a hold whose context is in use again; return where it is to be released."""
        ...

    def pause_ended(self, kind: PauseKind, name: str, seconds: float) -> None:
        """Learn from a finished pause (a tool call, a child run, the time between turns)."""
        ...

    def run_ended(self, cache_key: RunId) -> tuple[str, ...]:
        """Forget a run's cached context; return the engines that may still hold it."""
        ...
