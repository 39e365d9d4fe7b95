"""Drives runs: takes each next step, watches over their time, ends what is given up."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from yokeline.errors import Execution, YokelineError
from yokeline.identifiers import RunId, ShardId
from yokeline.runs import rules
from yokeline.runs.activity import Activity, CallOutcome, Stage
from yokeline.runs.cache_actions import CacheActions
from yokeline.runs.child_calls import ChildCalls
from yokeline.runs.core import ExecutorCore
from yokeline.runs.engine_queue import EngineQueue
from yokeline.runs.errors import deadline_exceeded
from yokeline.runs.keyed_calls import KeyedCalls
from yokeline.runs.model import CallKind, CallRecord, CallStatus, FinishRun, RefuseRun, Run
from yokeline.runs.model_calls import ModelCalls
from yokeline.runs.next_step import (
    EndRun,
    NextStep,
    RecoverCall,
    RefuseAtOnce,
    StartCall,
    ended_with,
    expiry_error,
    expiry_wall,
    next_step,
)
from yokeline.runs.pauses import started_pause
from yokeline.runs.ports import Configuration, LeavingPredicate
from yokeline.scheduling.interface import EngineDirectoryInterface
from yokeline.timers import Timer

NO_CALL_STAGES = frozenset({Stage.QUEUED, Stage.BACKING_OFF, Stage.AWAITING_HAND_OVER})
"""Stages in which nothing has been sent, so that a run whose time is over ends at once."""
EXPIRY_RECHECK_SECONDS = 0.1
HAND_OVER_WAIT_SECONDS = 5.0
"""Longest wait of a call for the next leader; without one (a last node) it starts here."""


class RunDriver:
    """Takes the steps of the runs that this node leads."""

    def __init__(
        self,
        core: ExecutorCore,
        configuration: Callable[[], Configuration],
        engines: EngineDirectoryInterface,
        cache: CacheActions,
        leaving: LeavingPredicate,
        text_arrived: Callable[[RunId], None],
    ) -> None:
        """Create it and install it as the stepper of ``core``."""
        self._core = core
        self.queue = EngineQueue(core, engines, self.end_with)
        self._cache = cache
        self._models = ModelCalls(core, engines, self.queue, cache, text_arrived)
        self._keyed = KeyedCalls(core, configuration, leaving, self.end_with)
        self._children = ChildCalls(core, configuration, self._keyed)
        self._expiries: dict[RunId, Timer] = {}
        self._draining = False
        core.on_step = self._step
        core.on_budget_exhausted = self.end_with

    # ------------------------------------------------------------ steps

    def _step(self, activity: Activity, run: Run) -> None:
        root = self._core.root_of(activity.shard, run)
        step = next_step(run, root, self._core.step_limits, self._core.context.wall())
        if step is None:
            self._core.end(activity)
            return
        self._watch_expiry(activity.shard, run, root)
        self._take(activity, run, step)

    def _take(self, activity: Activity, run: Run, step: NextStep) -> None:
        match step:
            case StartCall():
                self._start_or_back_off(activity, run, step)
            case RecoverCall():
                self._recover(activity, run, step.call)
            case EndRun():
                self._end(activity, step)
            case RefuseAtOnce():
                self._refuse(activity, run, step.error)

    def _start_or_back_off(self, activity: Activity, run: Run, step: StartCall) -> None:
        retried = step.retried
        if retried is None:
            self._start_or_hold(activity, run, step)
            return
        # An engine that asked for a pause is passed over by the queue; others need not wait.
        retry_error = retried.error if retried.kind is not CallKind.MODEL else None
        delay = self._core.backoff(retried.attempt, retry_error)
        root = self._core.root_of(activity.shard, run)
        if self._core.context.wall() + delay >= expiry_wall(run, root):
            self.end_with(activity, run, retried.error or deadline_exceeded(None))
            return
        self._core.context.counters["yokeline_call_retries_total"] += 1
        activity.stage = Stage.BACKING_OFF
        self._core.call_later(activity, delay, lambda: self._start_or_hold(activity, run, step))

    def _start_or_hold(self, activity: Activity, run: Run, step: StartCall) -> None:
        if self._draining and step.kind is not CallKind.MODEL:
            activity.stage = Stage.AWAITING_HAND_OVER
            self._core.call_later(
                activity, HAND_OVER_WAIT_SECONDS, lambda: self._start_call(activity, run, step)
            )
            return
        self._start_call(activity, run, step)

    def _start_call(self, activity: Activity, run: Run, step: StartCall) -> None:
        pause = started_pause(run) if step.kind is not CallKind.MODEL else None
        if pause is not None:
            self._cache.pause_started(activity.shard, run, pause)
        match step.kind:
            case CallKind.MODEL:
                self._models.start(activity, run, step)
            case CallKind.CHILD:
                self._children.start(activity, run, step)
            case CallKind.TOOL | CallKind.APP:
                self._keyed.start(activity, run, step)

    def _recover(self, activity: Activity, run: Run, call: CallRecord) -> None:
        self._core.context.counters["yokeline_calls_recovered_total"] += 1
        match call.kind:
            case CallKind.MODEL:
                self._models.recover(activity, run, call)
            case CallKind.CHILD:
                self._children.recover(activity, run, call)
            case CallKind.TOOL | CallKind.APP:
                self._keyed.recover(activity, run, call)

    # ------------------------------------------------------------ ends

    def end_with(self, activity: Activity, run: Run, error: YokelineError) -> None:
        """End a run (or its turn) with an error; it is refused if nothing has started."""
        self._take(activity, run, ended_with(run, error))

    def _end(self, activity: Activity, step: EndRun) -> None:
        command = FinishRun(
            run=activity.run,
            status=step.status,
            wall=self._core.context.wall(),
            answer=step.answer,
            error=step.error,
        )
        self._core.propose(activity, command, lambda _run: self._core.end_and_drive(activity))

    def _refuse(self, activity: Activity, run: Run, error: YokelineError) -> None:
        command = RefuseRun(
            run=activity.run, spec=run.spec, error=error, wall=self._core.context.wall()
        )
        self._core.propose(activity, command, lambda _run: self._core.end_and_drive(activity))

    def run_ended(self, run: Run) -> None:
        """Drop what is kept about a run that is idle or final; stop what is under way."""
        expiry = self._expiries.pop(run.run, None)
        if expiry is not None:
            expiry.cancel()
        activity = self._core.activities.get(run.run)
        if activity is not None and rules.is_final(run):
            activity.cancel()
            self._core.end(activity)
        self._core.partial_texts.forget(run.run)
        self._models.forget(run.run)
        self._children.child_ended(run)

    # ------------------------------------------------------------ time

    def _watch_expiry(self, shard: ShardId, run: Run, root: Run) -> None:
        context = self._core.context
        due = context.now + expiry_wall(run, root) - context.wall()
        known = self._expiries.get(run.run)
        if known is not None:
            if not known.cancelled and known.due <= due:
                return
            known.cancel()
        run_id = run.run
        self._expiries[run_id] = self._core.timers.schedule(
            due, lambda: self._expire(shard, run_id)
        )

    def _expire(self, shard: ShardId, run_id: RunId) -> None:
        """End what is done for a run whose time is over, as far as that is harmless."""
        self._expiries.pop(run_id, None)
        run = self._core.find(shard, run_id)
        activity = self._core.activities.get(run_id)
        if run is None or activity is None:
            self._core.drive(shard, run_id)
            return
        error = expiry_error(run, self._core.root_of(shard, run), self._core.context.wall())
        if error is None:
            self._watch_expiry(shard, run, self._core.root_of(shard, run))
        elif activity.stage in NO_CALL_STAGES:
            activity.cancel()
            self._core.end_and_drive(activity)
        elif activity.stage is Stage.AWAITING_LEASE:
            activity.cancel()
            outcome = CallOutcome(status=CallStatus.FAILED, error=rules.as_not_run(error))
            self._core.finish_call(activity, outcome)
        elif activity.stage is Stage.CALLING and activity.repeatable:
            self._give_up(activity, run.calls[-1], error)
        elif activity.stage is Stage.PROPOSING:
            self._expire_again(shard, run_id)

    def _expire_again(self, shard: ShardId, run_id: RunId) -> None:
        """Look again soon: what is being committed now decides what is to be ended."""
        due = self._core.context.now + EXPIRY_RECHECK_SECONDS
        self._expiries[run_id] = self._core.timers.schedule(
            due, lambda: self._expire(shard, run_id)
        )

    def _give_up(self, activity: Activity, call: CallRecord, error: YokelineError) -> None:
        """End a call that was sent and has no answer: it may have run, or may still run."""
        error = msgspec.structs.replace(error, execution=Execution.UNKNOWN)
        if call.kind is CallKind.MODEL:
            self._models.give_up(activity, call, error)
        else:
            self._keyed.give_up(activity, call, error)

    # ------------------------------------------------------------ leadership

    def leadership_gained(self, shard: ShardId) -> None:
        """Go on with every active run of a shard."""
        machine = self._core.host.machine(shard)
        if machine is None:
            return
        for run in sorted(machine.runs):
            self._core.drive(shard, run)

    def leadership_lost(self, shard: ShardId) -> None:
        """Leave every run of a shard to the next leader."""
        for activity in [a for a in self._core.activities.values() if a.shard == shard]:
            activity.detach()
            self._core.end(activity)
            self._core.partial_texts.forget(activity.run)
            self._models.forget(activity.run)
            expiry = self._expiries.pop(activity.run, None)
            if expiry is not None:
                expiry.cancel()

    def begin_drain(self) -> None:
        """Start no further tool, app or child call here; the next leaders go on."""
        self._draining = True

    def blocks_hand_over(self, shard: ShardId) -> bool:
        """Return whether a call that may not be repeated is under way in a shard."""
        return any(
            activity.shard == shard and not activity.repeatable
            for activity in self._core.activities.values()
        )
