"""Assigns waiting model calls to engines with capacity, in the scheduling policy's order."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from yokeline.errors import YokelineError
from yokeline.runs.activity import Activity, Stage
from yokeline.runs.core import ExecutorCore
from yokeline.runs.errors import overloaded
from yokeline.runs.model import Run
from yokeline.runs.next_step import StartCall
from yokeline.runs.waiting import QueueKey, WaitingCall, WaitingCalls, queue_key
from yokeline.scheduling.interface import CallDemand, EngineChoice, EngineDirectoryInterface
from yokeline.timers import Timer

MAX_FAILED_CHOICES = 32
"""Calls of one queue key that may fail to get an engine before a pass skips the others."""
SHED_RETRY_AFTER_SECONDS = 2.0
MIN_RETRY_DELAY_SECONDS = 0.02

CallStarter = Callable[[Activity, StartCall, CallDemand, EngineChoice], None]
RunEnder = Callable[[Activity, Run, YokelineError], None]


class EngineQueue:
    """Chooses engines for model calls and queues the calls that have to wait."""

    def __init__(
        self, core: ExecutorCore, engines: EngineDirectoryInterface, end_run: RunEnder
    ) -> None:
        """Create the queue; ``end_run`` ends a run whose call is shed or cannot be served."""
        self._core = core
        self._engines = engines
        self._end_run = end_run
        self._waiting = WaitingCalls(core.settings.scheduling.queue_limit, engines.order)
        self._unavailable_until: dict[str, float] = {}
        self._starter: CallStarter | None = None
        self._pump_timer: Timer | None = None

    def set_starter(self, starter: CallStarter) -> None:
        """Set the function that starts a call on its engine; called once at construction."""
        self._starter = starter

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self._waiting)

    # ------------------------------------------------------------ submission and shedding

    def submit(self, activity: Activity, run: Run, step: StartCall, demand: CallDemand) -> None:
        """Start a call now if an engine has capacity and no call waits for it, else queue it.

        If other calls wait for the same engines, the scheduling policy decides the order: an
        engine may accept a call of a run tree that is already active there but not one of a new
        run tree.
        """
        call = WaitingCall(activity=activity, step=step, demand=demand, sheddable=not run.calls)
        if self._waiting.has_waiting(queue_key(demand)):
            self._enqueue(call)
            self.pump_soon()
            return
        choice = self._choose(demand)
        if isinstance(choice, Success):
            self._start(call, choice.unwrap())
        elif choice.failure().retry_after is None:
            self._end_run(activity, run, choice.failure())
        else:
            self._enqueue(call)
            self._pump_after(choice.failure())

    def _enqueue(self, call: WaitingCall) -> None:
        call.activity.stage = Stage.QUEUED
        call.activity.cancel = lambda: self._waiting.remove(call.activity)
        call.activity.detach = call.activity.cancel
        self._waiting.add(call)
        for shed in self._waiting.overflow():
            self._shed(shed)

    def _shed(self, call: WaitingCall) -> None:
        self._core.context.counters["yokeline_calls_shed_total"] += 1
        run = self._core.find(call.activity.shard, call.activity.run)
        if run is not None:
            error = overloaded("the queue for engines", SHED_RETRY_AFTER_SECONDS)
            self._end_run(call.activity, run, error)

    def engine_refused(self, engine: str, seconds: float) -> None:
        """Avoid an engine for the seconds that its refusal asked for."""
        self._unavailable_until[engine] = self._core.context.now + seconds

    # ------------------------------------------------------------ engine assignment

    def pump_soon(self) -> None:
        """Try to start waiting calls, because engine capacity may have become free."""
        if len(self._waiting):
            self._schedule_pump(0.0)

    def _pump_after(self, error: YokelineError) -> None:
        self._schedule_pump(max(MIN_RETRY_DELAY_SECONDS, error.retry_after or 0.0))

    def _schedule_pump(self, seconds: float) -> None:
        due = self._core.context.now + seconds
        if self._pump_timer is not None:
            if self._pump_timer.due <= due:
                return
            self._pump_timer.cancel()
        self._pump_timer = self._core.timers.schedule(due, self._pump)

    def _pump(self) -> None:
        self._pump_timer = None
        failures: Counter[QueueKey] = Counter()
        for call in self._waiting.ordered():
            key = queue_key(call.demand)
            if failures[key] < MAX_FAILED_CHOICES and not self._try_start(call):
                failures[key] += 1

    def _try_start(self, call: WaitingCall) -> bool:
        choice = self._choose(call.demand)
        if isinstance(choice, Success):
            self._waiting.remove(call.activity)
            self._start(call, choice.unwrap())
            return True
        self._pump_after(choice.failure())
        return False

    def _start(self, call: WaitingCall, choice: EngineChoice) -> None:
        if self._starter is not None:
            self._starter(call.activity, call.step, call.demand, choice)

    def _choose(self, demand: CallDemand) -> Result[EngineChoice, YokelineError]:
        """Choose an engine, skipping those that recently refused a call."""
        now = self._core.context.now
        self._unavailable_until = {
            name: until for name, until in self._unavailable_until.items() if until > now
        }
        avoided = dict.fromkeys((*demand.avoid, *self._unavailable_until))
        choice = self._engines.choose(msgspec.structs.replace(demand, avoid=tuple(avoided)))
        if isinstance(choice, Failure):
            return choice
        until = self._unavailable_until.get(choice.unwrap().engine)
        if until is not None:
            return Failure(overloaded("every allowed engine", until - now))
        return choice
