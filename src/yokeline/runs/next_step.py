"""Determines a run's next step: a pure function of its replicated state and the wall time."""

from __future__ import annotations

import msgspec

from yokeline.errors import ErrorKind, Execution, YokelineError
from yokeline.runs import budget, rules
from yokeline.runs.errors import deadline_exceeded
from yokeline.runs.model import (
    CallKind,
    CallRecord,
    CallStatus,
    Role,
    Run,
    RunStatus,
    ToolRequest,
)

DEADLINE_RETRY_AFTER_SECONDS = 1.0
REFUSED_ATTEMPTS_FACTOR = 4
"""Factor on the attempt limit for attempts that the back end refused before execution."""


class StepLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits from the node's settings.

    Attributes:
        call_attempts: Maximum number of attempts of a repeatable call.
    """

    call_attempts: int


class StartCall(msgspec.Struct, frozen=True, kw_only=True):
    """Start a call, or another attempt of a call.

    Attributes:
        request: The model's tool request that the call carries out, if any.
        failed_attempt: For a retry, the record of the previous attempt.
    """

    kind: CallKind
    number: int
    attempt: int
    request: ToolRequest | None = None
    failed_attempt: CallRecord | None = None


class RecoverCall(msgspec.Struct, frozen=True, kw_only=True):
    """Take over a call that was started before this activity, usually by a previous leader."""

    call: CallRecord


class EndRun(msgspec.Struct, frozen=True, kw_only=True):
    """Give the run a final status, or idle status at the end of a conversation's turn."""

    status: RunStatus
    answer: str = ""
    error: YokelineError | None = None


class RefuseRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Refuse the request: no call has started and none will."""

    error: YokelineError


NextStep = StartCall | RecoverCall | EndRun | RefuseRequest


def next_step(run: Run, root: Run, limits: StepLimits, wall: float) -> NextStep | None:
    """Return the next step of a run.

    Args:
        run: The run.
        root: The root of its tree, whose budget it shares.
        limits: Limits from the node's settings.
        wall: Current Unix time in seconds.

    Returns:
        The step, or None if the run is idle or final.
    """
    if run.status is not RunStatus.ACTIVE:
        return None
    in_flight = rules.in_flight_call(run)
    if in_flight is not None:
        return RecoverCall(call=in_flight)
    unknown = rules.unknown_outcome_call(run)
    if unknown is not None and unknown.error is not None:
        return failure_step(run, unknown.error)
    answer = turn_answer(run)
    if answer is not None:
        status = RunStatus.IDLE if run.spec.conversation else RunStatus.SUCCEEDED
        return EndRun(status=status, answer=answer)
    expired = run_deadline_error(run, root, wall)
    if expired is not None:
        return failure_step(run, expired)
    return _next_call(run, limits)


def _next_call(run: Run, limits: StepLimits) -> NextStep:
    last = rules.last_call(run)
    if last is not None and _awaits_retry(run, last):
        return _retry(run, last, limits)
    number = len(run.calls) + 1
    if run.spec.app:
        return StartCall(kind=CallKind.APP, number=number, attempt=1)
    pending = rules.pending_requests(run)
    if not pending:
        return StartCall(kind=CallKind.MODEL, number=number, attempt=1)
    request = pending[0]
    kind = CallKind.CHILD if request.name in run.spec.children else CallKind.TOOL
    return StartCall(kind=kind, number=number, attempt=1, request=request)


def _awaits_retry(run: Run, last: CallRecord) -> bool:
    needs_retry = last.status is CallStatus.FAILED and not last.answered
    return needs_retry and last.number >= run.turn_first_call


def _retry(run: Run, last: CallRecord, limits: StepLimits) -> NextStep:
    error = last.error
    if error is None or not may_retry(last.attempt, last.repeatable, error, limits):
        return failure_step(run, error or deadline_exceeded(None))
    return StartCall(
        kind=last.kind,
        number=last.number,
        attempt=last.attempt + 1,
        request=last.tool_request,
        failed_attempt=last,
    )


def may_retry(attempt: int, repeatable: bool, error: YokelineError, limits: StepLimits) -> bool:
    """Return whether a failed attempt may be followed by another attempt.

    Args:
        attempt: Number of the failed attempt.
        repeatable: Whether the call is repeatable.
        error: Error of the failed attempt.
        limits: Limits from the node's settings.
    """
    if not repeatable or error.execution is Execution.DONE:
        return False
    if error.kind is ErrorKind.BUDGET_EXHAUSTED:
        return False
    if error.execution is Execution.UNKNOWN:
        return attempt < limits.call_attempts
    if error.retry_after is None:
        return False
    return attempt < limits.call_attempts * REFUSED_ATTEMPTS_FACTOR


def turn_answer(run: Run) -> str | None:
    """Return the answer of the current turn, or None if the turn is not complete."""
    last = rules.last_call(run)
    if last is None or last.number < run.turn_first_call:
        return None
    message = run.history[-1]
    if message.role is not Role.ASSISTANT or message.tool_requests:
        return None
    return message.content


def run_deadline_wall(run: Run, root: Run) -> float:
    """Return the Unix time at which an active run exceeds its deadline or wall time budget."""
    budget_end = root.turn_started_wall + root.spec.budget.wall_seconds
    if run.spec.deadline_wall is None:
        return budget_end
    return min(budget_end, run.spec.deadline_wall)


def run_deadline_error(run: Run, root: Run, wall: float) -> YokelineError | None:
    """Return the error of a run past :func:`run_deadline_wall`, or None before that time."""
    deadline = run.spec.deadline_wall
    if deadline is not None and wall >= deadline:
        return deadline_exceeded(DEADLINE_RETRY_AFTER_SECONDS)
    wall_check = budget.check_wall(root, wall)
    return None if wall < run_deadline_wall(run, root) else wall_check.failure()


def failure_step(run: Run, error: YokelineError) -> EndRun | RefuseRequest:
    """Return the step that gives a run a final or idle status with an error.

    A run without calls is refused. A conversation becomes idle again when a turn after the
    first fails, unless the budget is exhausted.
    """
    if not run.calls:
        return RefuseRequest(error=error)
    if run.spec.conversation and run.turn > 1 and error.kind is not ErrorKind.BUDGET_EXHAUSTED:
        return EndRun(status=RunStatus.IDLE, error=error)
    unknown = error.kind is ErrorKind.OUTCOME_UNKNOWN
    status = RunStatus.OUTCOME_UNKNOWN if unknown else RunStatus.FAILED
    return EndRun(status=status, error=error)
