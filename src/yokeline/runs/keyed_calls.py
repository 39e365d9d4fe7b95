"""Tool and app calls of runs: sending, time limits, retries, and lookups of their outcome."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from yokeline.backends.tool import arguments_valid
from yokeline.effects import Address
from yokeline.errors import ErrorKind, Execution, YokelineError
from yokeline.labels.objects import Lookup
from yokeline.runs import budget
from yokeline.runs.activity import Activity, AttemptSpec, CallOutcome
from yokeline.runs.core import ExecutorCore
from yokeline.runs.errors import outcome_unknown, overloaded, request_refused
from yokeline.runs.keyed_requests import Content, KeyedCall, KeyedSender
from yokeline.runs.model import (
    CallRecord,
    CallStatus,
    Reservation,
    Run,
    Usage,
)
from yokeline.runs.next_step import StartCall, may_retry
from yokeline.runs.outcome_lookups import Outcome, OutcomeLookups
from yokeline.runs.ports import Configuration, LeavingPredicate
from yokeline.runs.results import error_message, result_message
from yokeline.runs.targets import (
    Target,
    address_of_backend,
    backend_name,
    choose_address,
    target_of,
)

NO_BACKEND = "none"
ANSWER_GRACE_SECONDS = 5.0
"""Time beyond the transport's own limit after which a call is ended in any case."""
LEAVING_RETRY_AFTER_SECONDS = 1.0


class KeyedCalls:
    """Starts, follows and ends the tool and app calls of runs."""

    def __init__(
        self,
        core: ExecutorCore,
        configuration: Callable[[], Configuration],
        leaving: LeavingPredicate,
        end_run: Callable[[Activity, Run, YokelineError], None],
    ) -> None:
        """Create it; ``end_run`` ends a run whose back end cannot be called at all."""
        self._core = core
        self._configuration = configuration
        self._leaving = leaving
        self._end_run = end_run
        self._sender = KeyedSender(core.context)
        self._lookups = OutcomeLookups(core, self._sender, self._looked_up)

    # ------------------------------------------------------------ start

    def start(self, activity: Activity, run: Run, step: StartCall) -> None:
        """Commit the start of a call and send it."""
        checked = self._checked_target(run, step)
        if isinstance(checked, Failure):
            self._not_callable(activity, run, step, checked.failure())
            return
        target = checked.unwrap()
        failed = step.failed_attempt.backend if step.failed_attempt is not None else ""
        address = choose_address(target, failed, self._leaving, self._core.context.random)
        if address is None:
            error = overloaded(f"{target.kind.value} {target.name}", LEAVING_RETRY_AFTER_SECONDS)
            self._not_callable(activity, run, step, error)
            return
        self._commit_start(activity, run, step, target, address)

    def _checked_target(self, run: Run, step: StartCall) -> Result[Target, YokelineError]:
        request = step.request
        if request is None:
            return target_of(self._configuration(), run, step.kind, run.spec.app)
        if request.name not in run.spec.tools:
            return Failure(request_refused(f"the program has no tool {request.name!r}"))
        if not arguments_valid(request.arguments):
            return Failure(request_refused("the arguments are not a JSON object"))
        return target_of(self._configuration(), run, step.kind, request.name)

    def _not_callable(
        self, activity: Activity, run: Run, step: StartCall, error: YokelineError
    ) -> None:
        if step.request is None:
            self._end_run(activity, run, error)
        else:
            self.answer_without_call(activity, step, error)

    def answer_without_call(
        self, activity: Activity, step: StartCall, error: YokelineError
    ) -> None:
        """Tell the model that its request is not carried out; nothing is sent."""
        attempt_spec = AttemptSpec(backend=NO_BACKEND, reason=error.message, repeatable=True)

        def answer(run: Run) -> None:
            message = error_message(run.calls[-1], error)
            outcome = CallOutcome(status=CallStatus.FAILED, message=message, error=error)
            self._core.finish_call(activity, outcome)

        self._core.start_call(activity, step, attempt_spec, answer)

    def _commit_start(
        self, activity: Activity, run: Run, step: StartCall, target: Target, address: Address
    ) -> None:
        left = budget.remaining(self._core.root_of(activity.shard, run)).tool_seconds
        timeout = min(target.timeout, left) if left > 0 else target.timeout
        attempt_spec = AttemptSpec(
            backend=backend_name(target.name, address),
            reason=f"{target.kind.value} {target.name} at one of {len(target.addresses)} addresses",
            repeatable=target.repeatable,
            reserved=Reservation(tool_seconds=timeout),
        )

        def send(started: Run) -> None:
            request = KeyedCall(activity, started, started.calls[-1], target, address)
            self._send(request, timeout)

        self._core.start_call(activity, step, attempt_spec, send)

    # ------------------------------------------------------------ sending

    def _send(self, request: KeyedCall, timeout: float) -> None:
        activity = request.activity
        activity.detach = lambda: self._detach(request)
        activity.cancel = lambda: self._close_connection(request)
        self._core.call_later(
            activity, timeout + ANSWER_GRACE_SECONDS, lambda: self._no_answer(request)
        )

        def done(content: Content) -> None:
            if self._core.is_current(activity):
                request.connection = None
                self._answered(request, content)

        request.connection = self._sender.send(request, timeout, done)

    def _no_answer(self, request: KeyedCall) -> None:
        """End a call that the transport itself did not end in time."""
        self._close_connection(request)
        self._answered(request, Failure(_no_answer_error(request.record.backend)))

    def _detach(self, request: KeyedCall) -> None:
        """Leave a call to the next leader.

        A call that may not be repeated keeps its connection, since closing it could end the
        work at the back end half way; its answer is dropped.
        """
        if request.record.repeatable:
            self._close_connection(request)

    def _close_connection(self, request: KeyedCall) -> None:
        if request.connection is not None:
            self._core.context.cancel_http(request.connection)
            request.connection = None

    # ------------------------------------------------------------ outcome

    def _answered(self, request: KeyedCall, content: Content) -> None:
        if isinstance(content, Success):
            self._succeeded(request, content.unwrap())
            return
        error = content.failure()
        if error.execution is not Execution.UNKNOWN or request.record.repeatable:
            self._failed(request, error)
        elif request.target.lookup is not Lookup.NONE:
            self._lookups.begin(request)
        else:
            self._unknown(request, error.message)

    def _succeeded(self, request: KeyedCall, content: str) -> None:
        message = result_message(request.record, content)
        self._finish(request, CallOutcome(status=CallStatus.SUCCEEDED, message=message))

    def _failed(self, request: KeyedCall, error: YokelineError) -> None:
        """End a failed attempt; the model is told once no further attempt will follow."""
        record = request.record
        will_retry = may_retry(record.attempt, record.repeatable, error, self._core.step_limits)
        tell_model = record.tool_request is not None and not will_retry
        message = error_message(record, error) if tell_model else None
        self._finish(request, CallOutcome(status=CallStatus.FAILED, message=message, error=error))

    def _unknown(self, request: KeyedCall, cause: str) -> None:
        error = outcome_unknown(request.record.backend, cause)
        self._finish(request, CallOutcome(status=CallStatus.UNKNOWN, error=error))

    def _finish(self, request: KeyedCall, outcome: CallOutcome) -> None:
        seconds = max(0.0, self._core.context.wall() - request.record.started_wall)
        usage = Usage(tool_seconds=seconds, calls=1)
        outcome = msgspec.structs.replace(outcome, usage=usage)
        self._core.finish_call(request.activity, outcome)

    def _looked_up(self, request: KeyedCall, outcome: Outcome) -> None:
        """End a call whose outcome was looked up."""
        if isinstance(outcome, str):
            self._unknown(request, outcome)
        else:
            self._answered(request, outcome)

    # ------------------------------------------------------------ recovery and giving up

    def recover(self, activity: Activity, run: Run, record: CallRecord) -> None:
        """Find out what became of a call that a leader before may have sent."""
        if record.repeatable:
            error = _leader_lost(record.backend)
            will_retry = may_retry(record.attempt, True, error, self._core.step_limits)
            tell_model = record.tool_request is not None and not will_retry
            message = error_message(record, error) if tell_model else None
            usage = budget.usage_of_reservation(record.reserved)
            outcome = CallOutcome(
                status=CallStatus.FAILED, usage=usage, message=message, error=error
            )
            self._core.finish_call(activity, outcome)
            return
        activity.repeatable = False
        self._recover_by_lookup(activity, run, record)

    def _recover_by_lookup(self, activity: Activity, run: Run, record: CallRecord) -> None:
        name = record.tool_request.name if record.tool_request is not None else run.spec.app
        found = target_of(self._configuration(), run, record.kind, name)
        address = address_of_backend(record.backend)
        if isinstance(found, Failure) or address is None:
            self._unknown_without_target(activity, record)
            return
        request = KeyedCall(activity, run, record, found.unwrap(), address)
        if request.target.lookup is Lookup.NONE:
            self._unknown(request, "the node that sent it is gone")
            return
        activity.detach = lambda: self._close_connection(request)
        activity.cancel = activity.detach
        self._lookups.begin(request)

    def _unknown_without_target(self, activity: Activity, record: CallRecord) -> None:
        error = outcome_unknown(record.backend, "it is no longer configured")
        usage = budget.usage_of_reservation(record.reserved)
        outcome = CallOutcome(status=CallStatus.UNKNOWN, usage=usage, error=error)
        self._core.finish_call(activity, outcome)

    def expire_call(self, activity: Activity, record: CallRecord, error: YokelineError) -> None:
        """End a repeatable call whose run's time is over."""
        activity.cancel()
        usage = budget.usage_of_reservation(record.reserved)
        outcome = CallOutcome(status=CallStatus.FAILED, usage=usage, error=error)
        self._core.finish_call(activity, outcome)


def _no_answer_error(backend: str) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.BACKEND_FAILED,
        message=f"{backend} did not answer in time",
        remedy="look for what hangs there, or raise its timeout_seconds",
        execution=Execution.UNKNOWN,
    )


def _leader_lost(backend: str) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.BACKEND_FAILED,
        message=f"the node that called {backend} is gone",
        remedy="none needed; the call is repeated while attempts are left",
        execution=Execution.UNKNOWN,
    )
