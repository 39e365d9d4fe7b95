"""State shared by the parts of the executor: activities, proposals and timers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from returns.result import Failure, Result

from yokeline.errors import ErrorKind, YokelineError
from yokeline.identifiers import RunId, ShardId, root_run_id
from yokeline.runs.activity import Activity, AttemptSpec, CallOutcome, Stage
from yokeline.runs.model import (
    CallFinished,
    CallKind,
    CallStarted,
    Command,
    Run,
)
from yokeline.runs.next_step import StartCall, StepLimits
from yokeline.runs.partial_text import PartialTexts
from yokeline.runs.ports import Host
from yokeline.runs.state_machine import ApplyResult
from yokeline.server.context import NodeContext
from yokeline.settings import Settings
from yokeline.timers import TimerQueue

LEASE_RECHECK_SECONDS = 0.05
"""Interval between checks of a leader lease that does not allow sending."""


class ExecutorCore:
    """State and operations shared by the parts of the executor.

    Attributes:
        on_step: Takes the next step of a run; set by the run driver.
        on_budget_exhausted: Handles a command rejected by the budget; set by the run driver.
    """

    def __init__(self, context: NodeContext, settings: Settings, host: Host) -> None:
        self.context = context
        self.settings = settings
        self.host = host
        self.timers = TimerQueue()
        self.partial_texts = PartialTexts()
        self.step_limits = StepLimits(call_attempts=settings.runs.call_attempts)
        self.activities: dict[RunId, Activity] = {}
        self.on_step: Callable[[Activity, Run], None] = _unset_on_step
        self.on_budget_exhausted: Callable[[Activity, Run, YokelineError], None] = (
            _unset_on_budget_exhausted
        )
        self._drive_queue: deque[tuple[ShardId, RunId]] = deque()
        self._driving = False

    # ------------------------------------------------------------ activities

    def drive(self, shard: ShardId, run: RunId) -> None:
        """Take the next step of a run, unless the run has an activity.

        Nested calls only enqueue the run, which keeps the call stack shallow.
        """
        self._drive_queue.append((shard, run))
        if self._driving:
            return
        self._driving = True
        try:
            while self._drive_queue:
                self._take_step(*self._drive_queue.popleft())
        finally:
            self._driving = False

    def _take_step(self, shard: ShardId, run_id: RunId) -> None:
        run = self.find(shard, run_id)
        if run is None or run_id in self.activities or not self.host.leads(shard):
            return
        activity = Activity(shard, run_id, self.host.term(shard))
        self.activities[run_id] = activity
        self.on_step(activity, run)

    def find(self, shard: ShardId, run: RunId) -> Run | None:
        """Return a run from the locally applied state, if it exists."""
        state_machine = self.host.state_machine(shard)
        return state_machine.runs.get(run) if state_machine is not None else None

    def root_of(self, shard: ShardId, run: Run) -> Run:
        """Return the root of a run's tree."""
        return self.find(shard, root_run_id(run.run)) or run

    def is_current(self, activity: Activity) -> bool:
        """Return whether an activity is still the current one of its run."""
        return self.activities.get(activity.run) is activity

    def end(self, activity: Activity) -> None:
        """End an activity; its later callbacks are ignored."""
        if activity.timer is not None:
            activity.timer.cancel()
        if self.is_current(activity):
            del self.activities[activity.run]

    def end_and_drive(self, activity: Activity) -> None:
        """End an activity and take the run's next step."""
        self.end(activity)
        self.drive(activity.shard, activity.run)

    def call_later(self, activity: Activity, seconds: float, action: Callable[[], None]) -> None:
        """Schedule ``action`` unless the activity ends first; replaces the activity's timer."""
        if activity.timer is not None:
            activity.timer.cancel()

        def due() -> None:
            if self.is_current(activity):
                action()

        activity.timer = self.timers.schedule(self.context.now + seconds, due)

    # ------------------------------------------------------------ proposals

    def propose(
        self, activity: Activity, command: Command, on_accepted: Callable[[Run], None]
    ) -> None:
        """Replicate a command; ``on_accepted`` gets the run once the command is applied."""
        activity.stage = Stage.PROPOSING

        def done(result: Result[ApplyResult, YokelineError]) -> None:
            if not self.is_current(activity):
                return
            if isinstance(result, Failure):
                self._drive_after_delay(activity)
                return
            self._applied(activity, result.unwrap(), on_accepted)

        self.host.propose(activity.shard, command, done)

    def _applied(
        self, activity: Activity, result: ApplyResult, on_accepted: Callable[[Run], None]
    ) -> None:
        run = self.find(activity.shard, activity.run)
        if run is None:
            self.end(activity)
        elif result.accepted:
            on_accepted(run)
        elif result.error is not None and result.error.kind is ErrorKind.BUDGET_EXHAUSTED:
            self._cancel_start(activity)
            self.on_budget_exhausted(activity, run, result.error)
        else:
            self.context.counters["yokeline_commands_rejected_total"] += 1
            self._drive_after_delay(activity)

    def _drive_after_delay(self, activity: Activity) -> None:
        """Drive the run again after a delay: it is unknown whether the command was applied."""
        self._cancel_start(activity)
        activity.stage = Stage.BACKING_OFF
        self.call_later(
            activity,
            self.settings.runs.retry_base_seconds,
            lambda: self.end_and_drive(activity),
        )

    def _cancel_start(self, activity: Activity) -> None:
        """Undo the bookkeeping of a call whose start was not committed."""
        activity.cancel()
        activity.clear_callbacks()

    def start_call(
        self,
        activity: Activity,
        step: StartCall,
        attempt_spec: AttemptSpec,
        send: Callable[[Run], None],
    ) -> None:
        """Commit the start of an attempt; ``send`` is called once sending is allowed."""
        command = CallStarted(
            run=activity.run,
            number=step.number,
            attempt=step.attempt,
            kind=step.kind,
            backend=attempt_spec.backend,
            repeatable=attempt_spec.repeatable,
            fence=activity.term,
            reserved=attempt_spec.reserved,
            reason=attempt_spec.reason,
            wall=self.context.wall(),
            leader=self.context.replica,
            tool_request=step.request,
        )
        activity.repeatable = attempt_spec.repeatable
        self.propose(activity, command, lambda run: self._send_under_lease(activity, run, send))

    def _send_under_lease(self, activity: Activity, run: Run, send: Callable[[Run], None]) -> None:
        """Send while the leader lease is valid, else wait: a new leader may recover the call."""
        same_term = self.host.term(activity.shard) == activity.term
        if same_term and self.host.holds_lease(activity.shard):
            activity.stage = Stage.CALLING
            self.count_call("started", run.calls[-1].kind)
            send(run)
            return
        activity.stage = Stage.AWAITING_LEASE
        self.call_later(
            activity, LEASE_RECHECK_SECONDS, lambda: self._send_under_lease(activity, run, send)
        )

    def finish_call(self, activity: Activity, outcome: CallOutcome) -> None:
        """Commit the outcome of the in-flight attempt and take the next step."""
        run = self.find(activity.shard, activity.run)
        if run is None:
            self.end(activity)
            return
        call = run.calls[-1]
        activity.clear_callbacks()
        if activity.timer is not None:
            activity.timer.cancel()
        command = CallFinished(
            run=activity.run,
            number=call.number,
            attempt=call.attempt,
            status=outcome.status,
            usage=outcome.usage,
            wall=self.context.wall(),
            message=outcome.message,
            error=outcome.error,
        )
        self.count_call(outcome.status.value, call.kind)
        self.propose(activity, command, lambda _run: self._call_finished(activity))

    def _call_finished(self, activity: Activity) -> None:
        self.partial_texts.discard(activity.run)
        self.end_and_drive(activity)

    def count_call(self, event: str, kind: CallKind) -> None:
        """Increment the call counter for an event such as ``started`` or an outcome."""
        self.context.counters[f'yokeline_calls_total{{kind="{kind.value}",what="{event}"}}'] += 1

    def backoff(self, attempt: int, error: YokelineError | None) -> float:
        """Return the seconds to wait after a failed attempt.

        The delay grows exponentially with jitter and is at least the error's ``retry_after``.
        """
        runs = self.settings.runs
        ceiling = min(runs.retry_max_seconds, runs.retry_base_seconds * 2.0 ** (attempt - 1))
        delay = ceiling * (1.0 + self.context.random.random()) / 2.0
        retry_after = error.retry_after if error is not None else None
        return max(delay, retry_after or 0.0)


def _unset_on_step(_activity: Activity, _run: Run) -> None:
    raise NotImplementedError("ExecutorCore.on_step is not set")


def _unset_on_budget_exhausted(_activity: Activity, _run: Run, _error: YokelineError) -> None:
    raise NotImplementedError("ExecutorCore.on_budget_exhausted is not set")
