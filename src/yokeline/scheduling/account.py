"""What this node knows of one engine from what it sent there and from the load reports."""

from __future__ import annotations

import heapq
from collections import deque

import msgspec

from yokeline.identifiers import RunId
from yokeline.scheduling.engine_speed import EngineSpeed
from yokeline.scheduling.estimate import expected_completion_tokens
from yokeline.scheduling.interface import CallDemand

LOAD_HISTORY_SECONDS = 30.0
"""How far back a load report's state may lie."""


class LoadState(msgspec.Struct, frozen=True, kw_only=True):
    """An engine's load by its last report."""

    running: int = 0
    waiting: int = 0
    cache_tokens_used: int = 0
    cache_tokens: int = 0


class SentCall(msgspec.Struct, kw_only=True):
    """A call that this node sent and that has not ended.

    Attributes:
        missing_tokens: Tokens that the engine was believed to have to prefill.
        alone: No other prefill was under way there, so that its time tells the rate.
    """

    engine: str
    demand: CallDemand
    sent_at: float
    uncached_tokens: int
    is_sole_prefill: bool
    first_text_at: float | None = None


class ActiveProgram(msgspec.Struct, kw_only=True):
    """A program with calls at an engine, or paused with context there.

    Attributes:
        contexts: Tokens of context that each of its runs needs there.
        calls: Its calls under way there.
        counted_until: Until when it counts as active while it has no call there.
    """

    contexts: dict[RunId, int] = {}
    calls: int = 0
    active_until: float = 0.0

    @property
    def tokens(self) -> int:
        """Return the tokens of context that the program needs there."""
        return sum(self.contexts.values())


class EngineAccount:
    """Bookkeeping for one engine.

    Attributes:
        pace: Its observed pace.
        report: Its last load report; None before the first.
        calls: Number of this node's calls under way there.
        pending_prefill: Prompt tokens sent and not yet prefilled, as far as known.
        active_tokens: Context tokens of the active programs.
    """

    def __init__(self) -> None:
        """Create an account of an engine that nothing was sent to."""
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
        """Take a load report over; what it shows beyond this node's own calls is others'."""
        self.report = report
        while len(self._call_counts) > 1 and self._call_counts[1][0] <= taken_at:
            self._call_counts.popleft()
        own = self._call_counts[0][1]
        self._other_nodes_load = max(0, report.running + report.waiting - own)

    @property
    def load(self) -> int:
        """Return the calls running or waiting there: this node's now, others' as reported."""
        return self.calls + self._other_nodes_load

    def _count(self, change: int, now: float) -> None:
        self.calls += change
        self._call_counts.append((now, self.calls))
        while len(self._call_counts) > 1 and self._call_counts[1][0] < now - LOAD_HISTORY_SECONDS:
            self._call_counts.popleft()

    # ------------------------------------------------------------ calls

    def call_sent(self, call: SentCall, now: float) -> None:
        """Note a call that was sent there."""
        self._count(1, now)
        self.pending_prefill += call.uncached_tokens
        expected_tokens = call.demand.prompt_tokens + int(expected_completion_tokens(call.demand))
        program = self._programs.setdefault(call.demand.cache_key, ActiveProgram())
        program.calls += 1
        self._resize(program, call.demand.run, expected_tokens)

    def prefill_ended(self, call: SentCall, now: float) -> None:
        """Note the first text of a call."""
        call.first_text_at = now
        self.pending_prefill -= call.uncached_tokens

    def call_ended(self, call: SentCall, context_tokens: int, now: float) -> None:
        """Note that a call ended; ``context_tokens`` of its program stay cached."""
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
        """Count a run's program as active until a time, though it has no call there."""
        program = self._programs.setdefault(cache_key, ActiveProgram())
        program.active_until = max(program.active_until, until)
        self._resize(program, run, tokens)
        heapq.heappush(self._pause_deadlines, (until, cache_key))

    def remove_run_context(self, cache_key: RunId, run: RunId) -> None:
        """Note that one run of a program needs no context here any more."""
        program = self._programs.get(cache_key)
        if program is not None:
            self._resize(program, run, 0)

    def deactivate_program(self, cache_key: RunId) -> None:
        """Note that a program needs nothing here any more; its calls here still count."""
        program = self._programs.get(cache_key)
        if program is None:
            return
        program.active_until = 0.0
        if not program.calls:
            self.active_tokens -= program.tokens
            del self._programs[cache_key]

    def expire_pauses(self, now: float) -> None:
        """Drop the programs whose pause has outlasted what was counted for it."""
        while self._pause_deadlines and self._pause_deadlines[0][0] <= now:
            cache_key = heapq.heappop(self._pause_deadlines)[1]
            program = self._programs.get(cache_key)
            if program is not None and not program.calls and program.active_until <= now:
                self.deactivate_program(cache_key)

    def is_active(self, cache_key: RunId) -> bool:
        """Return whether a program is active there."""
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
        """Note a hold."""
        self._holds[cache_key] = (until, tokens)

    def hold_ended(self, cache_key: RunId) -> bool:
        """Forget a hold; return whether there was one."""
        return self._holds.pop(cache_key, None) is not None

    def held_tokens(self, now: float) -> int:
        """Return the tokens under holds that have not ended."""
        self._holds = {key: hold for key, hold in self._holds.items() if hold[0] > now}
        return sum(tokens for _until, tokens in self._holds.values())
