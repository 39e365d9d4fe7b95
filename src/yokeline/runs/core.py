"""What the parts of the executor share: activities of runs, proposals, timers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from returns.result import Failure, Result

from yokeline.errors import ErrorKind, YokelineError
from yokeline.identifiers import RunId, ShardId, root_run_id
from yokeline.runs.activity import Activity, CallOutcome, CallStart, Stage
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

LEASE_CHECK_SECONDS = 0.05
"""Time until the lease is looked at again where it did not allow to send."""


class ExecutorCore:
    """State and actions shared by the parts of the executor."""

    def __init__(self, context: NodeContext, settings: Settings, host: Host) -> None:
        """Create a core without activities."""
        self.context = context
        self.settings = settings
        self.host = host
        self.timers = TimerQueue()
        self.partial_texts = PartialTexts()
        self.limits = StepLimits(call_attempts=settings.runs.call_attempts)
        self.activities: dict[RunId, Activity] = {}
        self.stepper: Callable[[Activity, Run], None] = _no_stepper
        self.rejected: Callable[[Activity, Run, YokelineError], None] = _no_rejection
        self._agenda: deque[tuple[ShardId, RunId]] = deque()
        self._working = False

    # ------------------------------------------------------------ activities

    def drive(self, shard: ShardId, run: RunId) -> None:
        """Take the next step of a run, unless something is under way for it.

        Steps are taken from a queue, so that chains of them need no deep call stack.
        """
        self._agenda.append((shard, run))
        if self._working:
            return
        self._working = True
        try:
            while self._agenda:
                self._step(*self._agenda.popleft())
        finally:
            self._working = False

    def _step(self, shard: ShardId, run_id: RunId) -> None:
        run = self.find(shard, run_id)
        if run is None or run_id in self.activities or not self.host.leads(shard):
            return
        activity = Activity(shard, run_id, self.host.term(shard))
        self.activities[run_id] = activity
        self.stepper(activity, run)

    def find(self, shard: ShardId, run: RunId) -> Run | None:
        """Return a run as far as it is applied here."""
        machine = self.host.machine(shard)
        return machine.runs.get(run) if machine is not None else None

    def root_of(self, shard: ShardId, run: Run) -> Run:
        """Return the root of a run's tree."""
        return self.find(shard, root_run_id(run.run)) or run

    def current(self, activity: Activity) -> bool:
        """Return whether an activity is still what is done for its run."""
        return self.activities.get(activity.run) is activity

    def end(self, activity: Activity) -> None:
        """End an activity; its callbacks do nothing from now on."""
        if activity.timer is not None:
            activity.timer.cancel()
        if self.current(activity):
            del self.activities[activity.run]

    def end_and_drive(self, activity: Activity) -> None:
        """End an activity and take the run's next step."""
        self.end(activity)
        self.drive(activity.shard, activity.run)

    def after(self, activity: Activity, seconds: float, action: Callable[[], None]) -> None:
        """Run ``action`` later, if the activity is still current; replaces its timer."""
        if activity.timer is not None:
            activity.timer.cancel()

        def due() -> None:
            if self.current(activity):
                action()

        activity.timer = self.timers.schedule(self.context.now + seconds, due)

    # ------------------------------------------------------------ proposals

    def propose(
        self, activity: Activity, command: Command, accepted: Callable[[Run], None]
    ) -> None:
        """Replicate a command; ``accepted`` gets the run once it took effect."""
        activity.stage = Stage.PROPOSING

        def done(result: Result[ApplyResult, YokelineError]) -> None:
            if not self.current(activity):
                return
            if isinstance(result, Failure):
                self._drive_later(activity)
                return
            self._applied(activity, result.unwrap(), accepted)

        self.host.propose(activity.shard, command, done)

    def _applied(
        self, activity: Activity, result: ApplyResult, accepted: Callable[[Run], None]
    ) -> None:
        run = self.find(activity.shard, activity.run)
        if run is None:
            self.end(activity)
        elif result.accepted:
            accepted(run)
        elif result.error is not None and result.error.kind is ErrorKind.BUDGET_EXHAUSTED:
            self._abandon_start(activity)
            self.rejected(activity, run, result.error)
        else:
            self.context.counters["yokeline_commands_rejected_total"] += 1
            self._drive_later(activity)

    def _drive_later(self, activity: Activity) -> None:
        """Look at the run again after a pause: the command may or may not take effect."""
        self._abandon_start(activity)
        activity.stage = Stage.PAUSED
        self.after(
            activity,
            self.settings.runs.retry_base_seconds,
            lambda: self.end_and_drive(activity),
        )

    def _abandon_start(self, activity: Activity) -> None:
        """Take back what was noted for a call whose start was not committed."""
        activity.cancel()
        activity.clear()

    def start_call(
        self,
        activity: Activity,
        step: StartCall,
        start: CallStart,
        send: Callable[[Run], None],
    ) -> None:
        """Commit the start of an attempt; ``send`` is called once it may be sent."""
        command = CallStarted(
            run=activity.run,
            number=step.number,
            attempt=step.attempt,
            kind=step.kind,
            backend=start.backend,
            repeatable=start.repeatable,
            fence=activity.term,
            reserved=start.reserved,
            reason=start.reason,
            wall=self.context.wall(),
            leader=self.context.replica,
            tool_request=step.request,
        )
        activity.repeatable = start.repeatable
        self.propose(activity, command, lambda run: self._send_when_allowed(activity, run, send))

    def _send_when_allowed(self, activity: Activity, run: Run, send: Callable[[Run], None]) -> None:
        """Send if leadership is certain; else wait, since another leader may recover the call."""
        same_term = self.host.term(activity.shard) == activity.term
        if same_term and self.host.may_send(activity.shard):
            activity.stage = Stage.CALLING
            self.count_call("started", run.calls[-1].kind)
            send(run)
            return
        activity.stage = Stage.SENDING
        self.after(
            activity, LEASE_CHECK_SECONDS, lambda: self._send_when_allowed(activity, run, send)
        )

    def finish_call(self, activity: Activity, outcome: CallOutcome) -> None:
        """Commit the outcome of the attempt under way and take the next step."""
        run = self.find(activity.shard, activity.run)
        if run is None:
            self.end(activity)
            return
        call = run.calls[-1]
        activity.clear()
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
        self.partial_texts.forget(activity.run)
        self.end_and_drive(activity)

    def count_call(self, what: str, kind: CallKind) -> None:
        """Count a call for the metrics."""
        self.context.counters[f'yokeline_calls_total{{kind="{kind.value}",what="{what}"}}'] += 1

    def backoff(self, attempt: int, error: YokelineError | None) -> float:
        """Return the pause after a failed attempt: exponential with jitter, or Retry-After."""
        runs = self.settings.runs
        ceiling = min(runs.retry_max_seconds, runs.retry_base_seconds * 2.0 ** (attempt - 1))
        pause = ceiling * (1.0 + self.context.random.random()) / 2.0
        asked = error.retry_after if error is not None else None
        return max(pause, asked or 0.0)


def _no_stepper(_activity: Activity, _run: Run) -> None:
    raise NotImplementedError("the executor installs a stepper before it drives runs")


def _no_rejection(_activity: Activity, _run: Run, _error: YokelineError) -> None:
    raise NotImplementedError("the executor installs a handler before it drives runs")
