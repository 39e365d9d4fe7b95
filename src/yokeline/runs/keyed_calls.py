"""Tool and app calls of runs: sending, timeouts, retries and outcome lookups."""

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
from yokeline.runs.errors import outcome_unknown, overloaded, tool_request_refused
from yokeline.runs.keyed_requests import ContentResult, KeyedCall, KeyedSender
from yokeline.runs.model import (
    CallRecord,
    CallStatus,
    Reservation,
    Run,
    Usage,
)
from yokeline.runs.next_step import StartCall, may_retry
from yokeline.runs.outcome_lookups import LookupOutcome, OutcomeLookups
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
"""Time beyond the transport's timeout after which a call is ended regardless."""
LEAVING_RETRY_AFTER_SECONDS = 1.0


class KeyedCalls:
    """Starts, follows and ends tool and app calls."""

    def __init__(
        self,
        core: ExecutorCore,
        configuration: Callable[[], Configuration],
        leaving: LeavingPredicate,
        end_run: Callable[[Activity, Run, YokelineError], None],
    ) -> None:
        """Create the calls; ``end_run`` ends a run whose back end cannot be called."""
        self._core = core
        self._configuration = configuration
        self._leaving = leaving
        self._end_run = end_run
        self._sender = KeyedSender(core.context)
        self._lookups = OutcomeLookups(core, self._sender, self._lookup_done)

    # ------------------------------------------------------------ start

    def start(self, activity: Activity, run: Run, step: StartCall) -> None:
        """Commit the start of a call and send it."""
        checked = self._checked_target(run, step)
        if isinstance(checked, Failure):
            self._not_callable(activity, run, step, checked.failure())
            return
        target = checked.unwrap()
        failed_backend = step.failed_attempt.backend if step.failed_attempt is not None else ""
        address = choose_address(target, failed_backend, self._leaving, self._core.context.random)
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
            return Failure(tool_request_refused(f"the program has no tool {request.name!r}"))
        if not arguments_valid(request.arguments):
            return Failure(tool_request_refused("the arguments are not a JSON object"))
        return target_of(self._configuration(), run, step.kind, request.name)

    def _not_callable(
        self, activity: Activity, run: Run, step: StartCall, error: YokelineError
    ) -> None:
        if step.request is None:
            self._end_run(activity, run, error)
        else:
            self.reject_tool_request(activity, step, error)

    def reject_tool_request(
        self, activity: Activity, step: StartCall, error: YokelineError
    ) -> None:
        """Record a failed call that tells the model why its request is rejected; send nothing."""
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
            call = KeyedCall(activity, started, started.calls[-1], target, address)
            self._send(call, timeout)

        self._core.start_call(activity, step, attempt_spec, send)

    # ------------------------------------------------------------ sending

    def _send(self, call: KeyedCall, timeout: float) -> None:
        activity = call.activity
        activity.detach = lambda: self._detach(call)
        activity.cancel = lambda: self._close_connection(call)
        self._core.call_later(
            activity, timeout + ANSWER_GRACE_SECONDS, lambda: self._timed_out(call)
        )

        def done(content: ContentResult) -> None:
            if self._core.is_current(activity):
                call.connection = None
                self._answered(call, content)

        call.connection = self._sender.send(call, timeout, done)

    def _timed_out(self, call: KeyedCall) -> None:
        """End a call that the transport did not end in time."""
        self._close_connection(call)
        self._answered(call, Failure(_timeout_error(call.record.backend)))

    def _detach(self, call: KeyedCall) -> None:
        """Leave a call to the next leader.

        A non-repeatable call keeps its connection, because closing it could abort the work at
        the back end half way. Its answer is ignored.
        """
        if call.record.repeatable:
            self._close_connection(call)

    def _close_connection(self, call: KeyedCall) -> None:
        if call.connection is not None:
            self._core.context.cancel_http(call.connection)
            call.connection = None

    # ------------------------------------------------------------ outcome

    def _answered(self, call: KeyedCall, content: ContentResult) -> None:
        if isinstance(content, Success):
            self._succeeded(call, content.unwrap())
            return
        error = content.failure()
        if error.execution is not Execution.UNKNOWN or call.record.repeatable:
            self._failed(call, error)
        elif call.target.lookup is not Lookup.NONE:
            self._lookups.begin(call)
        else:
            self._unknown(call, error.message)

    def _succeeded(self, call: KeyedCall, content: str) -> None:
        message = result_message(call.record, content)
        self._finish(call, CallOutcome(status=CallStatus.SUCCEEDED, message=message))

    def _failed(self, call: KeyedCall, error: YokelineError) -> None:
        """End a failed attempt; the model gets the error if no further attempt follows."""
        record = call.record
        will_retry = may_retry(record.attempt, record.repeatable, error, self._core.step_limits)
        tell_model = record.tool_request is not None and not will_retry
        message = error_message(record, error) if tell_model else None
        self._finish(call, CallOutcome(status=CallStatus.FAILED, message=message, error=error))

    def _unknown(self, call: KeyedCall, cause: str) -> None:
        error = outcome_unknown(call.record.backend, cause)
        self._finish(call, CallOutcome(status=CallStatus.UNKNOWN, error=error))

    def _finish(self, call: KeyedCall, outcome: CallOutcome) -> None:
        seconds = max(0.0, self._core.context.wall() - call.record.started_wall)
        usage = Usage(tool_seconds=seconds, calls=1)
        outcome = msgspec.structs.replace(outcome, usage=usage)
        self._core.finish_call(call.activity, outcome)

    def _lookup_done(self, call: KeyedCall, outcome: LookupOutcome) -> None:
        """End a call with the result of its outcome lookup."""
        if isinstance(outcome, str):
            self._unknown(call, outcome)
        else:
            self._answered(call, outcome)

    # ------------------------------------------------------------ recovery and expiry

    def recover(self, activity: Activity, run: Run, record: CallRecord) -> None:
        """Take over a call that a previous leader may have sent, and determine its outcome."""
        if record.repeatable:
            error = _previous_leader_error(record.backend)
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
        call = KeyedCall(activity, run, record, found.unwrap(), address)
        if call.target.lookup is Lookup.NONE:
            self._unknown(call, "the leader that sent it was replaced")
            return
        activity.detach = lambda: self._close_connection(call)
        activity.cancel = activity.detach
        self._lookups.begin(call)

    def _unknown_without_target(self, activity: Activity, record: CallRecord) -> None:
        error = outcome_unknown(record.backend, "it is no longer configured")
        usage = budget.usage_of_reservation(record.reserved)
        outcome = CallOutcome(status=CallStatus.UNKNOWN, usage=usage, error=error)
        self._core.finish_call(activity, outcome)

    def end_at_deadline(self, activity: Activity, record: CallRecord, error: YokelineError) -> None:
        """End a repeatable call when its run reaches its deadline."""
        activity.cancel()
        usage = budget.usage_of_reservation(record.reserved)
        outcome = CallOutcome(status=CallStatus.FAILED, usage=usage, error=error)
        self._core.finish_call(activity, outcome)


def _timeout_error(backend: str) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.BACKEND_FAILED,
        message=f"{backend} did not answer in time",
        remedy="check why it does not respond, or raise its timeout_seconds",
        execution=Execution.UNKNOWN,
    )


def _previous_leader_error(backend: str) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.BACKEND_FAILED,
        message=f"the leader that called {backend} was replaced before the outcome was recorded",
        remedy="none needed; the call is repeated while attempts are left",
        execution=Execution.UNKNOWN,
    )
