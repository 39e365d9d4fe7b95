"""Drives runs: executes their next steps and ends runs that reach their deadline or fail."""

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
    RefuseRequest,
    StartCall,
    failure_step,
    next_step,
    run_deadline_error,
    run_deadline_wall,
)
from yokeline.runs.pauses import pause_cause
from yokeline.runs.ports import Configuration, LeavingPredicate
from yokeline.scheduling.interface import EngineDirectoryInterface
from yokeline.timers import Timer

NO_CALL_STAGES = frozenset({Stage.QUEUED, Stage.BACKING_OFF, Stage.AWAITING_HAND_OVER})
"""Stages without a started call; a run whose deadline passes in one of them ends at once."""
DEADLINE_RECHECK_SECONDS = 0.1
HAND_OVER_WAIT_SECONDS = 5.0
"""Maximum wait for a new leader while draining; the call then starts on this node."""


class RunDriver:
    """Executes the steps of the runs that this node leads."""

    def __init__(
        self,
        core: ExecutorCore,
        configuration: Callable[[], Configuration],
        engines: EngineDirectoryInterface,
        cache: CacheActions,
        leaving: LeavingPredicate,
        text_arrived: Callable[[RunId], None],
    ) -> None:
        """Create the driver and register its handlers with ``core``."""
        self._core = core
        self.queue = EngineQueue(core, engines, self.end_with_error)
        self._cache = cache
        self._models = ModelCalls(core, engines, self.queue, cache, text_arrived)
        self._keyed = KeyedCalls(core, configuration, leaving, self.end_with_error)
        self._children = ChildCalls(core, configuration, self._keyed)
        self._deadline_timers: dict[RunId, Timer] = {}
        self._draining = False
        core.on_step = self._step
        core.on_budget_exhausted = self.end_with_error

    # ------------------------------------------------------------ steps

    def _step(self, activity: Activity, run: Run) -> None:
        root = self._core.root_of(activity.shard, run)
        step = next_step(run, root, self._core.step_limits, self._core.context.wall())
        if step is None:
            self._core.end(activity)
            return
        self._schedule_deadline(activity.shard, run, root)
        self._execute(activity, run, step)

    def _execute(self, activity: Activity, run: Run, step: NextStep) -> None:
        match step:
            case StartCall():
                self._start_or_back_off(activity, run, step)
            case RecoverCall():
                self._recover(activity, run, step.call)
            case EndRun():
                self._end(activity, step)
            case RefuseRequest():
                self._refuse(activity, run, step.error)

    def _start_or_back_off(self, activity: Activity, run: Run, step: StartCall) -> None:
        failed_attempt = step.failed_attempt
        if failed_attempt is None:
            self._start_or_delay(activity, run, step)
            return
        # The queue skips an engine that sent Retry-After; a model call may use another engine.
        retry_error = failed_attempt.error if failed_attempt.kind is not CallKind.MODEL else None
        delay = self._core.backoff(failed_attempt.attempt, retry_error)
        root = self._core.root_of(activity.shard, run)
        if self._core.context.wall() + delay >= run_deadline_wall(run, root):
            self.end_with_error(activity, run, failed_attempt.error or deadline_exceeded(None))
            return
        self._core.context.counters["yokeline_call_retries_total"] += 1
        activity.stage = Stage.BACKING_OFF
        self._core.call_later(activity, delay, lambda: self._start_or_delay(activity, run, step))

    def _start_or_delay(self, activity: Activity, run: Run, step: StartCall) -> None:
        if self._draining and step.kind is not CallKind.MODEL:
            activity.stage = Stage.AWAITING_HAND_OVER
            self._core.call_later(
                activity, HAND_OVER_WAIT_SECONDS, lambda: self._start_call(activity, run, step)
            )
            return
        self._start_call(activity, run, step)

    def _start_call(self, activity: Activity, run: Run, step: StartCall) -> None:
        cause = pause_cause(run) if step.kind is not CallKind.MODEL else None
        if cause is not None:
            self._cache.pause_started(activity.shard, run, cause)
        match step.kind:
            case CallKind.MODEL:
                self._models.start(activity, run, step)
            case CallKind.CHILD:
                self._children.start(activity, run, step)
            case CallKind.TOOL | CallKind.APP:
                self._keyed.start(activity, run, step)

    def _recover(self, activity: Activity, run: Run, call: CallRecord) -> None:
        """Take over a call that was started before this activity, usually by another leader."""
        self._core.context.counters["yokeline_calls_recovered_total"] += 1
        match call.kind:
            case CallKind.MODEL:
                self._models.recover(activity, run, call)
            case CallKind.CHILD:
                self._children.recover(activity, run, call)
            case CallKind.TOOL | CallKind.APP:
                self._keyed.recover(activity, run, call)

    # ------------------------------------------------------------ end of a run

    def end_with_error(self, activity: Activity, run: Run, error: YokelineError) -> None:
        """End a run or its turn with an error; a run without calls is refused."""
        self._execute(activity, run, failure_step(run, error))

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
        """Release the state kept for a final or idle run, and cancel a final run's activity."""
        timer = self._deadline_timers.pop(run.run, None)
        if timer is not None:
            timer.cancel()
        activity = self._core.activities.get(run.run)
        if activity is not None and rules.is_final(run):
            activity.cancel()
            self._core.end(activity)
        self._core.partial_texts.discard(run.run)
        self._models.discard_run_state(run.run)
        self._children.child_ended(run)

    # ------------------------------------------------------------ deadline

    def _schedule_deadline(self, shard: ShardId, run: Run, root: Run) -> None:
        context = self._core.context
        due = context.now + run_deadline_wall(run, root) - context.wall()
        scheduled = self._deadline_timers.get(run.run)
        if scheduled is not None:
            if not scheduled.cancelled and scheduled.due <= due:
                return
            scheduled.cancel()
        run_id = run.run
        self._deadline_timers[run_id] = self._core.timers.schedule(
            due, lambda: self._deadline_reached(shard, run_id)
        )

    def _deadline_reached(self, shard: ShardId, run_id: RunId) -> None:
        """End a run's activity at its deadline; child and non-repeatable calls complete."""
        self._deadline_timers.pop(run_id, None)
        run = self._core.find(shard, run_id)
        activity = self._core.activities.get(run_id)
        if run is None or activity is None:
            self._core.drive(shard, run_id)
            return
        error = run_deadline_error(run, self._core.root_of(shard, run), self._core.context.wall())
        if error is None:
            self._schedule_deadline(shard, run, self._core.root_of(shard, run))
        elif activity.stage in NO_CALL_STAGES:
            activity.cancel()
            self._core.end_and_drive(activity)
        elif activity.stage is Stage.AWAITING_LEASE:
            activity.cancel()
            outcome = CallOutcome(status=CallStatus.FAILED, error=rules.as_not_run(error))
            self._core.finish_call(activity, outcome)
        elif activity.stage is Stage.CALLING and activity.repeatable:
            self._end_call_at_deadline(activity, run.calls[-1], error)
        elif activity.stage is Stage.PROPOSING:
            self._recheck_deadline(shard, run_id)

    def _recheck_deadline(self, shard: ShardId, run_id: RunId) -> None:
        """Check the run again soon, when the pending proposal has been decided."""
        due = self._core.context.now + DEADLINE_RECHECK_SECONDS
        self._deadline_timers[run_id] = self._core.timers.schedule(
            due, lambda: self._deadline_reached(shard, run_id)
        )

    def _end_call_at_deadline(
        self, activity: Activity, call: CallRecord, error: YokelineError
    ) -> None:
        """End a sent call without an answer; its execution is unknown."""
        error = msgspec.structs.replace(error, execution=Execution.UNKNOWN)
        if call.kind is CallKind.MODEL:
            self._models.end_at_deadline(activity, call, error)
        else:
            self._keyed.end_at_deadline(activity, call, error)

    # ------------------------------------------------------------ leadership

    def leadership_gained(self, shard: ShardId) -> None:
        """Resume every active run of a shard."""
        state_machine = self._core.host.state_machine(shard)
        if state_machine is None:
            return
        for run in sorted(state_machine.runs):
            self._core.drive(shard, run)

    def leadership_lost(self, shard: ShardId) -> None:
        """Leave the runs of a shard to the next leader."""
        for activity in [a for a in self._core.activities.values() if a.shard == shard]:
            activity.detach()
            self._core.end(activity)
            self._core.partial_texts.discard(activity.run)
            self._models.discard_run_state(activity.run)
            timer = self._deadline_timers.pop(activity.run, None)
            if timer is not None:
                timer.cancel()

    def begin_drain(self) -> None:
        """Delay new tool, app and child calls, so that the next leader starts them."""
        self._draining = True

    def blocks_transfer(self, shard: ShardId) -> bool:
        """Return whether a call is in flight in a shard that the next leader could not repeat."""
        return any(
            activity.shard == shard and not activity.repeatable
            for activity in self._core.activities.values()
        )
