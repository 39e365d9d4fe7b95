"""Whole answers to the own request, true refusals, and at most once."""

from __future__ import annotations

from collections import Counter

import msgspec
import xxhash

from yokeline.emulator.request_service import LookupBody
from yokeline.runs.events import FinishedEvent
from yokeline.simulation.callers import MUTATING_TOOLS
from yokeline.simulation.checks.backend_view import (
    KEY_HEADER,
    markers_in,
    model_calls,
    was_taken,
)
from yokeline.simulation.checks.result import CheckResult, Point
from yokeline.simulation.outcomes import STATUS_OK, ProblemView, RunView
from yokeline.simulation.records import (
    Attempt,
    Books,
    RequestKind,
    RunRecord,
    TurnRecord,
    WatchRecord,
)

NOT_RUN = "not_run"
TOOL_FAULTS = frozenset({"tool_hang", "tool_crash", "backend_errors"})
APP_KINDS = (RequestKind.POSTING, RequestKind.LOOKUP)


class _ToolArguments(msgspec.Struct, frozen=True):
    marker: str = ""
    step: int = 0


class _ToolBody(msgspec.Struct, frozen=True):
    arguments: _ToolArguments = _ToolArguments()


def check_answers(books: Books) -> CheckResult:
    """Every answer is whole, and the one to its own request."""
    result = CheckResult(point=Point.WHOLE_ANSWERS)
    replies = _app_replies(books)
    for record in books.runs:
        for turn in record.turns:
            if turn.answer is None:
                continue
            if record.kind in APP_KINDS:
                _check_app_answer(result, turn, replies.get(turn.marker, []))
            else:
                _check_text_answer(result, turn)
        if record.watch is not None:
            _check_watch(result, record, record.watch)
    return result


def check_refusals(books: Books) -> CheckResult:
    """What was refused as not run had no effect before, and after the last word never."""
    result = CheckResult(point=Point.TRUE_REFUSALS)
    effects = _effect_times(books)
    for record in books.runs:
        for turn in record.turns:
            times = effects.get(turn.marker, [])
            for attempt in turn.attempts:
                answered = attempt.answered_at
                if answered is None or not _claims_not_run(attempt):
                    continue
                result.expect(
                    all(time > answered for time in times),
                    f"{turn.marker}: refused as not run at {answered:.3f}, ran at {times}",
                )
            if turn.execution == NOT_RUN:
                result.expect(not times, f"{turn.marker}: refused as not run, ran at {times}")
    return result


def check_at_most_once(books: Books) -> CheckResult:
    """What may not be repeated is applied once at most, and once if it is answered."""
    result = CheckResult(point=Point.AT_MOST_ONCE)
    postings, steps = _applied_counts(books)
    for record in books.runs:
        if record.kind is RequestKind.POSTING:
            turn = record.turns[0]
            count = postings[turn.marker]
            result.expect(count <= 1, f"{turn.marker}: posted {count} times")
            if turn.answer is not None:
                result.expect(count >= 1, f"{turn.marker}: answered, and never applied")
    for (marker, step, tool), count in sorted(steps.items()):
        if tool in MUTATING_TOOLS:
            result.expect(count <= 1, f"{marker}: step {step} ({tool}) ran {count} times")
    if any(fault.kind in TOOL_FAULTS for fault in books.faults):
        return result  # a model may go on after a tool that failed
    for record in books.runs:
        for turn in record.turns:
            if turn.answer is not None and record.kind not in APP_KINDS:
                done = {step for marker, step, _ in steps if marker == turn.marker}
                result.expect(
                    len(done) >= record.steps,
                    f"{turn.marker}: answered after {len(done)} of {record.steps} steps",
                )
    return result


# ---------------------------------------------------------------- answers


def _app_replies(books: Books) -> dict[str, list[object]]:
    """Return what apps answered, by marker: to the request itself and to look-ups."""
    marker_of_key: dict[str, str] = {}
    replies: dict[str, list[object]] = {}
    for request in books.backend_requests:
        if not request.host.startswith("app-") or request.status != STATUS_OK:
            continue
        if request.method == "POST" and not request.aborted:
            for marker in sorted(markers_in(request.body.decode())):
                marker_of_key[request.headers.get(KEY_HEADER, "")] = marker
                replies.setdefault(marker, []).append(msgspec.json.decode(request.reply))
    for applied in books.applied:
        for marker in sorted(markers_in(applied.body.decode())):
            marker_of_key[applied.key] = marker
    for request in books.backend_requests:
        if request.method != "GET" or request.status != STATUS_OK:
            continue
        for key, marker in marker_of_key.items():
            if key and request.path.endswith(key):
                body = msgspec.json.decode(request.reply, type=LookupBody)
                if body.response:
                    replies.setdefault(marker, []).append(msgspec.json.decode(body.response))
    return replies


def _check_app_answer(result: CheckResult, turn: TurnRecord, replies: list[object]) -> None:
    assert turn.answer is not None
    result.expect(
        msgspec.json.decode(turn.answer) in replies,
        f"{turn.marker}: answered {turn.answer}, the app said {replies}",
    )


def _check_text_answer(result: CheckResult, turn: TurnRecord) -> None:
    assert turn.answer is not None
    result.expect(
        turn.answer == turn.expected,
        f"{turn.marker}: answered {turn.answer[:60]!r}, not {(turn.expected or '')[:60]!r}",
    )
    view = msgspec.json.decode(turn.attempts[-1].body, type=RunView)
    whole = view.length == len(turn.answer) and view.digest == _digest(turn.answer)
    result.expect(whole, f"{turn.marker}: length or digest is not the answer's")


def _check_watch(result: CheckResult, record: RunRecord, watch: WatchRecord) -> None:
    marker = record.turns[0].marker
    result.expect(not watch.problems, f"{marker}: its events have gaps: {watch.problems[:3]}")
    result.expect(len(watch.finished) <= 1, f"{marker}: {len(watch.finished)} final events")
    for data in watch.finished:
        event = msgspec.json.decode(data, type=FinishedEvent)
        whole = event.length == len(event.answer) and event.digest in ("", _digest(event.answer))
        result.expect(whole, f"{marker}: length or digest is not the final event's answer's")
        if event.answer:
            last = watch.texts[max(watch.texts)] if watch.texts else ""
            # The final event carries the whole answer; a watcher may lack the end of the text.
            result.expect(
                event.answer.startswith(last) and event.answer == record.turns[0].expected,
                f"{marker}: streamed {last!r}, final event {event.answer!r}",
            )


def _digest(text: str) -> str:
    return xxhash.xxh3_64_hexdigest(text.encode())


# ---------------------------------------------------------------- effects


def _claims_not_run(attempt: Attempt) -> bool:
    if attempt.status is None or attempt.status < 400:
        return False
    try:
        return msgspec.json.decode(attempt.body, type=ProblemView).execution == NOT_RUN
    except msgspec.DecodeError:
        return False


def _effect_times(books: Books) -> dict[str, list[float]]:
    """Return by marker when back ends applied a request or took a model call."""
    times: dict[str, list[float]] = {}
    for applied in books.applied:
        for marker in sorted(markers_in(applied.body.decode())):
            times.setdefault(marker, []).append(applied.applied_at)
    for model in model_calls(books):
        if not was_taken(model.call.request):
            continue
        asked = [message.content or "" for message in model.messages if message.role == "user"]
        for marker in sorted(markers_in(asked[-1] if asked else "")):
            times.setdefault(marker, []).append(model.call.request.arrived_at)
    return times


def _applied_counts(books: Books) -> tuple[Counter[str], Counter[tuple[str, int, str]]]:
    """Return how often each posting, and each step of a script, was applied."""
    postings: Counter[str] = Counter()
    steps: Counter[tuple[str, int, str]] = Counter()
    for applied in books.applied:
        if applied.host.startswith("app-"):
            postings.update(markers_in(applied.body.decode()))
            continue
        arguments = msgspec.json.decode(applied.body, type=_ToolBody).arguments
        steps[arguments.marker, arguments.step, applied.operation] += 1
    return postings, steps
