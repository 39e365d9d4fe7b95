"""Parts of state transitions: new records of calls, answers and ends of runs."""

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


def created_run(command: CreateRun) -> Run:
    """Return the run that a command creates."""
    return Run(
        run=command.run,
        spec=command.spec,
        status=RunStatus.ACTIVE,
        created_wall=command.wall,
        turn_started_wall=command.wall,
        parent=command.parent,
        history=[ChatMessage(role=Role.USER, content=command.input)],
    )


def refused_run(command: RefuseRun) -> Run:
    """Return the record of a request that was refused before it became a run."""
    return Run(
        run=command.run,
        spec=command.spec,
        status=RunStatus.REFUSED,
        created_wall=command.wall,
        turn_started_wall=command.wall,
        finished_wall=command.wall,
        error=as_not_run(command.error),
    )


def record_of(command: CallStarted, may_have_run: bool) -> CallRecord:
    """Return the record of an attempt that starts.

    Args:
        command: The start.
        may_have_run: An attempt before may have had an effect.
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


def abandoned_record(call: CallRecord, wall: float, error: YokelineError | None) -> CallRecord:
    """Return the record of a started call that was given up: charged with all it reserved."""
    return msgspec.structs.replace(
        call,
        status=CallStatus.UNKNOWN,
        finished_wall=wall,
        usage=usage_of_reservation(call.reserved),
        error=error,
        may_have_run=True,
    )


def set_answer(run: Run, answer: str, error: YokelineError | None) -> None:
    """Give a run its answer and error."""
    run.answer = answer
    run.answer_digest = answer_digest(answer)
    run.error = error


def end_run(run: Run, status: RunStatus, wall: float) -> None:
    """Give a run a final (or idle) status."""
    run.status = status
    run.finished_wall = wall


def answer_digest(answer: str) -> str:
    """Return the digest of an answer: xxh3 64 hex of its UTF-8; empty for no answer."""
    return xxhash.xxh3_64_hexdigest(answer.encode()) if answer else ""
