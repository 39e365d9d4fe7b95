"""Child runs: programs that a model calls like tools."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from yokeline.errors import Execution, YokelineError
from yokeline.identifiers import RunId, child_run_id
from yokeline.runs.activity import Activity, AttemptSpec, CallOutcome, Stage
from yokeline.runs.core import ExecutorCore
from yokeline.runs.errors import (
    cancelled,
    not_configured,
    outcome_unknown,
    tool_request_refused,
)
from yokeline.runs.keyed_calls import KeyedCalls
from yokeline.runs.model import CallRecord, CallStatus, CreateRun, Run, RunSpec, RunStatus
from yokeline.runs.next_step import StartCall
from yokeline.runs.ports import Configuration
from yokeline.runs.results import error_message, result_message
from yokeline.runs.rules import is_final
from yokeline.runs.spec import child_spec
from yokeline.runs.tree import depth

MAX_DEPTH = 8
"""Maximum nesting of child runs below a root run; bounds recursion of programs."""


class ChildInput(msgspec.Struct, frozen=True, kw_only=True):
    """JSON arguments of a model's request to run a child program."""

    input: str


class _NewChild(msgspec.Struct, frozen=True, kw_only=True):
    spec: RunSpec
    input: str


class ChildCalls:
    """Creates child runs and returns their answers to their parents."""

    def __init__(
        self,
        core: ExecutorCore,
        configuration: Callable[[], Configuration],
        keyed_calls: KeyedCalls,
    ) -> None:
        """Create the calls; ``keyed_calls`` rejects invalid requests."""
        self._core = core
        self._configuration = configuration
        self._keyed_calls = keyed_calls

    def start(self, activity: Activity, run: Run, step: StartCall) -> None:
        """Commit the start of a child call, then create the child."""
        arguments = step.request.arguments if step.request is not None else ""
        name = step.request.name if step.request is not None else ""
        child = self._new_child(run, name, arguments)
        if isinstance(child, Failure):
            self._keyed_calls.reject_tool_request(activity, step, child.failure())
            return
        attempt_spec = AttemptSpec(
            backend=child_run_id(run.run, run.children + 1),
            reason=f"child program {name}",
            repeatable=False,
        )
        self._core.start_call(
            activity,
            step,
            attempt_spec,
            lambda started: self.recover(activity, started, started.calls[-1]),
        )

    def _new_child(self, run: Run, name: str, arguments: str) -> Result[_NewChild, YokelineError]:
        if depth(run.run) >= MAX_DEPTH:
            return Failure(tool_request_refused(f"child runs are nested deeper than {MAX_DEPTH}"))
        configuration = self._configuration()
        program = configuration.program(run.spec.tenant, name)
        if program is None:
            return Failure(not_configured("program", name))
        try:
            content = msgspec.json.decode(arguments, type=ChildInput).input
        except (msgspec.MsgspecError, RecursionError):
            return Failure(tool_request_refused('a child program takes {"input": text}'))
        spec = child_spec(run, program, configuration.resolve(program), content)
        return Success(_NewChild(spec=spec, input=content))

    def recover(self, activity: Activity, run: Run, record: CallRecord) -> None:
        """Create the child run if it does not exist, and wait for it to become final.

        Called for a new call and for one that a previous leader started.
        """
        activity.stage = Stage.AWAITING_CHILD
        # The next leader continues to wait for the child run, so leadership may move.
        activity.repeatable = True
        child = self._core.find(activity.shard, RunId(record.backend))
        if child is None:
            self._create(activity, run, record)
        elif is_final(child):
            self._finish(activity, record, child)
        else:
            self._core.drive(activity.shard, child.run)

    def _create(self, activity: Activity, run: Run, record: CallRecord) -> None:
        request = record.tool_request
        name = request.name if request is not None else ""
        new = self._new_child(run, name, request.arguments if request is not None else "")
        if isinstance(new, Failure):
            self._finish_without_child(activity, record, new.failure())
            return
        child = RunId(record.backend)
        command = CreateRun(
            run=child,
            spec=new.unwrap().spec,
            input=new.unwrap().input,
            wall=self._core.context.wall(),
            parent=run.run,
        )

        def created(_run: Run) -> None:
            activity.stage = Stage.AWAITING_CHILD
            self._core.drive(activity.shard, child)

        self._core.propose(activity, command, created)

    def child_ended(self, child: Run) -> None:
        """Finish the parent's call with the outcome of a final child run."""
        activity = self._core.activities.get(child.parent) if child.parent is not None else None
        if activity is None or activity.stage is not Stage.AWAITING_CHILD:
            return
        parent = self._core.find(activity.shard, activity.run)
        if parent is None or is_final(parent):
            return
        if parent.calls[-1].backend == child.run:
            self._finish(activity, parent.calls[-1], child)

    def _finish(self, activity: Activity, record: CallRecord, child: Run) -> None:
        self._core.finish_call(activity, _outcome(record, child))

    def _finish_without_child(
        self, activity: Activity, record: CallRecord, error: YokelineError
    ) -> None:
        message = error_message(record, error)
        outcome = CallOutcome(status=CallStatus.FAILED, message=message, error=error)
        self._core.finish_call(activity, outcome)


def _outcome(record: CallRecord, child: Run) -> CallOutcome:
    if child.status is RunStatus.SUCCEEDED:
        message = result_message(record, child.answer)
        return CallOutcome(status=CallStatus.SUCCEEDED, message=message)
    error = child.error or cancelled()
    if child.status is RunStatus.OUTCOME_UNKNOWN:
        unknown = outcome_unknown(f"child run {child.run}", error.message)
        return CallOutcome(status=CallStatus.UNKNOWN, error=unknown)
    if error.execution is not Execution.NOT_RUN:
        error = msgspec.structs.replace(error, execution=Execution.UNKNOWN)
    message = error_message(record, error)
    return CallOutcome(status=CallStatus.FAILED, message=message, error=error)
