"""How a caller reads the answers it gets."""

from __future__ import annotations

import enum

import msgspec

from yokeline.effects import HttpFailed, HttpResponse
from yokeline.simulation.records import Attempt, RunRecord, TurnRecord

FINAL_RUN_STATUSES = frozenset(
    {"succeeded", "failed", "cancelled", "refused", "outcome_unknown", "idle"}
)
RETRIED_STATUSES = frozenset({401, 408, 425, 429})
"""Client errors that pass; 401 while a node does not know the tenants yet."""
RUN_HEADER = "yokeline-run"
STATUS_OK = 200
STATUS_ACCEPTED = 202
STATUS_SERVER_ERROR = 500


class Verdict(enum.Enum):
    """What a caller does after an answer."""

    FINAL = "final"
    RETRY = "retry"


class RunView(msgspec.Struct, frozen=True, kw_only=True):
    """The part of a run's JSON that callers here read."""

    run: str
    status: str
    execution: str
    answer: msgspec.Raw = msgspec.Raw(b"null")
    length: int = 0
    digest: str = ""
    turn: int = 0


class ProblemView(msgspec.Struct, frozen=True, kw_only=True):
    """The part of a problem document that callers here read."""

    kind: str
    execution: str = ""
    run: str = ""
    run_status: str = ""


def note_answer(
    record: RunRecord,
    turn: TurnRecord,
    attempt: Attempt,
    answer: HttpResponse | HttpFailed,
    *,
    wait: bool,
) -> Verdict:
    """Write an answer into the books; return whether the caller is done."""
    if isinstance(answer, HttpFailed):
        attempt.failure = answer.reason
        return Verdict.RETRY
    attempt.status = answer.status
    attempt.body = answer.body
    record.run = record.run or answer.headers.get(RUN_HEADER, "")
    if answer.status in (STATUS_OK, STATUS_ACCEPTED):
        return _note_run(record, turn, attempt, answer, wait=wait)
    return _note_problem(record, turn, answer)


def answer_of(view: RunView) -> str | None:
    """Return the answer in a run's JSON: text, or JSON text of an app's answer."""
    value = msgspec.json.decode(view.answer)
    if value is None or isinstance(value, str):
        return value
    return bytes(view.answer).decode()


def _note_run(
    record: RunRecord, turn: TurnRecord, attempt: Attempt, answer: HttpResponse, *, wait: bool
) -> Verdict:
    view = msgspec.json.decode(answer.body, type=RunView)
    record.run = record.run or view.run
    turn.execution = view.execution
    turn.problem = ""
    if answer.status == STATUS_ACCEPTED:
        return Verdict.RETRY if wait else Verdict.FINAL
    turn.answer = answer_of(view)
    turn.answered_at = attempt.answered_at
    return Verdict.FINAL


def _note_problem(record: RunRecord, turn: TurnRecord, answer: HttpResponse) -> Verdict:
    try:
        problem = msgspec.json.decode(answer.body, type=ProblemView)
    except msgspec.DecodeError:
        turn.problem = f"status {answer.status} without a problem document"
        return Verdict.RETRY
    turn.execution = problem.execution
    turn.problem = problem.kind
    turn.run_status = problem.run_status
    record.run = record.run or problem.run
    if problem.run_status in FINAL_RUN_STATUSES:
        return Verdict.FINAL
    if answer.status >= STATUS_SERVER_ERROR or answer.status in RETRIED_STATUSES:
        return Verdict.RETRY
    return Verdict.FINAL
