"""Creates and updates run and call records for the state machine."""

from __future__ import annotations

import msgspec
import xxhash

from yokeline.errors import YokelineError
from yokeline.runs.budget import usage_of_reservation
from yokeline.runs.model import (
    CallRecord,
    CallStarted,
    CallStatus,
    ChatMessage,
    CreateRun,
    RefuseRun,
    Role,
    Run,
    RunStatus,
)
from yokeline.runs.rules import as_not_run


def new_run(command: CreateRun) -> Run:
    """Return the active run that a command creates."""
    return Run(
        run=command.run,
        spec=command.spec,
        status=RunStatus.ACTIVE,
        created_wall=command.wall,
        turn_started_wall=command.wall,
        parent=command.parent,
        history=[ChatMessage(role=Role.USER, content=command.input)],
    )


def new_refused_run(command: RefuseRun) -> Run:
    """Return the run that records a request refused before its run was created."""
    return Run(
        run=command.run,
        spec=command.spec,
        status=RunStatus.REFUSED,
        created_wall=command.wall,
        turn_started_wall=command.wall,
        finished_wall=command.wall,
        error=as_not_run(command.error),
    )


def new_call_record(command: CallStarted, may_have_run: bool) -> CallRecord:
    """Return the record of a started attempt.

    Args:
        command: Describes the attempt.
        may_have_run: Whether the back end may have executed an earlier attempt of the call.
    """
    return CallRecord(
        number=command.number,
        attempt=command.attempt,
        kind=command.kind,
        backend=command.backend,
        status=CallStatus.STARTED,
        repeatable=command.repeatable,
        fence=command.fence,
        reserved=command.reserved,
        started_wall=command.wall,
        reason=command.reason,
        tool_request=command.tool_request,
        may_have_run=may_have_run,
    )


def abandoned_call_record(call: CallRecord, wall: float, error: YokelineError | None) -> CallRecord:
    """Return the record of an abandoned call, which is charged its whole reservation."""
    return msgspec.structs.replace(
        call,
        status=CallStatus.UNKNOWN,
        finished_wall=wall,
        usage=usage_of_reservation(call.reserved),
        error=error,
        may_have_run=True,
    )


def set_answer(run: Run, answer: str, error: YokelineError | None) -> None:
    """Set a run's answer, the answer's digest and the error."""
    run.answer = answer
    run.answer_digest = answer_digest(answer)
    run.error = error


def end_run(run: Run, status: RunStatus, wall: float) -> None:
    """Set a final or idle status and the time at which the run became final or idle."""
    run.status = status
    run.finished_wall = wall


def answer_digest(answer: str) -> str:
    """Return the hex XXH3-64 digest of an answer's UTF-8 bytes; empty for an empty answer."""
    return xxhash.xxh3_64_hexdigest(answer.encode()) if answer else ""
