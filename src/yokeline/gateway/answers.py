"""Runs as JSON answers, and what they say about execution."""

from __future__ import annotations

import msgspec

from yokeline.errors import ErrorKind, Execution, YokelineError
from yokeline.gateway.problems import Problem, problem_of
from yokeline.runs.model import CallRecord, CallStatus, Run, RunStatus, Usage

STATUS_OK = 200
STATUS_ACCEPTED = 202


class CallAnswer(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One call of a run, with why its back end was chosen."""

    number: int
    attempt: int
    kind: str
    backend: str
    status: str
    reason: str
    started: float
    finished: float | None = None
    usage: Usage = Usage()
    tool: str = ""
    problem: Problem | None = None


class RunAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A run as callers see it.

    Attributes:
        execution: ``not_run``, ``done`` or ``unknown``.
        answer: Text of an agent's answer, or the JSON answer of an app as it was sent.
        length: Characters of the answer's text.
        digest: xxh3 64 hex of the answer's UTF-8.
        created: Wall seconds.
        finished: Wall seconds; None while it is active.
    """

    run: str
    program: str
    status: str
    execution: str
    turn: int
    answer: str | msgspec.Raw | None
    length: int
    digest: str
    usage: Usage
    calls: tuple[CallAnswer, ...]
    labels: dict[str, str]
    created: float
    finished: float | None


class RunProblem(Problem, frozen=True, kw_only=True, omit_defaults=True):
    """A problem that is the outcome of a run: with what the run did and used."""

    usage: Usage = Usage()
    calls: tuple[CallAnswer, ...] = ()


def is_answered(run: Run) -> bool:
    """Return whether the run's current turn has an answer.

    A conversation goes on after a turn that failed: it is idle, and its error says why.
    """
    if run.status is RunStatus.IDLE:
        return run.error is None
    return run.status is RunStatus.SUCCEEDED


def execution_of(run: Run) -> Execution:
    """Return whether a run (a conversation's turn) had an effect, as far as its log tells."""
    if is_answered(run):
        return Execution.DONE
    if run.status is RunStatus.REFUSED:
        return Execution.NOT_RUN
    if run.status in (RunStatus.OUTCOME_UNKNOWN, RunStatus.ACTIVE):
        return Execution.UNKNOWN
    own = [call for call in run.calls if call.number >= run.turn_first_call]
    outcomes = {_execution_of_call(call) for call in own}
    for outcome in (Execution.UNKNOWN, Execution.DONE):
        if outcome in outcomes:
            return outcome
    return Execution.NOT_RUN


def _execution_of_call(call: CallRecord) -> Execution:
    if call.status is CallStatus.SUCCEEDED:
        return Execution.DONE
    if call.status is CallStatus.FAILED and not call.may_have_run:
        return Execution.NOT_RUN
    if call.error is not None and call.error.execution is Execution.DONE:
        return Execution.DONE
    return Execution.UNKNOWN


def run_answer(run: Run) -> RunAnswer:
    """Return a run as callers see it."""
    return RunAnswer(
        run=run.run,
        program=run.spec.program,
        status=run.status.value,
        execution=execution_of(run).value,
        turn=run.turn,
        answer=_answer_value(run),
        length=len(run.answer),
        digest=run.answer_digest,
        usage=run.spent,
        calls=tuple(_call_answer(call) for call in run.calls),
        labels=run.spec.labels,
        created=run.created_wall,
        finished=run.finished_wall,
    )


def run_problem(run: Run) -> RunProblem:
    """Return the problem document of a run that ended without an answer."""
    base = problem_of(run_error(run))
    return RunProblem(
        **{name: getattr(base, name) for name in base.__struct_fields__}
        | {"run": run.run, "run_status": run.status.value},
        usage=run.spent,
        calls=tuple(_call_answer(call) for call in run.calls),
    )


def run_error(run: Run) -> YokelineError:
    """Return why a run ended without an answer; its claim about execution is the log's."""
    error = run.error
    if error is None:
        error = YokelineError(
            kind=ErrorKind.INTERNAL,
            message=f"the run ended as {run.status.value} without a reason",
            remedy="report it with the run's id",
        )
    return msgspec.structs.replace(error, execution=execution_of(run))


def run_status_code(run: Run) -> int | None:
    """Return the HTTP status of a run, None if it is its error's."""
    if is_answered(run):
        return STATUS_OK
    if run.status is RunStatus.ACTIVE:
        return STATUS_ACCEPTED
    return None


def _answer_value(run: Run) -> str | msgspec.Raw | None:
    if not is_answered(run):
        return None
    if not run.spec.app:
        return run.answer
    try:
        msgspec.json.decode(run.answer)
    except (msgspec.DecodeError, RecursionError):
        return run.answer
    return msgspec.Raw(run.answer)


def _call_answer(call: CallRecord) -> CallAnswer:
    request = call.tool_request
    return CallAnswer(
        number=call.number,
        attempt=call.attempt,
        kind=call.kind.value,
        backend=call.backend,
        status=call.status.value,
        reason=call.reason,
        started=call.started_wall,
        finished=call.finished_wall,
        usage=call.usage,
        tool=request.name if request is not None else "",
        problem=problem_of(call.error) if call.error is not None else None,
    )
