"""Load, speed and active programs of one engine, as this node knows them.

Combines the calls that this node sent with the engine's load reports.
"""

from __future__ import annotations

import heapq
from collections import deque

import msgspec

from yokeline.identifiers import RunId
from yokeline.scheduling.engine_speed import EngineSpeed
from yokeline.scheduling.estimate import expected_completion_tokens
from yokeline.scheduling.interface import CallDemand

LOAD_HISTORY_SECONDS = 30.0
"""Longest delay between the state that a load report shows and its arrival."""


class LoadState(msgspec.Struct, frozen=True, kw_only=True):
    """The load in an engine's last report."""

    running: int = 0
    waiting: int = 0
    cache_tokens_used: int = 0
    cache_tokens: int = 0


class SentCall(msgspec.Struct, kw_only=True):
    """A call that this node sent and that has not ended.

    Attributes:
        uncached_tokens: Prompt tokens that the engine was expected to prefill.
        is_sole_prefill: No other prefill of this node was pending at the engine, so the time to
            first text measures its prefill rate.
    """

    engine: str
    demand: CallDemand
    sent_at: float
    uncached_tokens: int
    is_sole_prefill: bool
    first_text_at: float | None = None


class ActiveProgram(msgspec.Struct, kw_only=True):
    """A program with calls at an engine, or paused while its context is cached there.

    Attributes:
        contexts: Context tokens of each of its runs at the engine.
        calls: Its calls in progress there.
        active_until: End of the pause during which it stays active without a call.
    """

    contexts: dict[RunId, int] = {}
    calls: int = 0
    active_until: float = 0.0

    @property
    def tokens(self) -> int:
        """Return the context tokens of all its runs."""
        return sum(self.contexts.values())


class TrackedEngine:
    """State of one engine.

    Attributes:
        speed: Observed prefill and decode speed.
        report: Last load report; None before the first.
        calls: Calls of this node in progress there.
        pending_prefill: Prompt tokens sent and not yet prefilled, estimated from this node's calls.
        active_tokens: Context tokens of the active programs.
    """

    def __init__(self) -> None:
        """Create the state of an idle engine."""
        self.speed = EngineSpeed()
        self.report: LoadState | None = None
        self.calls = 0
        self.pending_prefill = 0
        self.active_tokens = 0
        self._other_nodes_load = 0
        self._call_counts: deque[tuple[float, int]] = deque([(float("-inf"), 0)])
        self._programs: dict[RunId, ActiveProgram] = {}
        self._pause_deadlines: list[tuple[float, RunId]] = []
        self._holds: dict[RunId, tuple[float, int]] = {}

    # ------------------------------------------------------------ load

    def report_received(self, report: LoadState, taken_at: float) -> None:
        """Store a load report; calls beyond this node's own at ``taken_at`` are other nodes'."""
        self.report = report
        while len(self._call_counts) > 1 and self._call_counts[1][0] <= taken_at:
            self._call_counts.popleft()
        own = self._call_counts[0][1]
        self._other_nodes_load = max(0, report.running + report.waiting - own)

    @property
    def load(self) -> int:
        """Return the calls running or waiting there; other nodes' calls are as last reported."""
        return self.calls + self._other_nodes_load

    def _count(self, change: int, now: float) -> None:
        self.calls += change
        self._call_counts.append((now, self.calls))
        while len(self._call_counts) > 1 and self._call_counts[1][0] < now - LOAD_HISTORY_SECONDS:
            self._call_counts.popleft()

    # ------------------------------------------------------------ calls

    def call_sent(self, call: SentCall, now: float) -> None:
        """Record a call that was sent to the engine."""
        self._count(1, now)
        self.pending_prefill += call.uncached_tokens
        expected_tokens = call.demand.prompt_tokens + int(expected_completion_tokens(call.demand))
        program = self._programs.setdefault(call.demand.cache_key, ActiveProgram())
        program.calls += 1
        self._resize(program, call.demand.run, expected_tokens)

    def prefill_ended(self, call: SentCall, now: float) -> None:
        """Record the first text of a call."""
        call.first_text_at = now
        self.pending_prefill -= call.uncached_tokens

    def call_ended(self, call: SentCall, context_tokens: int, now: float) -> None:
        """Record the end of a call after which ``context_tokens`` of its run are cached there."""
        self._count(-1, now)
        if call.first_text_at is None:
            self.pending_prefill -= call.uncached_tokens
        program = self._programs[call.demand.cache_key]
        program.calls -= 1
        if not program.calls and program.active_until <= now:
            self.deactivate_program(call.demand.cache_key)
        else:
            self._resize(program, call.demand.run, context_tokens)

    # ------------------------------------------------------------ active programs

    def run_paused(self, cache_key: RunId, run: RunId, tokens: int, until: float) -> None:
        """Keep a run's program active until ``until`` although it has no call here."""
        program = self._programs.setdefault(cache_key, ActiveProgram())
        program.active_until = max(program.active_until, until)
        self._resize(program, run, tokens)
        heapq.heappush(self._pause_deadlines, (until, cache_key))

    def remove_run_context(self, cache_key: RunId, run: RunId) -> None:
        """Remove the context of one run without deactivating its program."""
        program = self._programs.get(cache_key)
        if program is not None:
            self._resize(program, run, 0)

    def deactivate_program(self, cache_key: RunId) -> None:
        """Deactivate a program unless it has calls here; in any case end its pause."""
        program = self._programs.get(cache_key)
        if program is None:
            return
        program.active_until = 0.0
        if not program.calls:
            self.active_tokens -= program.tokens
            del self._programs[cache_key]

    def expire_pauses(self, now: float) -> None:
        """Deactivate the programs whose pause has exceeded its expected length."""
        while self._pause_deadlines and self._pause_deadlines[0][0] <= now:
            cache_key = heapq.heappop(self._pause_deadlines)[1]
            program = self._programs.get(cache_key)
            if program is not None and not program.calls and program.active_until <= now:
                self.deactivate_program(cache_key)

    def is_active(self, cache_key: RunId) -> bool:
        """Return whether a program is active here."""
        return cache_key in self._programs

    @property
    def active_programs(self) -> int:
        """Return the number of active programs."""
        return len(self._programs)

    def _resize(self, program: ActiveProgram, run: RunId, tokens: int) -> None:
        self.active_tokens += tokens - program.contexts.get(run, 0)
        if tokens:
            program.contexts[run] = tokens
        else:
            program.contexts.pop(run, None)

    # ------------------------------------------------------------ holds

    def hold_made(self, cache_key: RunId, tokens: int, until: float) -> None:
        """Record that a program's context is held until ``until``."""
        self._holds[cache_key] = (until, tokens)

    def hold_ended(self, cache_key: RunId) -> bool:
        """Remove a hold; return whether there was one."""
        return self._holds.pop(cache_key, None) is not None

    def held_tokens(self, now: float) -> int:
        """Return the tokens under holds that have not expired."""
        self._holds = {key: hold for key, hold in self._holds.items() if hold[0] > now}
        return sum(tokens for _until, tokens in self._holds.values())
