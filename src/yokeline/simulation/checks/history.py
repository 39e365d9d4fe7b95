"""A run's history is not lost and not mixed with another's."""

from __future__ import annotations

import msgspec

from yokeline.emulator.engine.prompt import PromptMessage
from yokeline.simulation.checks.backend_view import (
    ModelCall,
    markers_in,
    model_calls,
    record_of_marker,
)
from yokeline.simulation.checks.result import CheckResult, Point
from yokeline.simulation.outcomes import (
    FINAL_RUN_STATUSES,
    STATUS_ACCEPTED,
    STATUS_OK,
    STATUS_SERVER_ERROR,
    ProblemView,
    RunView,
    answer_of,
)
from yokeline.simulation.records import Books, RunAudit, RunRecord

STATUS_NOT_FOUND = 404


def check_history(books: Books) -> CheckResult:
    """Contexts grow and belong to one request; recorded runs can be read, by their tenant."""
    result = CheckResult(point=Point.HISTORY)
    calls = model_calls(books)
    _check_contexts_grow(result, calls)
    _check_contexts_are_unmixed(result, books, calls)
    _check_audits(result, books)
    return result


def _check_contexts_grow(result: CheckResult, calls: list[ModelCall]) -> None:
    latest: dict[str, tuple[PromptMessage, ...]] = {}
    for model in calls:
        before = latest.get(model.call.run, ())
        common = min(len(before), len(model.messages))
        result.expect(
            before[:common] == model.messages[:common],
            f"{model.call.run}: the context of call {model.call.number} does not extend the "
            "one before",
        )
        if len(model.messages) >= len(before):
            latest[model.call.run] = model.messages


def _check_contexts_are_unmixed(result: CheckResult, books: Books, calls: list[ModelCall]) -> None:
    records = record_of_marker(books)
    roots: dict[str, RunRecord] = {}
    for model in calls:
        text = "".join(message.content or "" for message in model.messages)
        owners = _owners(text, records)
        known = roots.get(model.call.root)
        if known is not None and all(known is not owner for owner in owners):
            owners.append(known)
        result.expect(
            len(owners) == 1,
            f"{model.call.run}: its context has parts of {len(owners)} requests",
        )
        if len(owners) != 1:
            continue
        roots[model.call.root] = owners[0]
        if model.call.run == model.call.root:
            _check_turns(result, owners[0], model)


def _owners(text: str, records: dict[str, RunRecord]) -> list[RunRecord]:
    owners: list[RunRecord] = []
    for marker in sorted(markers_in(text)):
        record = records.get(marker)
        if record is not None and all(record is not owner for owner in owners):
            owners.append(record)
    return owners


def _check_turns(result: CheckResult, record: RunRecord, model: ModelCall) -> None:
    inputs = [turn.input for turn in record.turns]
    asked = [message.content for message in model.messages if message.role == "user"]
    result.expect(
        asked == inputs[: len(asked)],
        f"{model.call.run}: its context has not the turns that its caller sent, in order",
    )
    said = {message.content for message in model.messages if message.role == "assistant"}
    for turn in record.turns[: len(asked) - 1]:
        if turn.answer is not None:
            result.expect(
                turn.answer in said,
                f"{model.call.run}: the answer to {turn.marker} is not in the context after it",
            )


def _check_audits(result: CheckResult, books: Books) -> None:
    records = {record.run: record for record in books.runs if record.run}
    for audit in books.run_audits:
        if audit.asked_as != audit.tenant:
            result.expect(
                _tells_nothing(audit),
                f"{audit.run}: {audit.asked_as} got status {audit.status} for a run of "
                f"{audit.tenant}",
            )
        else:
            _check_own_audit(result, records[audit.run], audit)


def _tells_nothing(audit: RunAudit) -> bool:
    """Return whether an answer is one that a run that does not exist could get as well."""
    unavailable = audit.status is None or audit.status >= STATUS_SERVER_ERROR
    return (audit.status == STATUS_NOT_FOUND or unavailable) and not run_status_of(audit)


def _check_own_audit(result: CheckResult, record: RunRecord, audit: RunAudit) -> None:
    acknowledged = any(
        attempt.status in (STATUS_OK, STATUS_ACCEPTED)
        for turn in record.turns
        for attempt in turn.attempts
    )
    if acknowledged:
        result.expect(
            audit.status not in (None, STATUS_NOT_FOUND),
            f"{audit.run}: it was acknowledged, and reading it at the end gives status "
            f"{audit.status}",
        )
    if audit.status is None:
        return
    status = run_status_of(audit)
    result.expect(
        status in FINAL_RUN_STATUSES or (not acknowledged and not status),
        f"{audit.run}: it is still {status or 'unknown'} at the end",
    )
    last = record.turns[-1]
    if audit.status == STATUS_OK and last.answer is not None:
        view = msgspec.json.decode(audit.body, type=RunView)
        result.expect(
            answer_of(view) == last.answer,
            f"{audit.run}: its answer at the end is not the one that its caller got",
        )


def run_status_of(audit: RunAudit) -> str:
    """Return the status of a run as an audit read it; empty if it was not told."""
    if audit.status in (STATUS_OK, STATUS_ACCEPTED):
        return msgspec.json.decode(audit.body, type=RunView).status
    try:
        return msgspec.json.decode(audit.body, type=ProblemView).run_status
    except msgspec.DecodeError:
        return ""
