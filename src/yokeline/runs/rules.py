"""Validation of commands against a run's state.

The functions are pure; ``runs.state_machine`` applies the commands that pass.
"""

from __future__ import annotations

import msgspec
from returns.result import Failure, Result, Success

from yokeline.errors import Execution, YokelineError
from yokeline.identifiers import RunId
from yokeline.runs.errors import conflict, key_reused
from yokeline.runs.model import (
    FINAL_STATUSES,
    AddTurn,
    CallFinished,
    CallKind,
    CallRecord,
    CallStarted,
    CallStatus,
    FinishRun,
    Reservation,
    Role,
    Run,
    RunSpec,
    RunStatus,
    ToolRequest,
    Usage,
)

Check = Result[None, YokelineError]
FINISH_STATUSES = FINAL_STATUSES - {RunStatus.CANCELLED, RunStatus.REFUSED} | {RunStatus.IDLE}
"""Statuses that ``FinishRun`` can set; the other final statuses have their own commands."""
CALLS_PER_RESERVATION = 1


def is_final(run: Run) -> bool:
    """Return whether a run can no longer change."""
    return run.status in FINAL_STATUSES


def last_call(run: Run) -> CallRecord | None:
    """Return a run's latest call, if any."""
    return run.calls[-1] if run.calls else None


def in_flight_call(run: Run) -> CallRecord | None:
    """Return the call that has started and not finished, if any."""
    call = last_call(run)
    if call is None or call.status is not CallStatus.STARTED:
        return None
    return call


def unknown_outcome_call(run: Run) -> CallRecord | None:
    """Return the current turn's last call if its outcome is unknown."""
    call = last_call(run)
    if call is None or call.status is not CallStatus.UNKNOWN:
        return None
    return call if call.number >= run.turn_first_call else None


def execution_of(run: Run) -> Execution:
    """Return what is known about the effects of a run's calls.

    The result is ``NOT_RUN`` if no call has started, or if every call was definitely refused
    by its back end; otherwise ``UNKNOWN``.
    """
    if all(not may_have_run(call) for call in run.calls):
        return Execution.NOT_RUN
    return Execution.UNKNOWN


def may_have_run(call: CallRecord) -> bool:
    """Return whether the back end may have executed any attempt, finished or in flight."""
    return call.may_have_run or call.status is CallStatus.STARTED


def definitely_not_run(status: CallStatus, error: YokelineError | None) -> bool:
    """Return whether an attempt's outcome proves that the back end did nothing."""
    if status is not CallStatus.FAILED or error is None:
        return False
    return error.execution is Execution.NOT_RUN


def check_same_request(run: Run, spec: RunSpec) -> Check:
    """Check that a duplicate request matches the one that created the run."""
    same_owner = run.spec.tenant == spec.tenant and run.spec.program == spec.program
    if not same_owner or run.spec.request_digest != spec.request_digest:
        return Failure(key_reused())
    return Success(None)


def check_same_turn(run: Run, command: AddTurn) -> Check:
    """Check that a duplicate of an earlier turn has the same input."""
    inputs = [message.content for message in run.history if message.role is Role.USER]
    first_input = inputs[run.turn_keys.index(command.turn_key) + 1]
    return Success(None) if first_input == command.input else Failure(key_reused())


def check_refuse(run: Run, spec: RunSpec) -> Check:
    """Check that an existing run may be refused: same request, and no call has started."""
    same = check_same_request(run, spec)
    if isinstance(same, Failure):
        return same
    if run.calls:
        return Failure(conflict(run.run, "a call has started, so the run cannot be refused"))
    if run.status not in {RunStatus.ACTIVE, RunStatus.REFUSED}:
        return Failure(conflict(run.run, f"the run is {run.status.value}"))
    return Success(None)


def as_not_run(error: YokelineError) -> YokelineError:
    """Return the error with ``execution`` set to ``NOT_RUN``."""
    return msgspec.structs.replace(error, execution=Execution.NOT_RUN)


def with_known_execution(run: Run, error: YokelineError | None) -> YokelineError | None:
    """Return the error with its ``execution`` corrected by what the run's calls show.

    An error is ``NOT_RUN`` if and only if the calls prove it; other values are kept where the
    calls leave the effect unknown.
    """
    if error is None:
        return None
    known = execution_of(run)
    if known is Execution.NOT_RUN or error.execution is Execution.NOT_RUN:
        return msgspec.structs.replace(error, execution=known)
    return error


def check_child(parent: Run | None, child: RunId, tenant: str) -> Check:
    """Check that the parent's in-flight call is a child call for this child."""
    if parent is None or is_final(parent):
        return Failure(conflict(child, "the parent run does not exist or has ended"))
    call = in_flight_call(parent)
    if call is None or call.kind is not CallKind.CHILD or call.backend != child:
        return Failure(conflict(parent.run, f"no call is in flight for child {child}"))
    if parent.spec.tenant != tenant:
        return Failure(conflict(parent.run, "the child has a different tenant than its parent"))
    return Success(None)


def check_call_started(run: Run, command: CallStarted) -> Check:
    """Check that a new call, or another attempt of the last call, may start."""
    if run.status is not RunStatus.ACTIVE:
        return Failure(conflict(run.run, f"no call may start in a run that is {run.status.value}"))
    if not _valid_reservation(command.reserved):
        return Failure(conflict(run.run, "a reservation needs calls=1 and no negative amounts"))
    last = last_call(run)
    if last is not None and command.fence < last.fence:
        return Failure(conflict(run.run, "the fence is lower than the last call's fence"))
    if last is not None and command.number == last.number:
        return _check_attempt(run, last, command)
    return _check_new_call(run, command)


def _check_new_call(run: Run, command: CallStarted) -> Check:
    if command.number != len(run.calls) + 1:
        return Failure(conflict(run.run, f"{command.number} is not the next call number"))
    if command.attempt != 1:
        return Failure(conflict(run.run, "the first attempt of a call must have number 1"))
    if in_flight_call(run) is not None:
        return Failure(conflict(run.run, "the previous call has not finished"))
    if unknown_outcome_call(run) is not None:
        return Failure(conflict(run.run, "the outcome of the previous call is unknown"))
    return Success(None)


def _check_attempt(run: Run, last: CallRecord, command: CallStarted) -> Check:
    if not (last.repeatable and command.repeatable):
        return Failure(conflict(run.run, f"call {last.number} is not repeatable"))
    if command.attempt != last.attempt + 1:
        return Failure(conflict(run.run, f"{command.attempt} is not the next attempt number"))
    if last.answered or last.status not in {CallStatus.STARTED, CallStatus.FAILED}:
        return Failure(conflict(run.run, f"call {last.number} already has a final outcome"))
    if command.kind is not last.kind or command.tool_request != last.tool_request:
        return Failure(conflict(run.run, "an attempt cannot change the kind or the tool request"))
    return Success(None)


def check_call_finished(run: Run, command: CallFinished, child: Run | None) -> Check:
    """Check that an outcome is valid for the in-flight attempt.

    Args:
        run: The run.
        command: The outcome.
        child: For a child call, the child run if it exists.
    """
    call = in_flight_call(run)
    if is_final(run) or call is None:
        return Failure(conflict(run.run, "no call is in flight"))
    if (command.number, command.attempt) != (call.number, call.attempt):
        return Failure(conflict(run.run, "the outcome is for another attempt"))
    if command.status is CallStatus.STARTED:
        return Failure(conflict(run.run, "an outcome must be succeeded, failed or unknown"))
    if command.status is CallStatus.SUCCEEDED and command.message is None:
        return Failure(conflict(run.run, "a successful call must have a message"))
    if command.status is CallStatus.UNKNOWN and command.message is not None:
        return Failure(conflict(run.run, "a call with unknown outcome cannot have a message"))
    if not _valid_usage(command.usage):
        return Failure(conflict(run.run, "usage amounts cannot be negative"))
    if child is not None and not is_final(child):
        return Failure(conflict(run.run, f"child {child.run} has not ended"))
    return Success(None)


def check_finish(run: Run, command: FinishRun) -> Check:
    """Check that a run may change to the final or idle status of a command."""
    if run.status is not RunStatus.ACTIVE:
        return Failure(conflict(run.run, f"the run is {run.status.value}"))
    if command.status not in FINISH_STATUSES:
        return Failure(conflict(run.run, f"a run cannot be finished as {command.status.value}"))
    if in_flight_call(run) is not None:
        return Failure(conflict(run.run, "a call is in flight"))
    if command.status is RunStatus.IDLE and not run.spec.conversation:
        return Failure(conflict(run.run, "only a conversation can become idle"))
    if command.error is None and command.status not in {RunStatus.SUCCEEDED, RunStatus.IDLE}:
        return Failure(conflict(run.run, "an unsuccessful run must have an error"))
    allowed = {RunStatus.OUTCOME_UNKNOWN, RunStatus.IDLE}
    if unknown_outcome_call(run) is not None and command.status not in allowed:
        return Failure(conflict(run.run, "the outcome of its last call is unknown"))
    if unknown_outcome_call(run) is not None and command.error is None:
        return Failure(conflict(run.run, "a turn with an unknown outcome must have an error"))
    return Success(None)


def _valid_reservation(reservation: Reservation) -> bool:
    amounts_valid = reservation.tokens >= 0 and reservation.tool_seconds >= 0
    return amounts_valid and reservation.calls == CALLS_PER_RESERVATION


def _valid_usage(usage: Usage) -> bool:
    counts = (usage.prompt_tokens, usage.cached_tokens, usage.completion_tokens, usage.calls)
    return min(counts) >= 0 and usage.tool_seconds >= 0


def pending_requests(run: Run) -> tuple[ToolRequest, ...]:
    """Return the model's tool requests without an answer in the current turn, in order."""
    answered: set[str] = set()
    for message in reversed(run.history):
        if message.tool_request:
            answered.add(message.tool_request)
            continue
        requests = message.tool_requests
        return tuple(request for request in requests if request.identity not in answered)
    return ()
