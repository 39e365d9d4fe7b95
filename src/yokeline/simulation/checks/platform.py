"""Engine memory, leaving back ends and planned stops."""

from __future__ import annotations

from yokeline.simulation.checks.backend_view import hang_that_held_back, model_calls
from yokeline.simulation.checks.history import run_status_of
from yokeline.simulation.checks.result import CheckResult, Point
from yokeline.simulation.faults import NODE_FAULTS
from yokeline.simulation.records import Books, Leaving, PlannedStop

LEAVING_GRACE_SECONDS = 5.0
"""What "a few seconds" means, after the list shows the mark to its readers."""
LIST_BLOCKING = frozenset({"list_down", "cut", "one_way_cut", "freeze", "loss"})
"""Faults that keep nodes from reading the machine list."""
LIVING_STATUSES = frozenset({"active", "idle"})


def check_engine_memory(books: Books) -> CheckResult:
    """At the end engines hold nothing for runs that are over, and run nothing for them."""
    result = CheckResult(point=Point.ENGINE_MEMORY)
    living = {
        audit.run
        for audit in books.run_audits
        if audit.asked_as == audit.tenant and run_status_of(audit) in LIVING_STATUSES
    }
    active = {
        audit.run
        for audit in books.run_audits
        if audit.asked_as == audit.tenant and run_status_of(audit) == "active"
    }
    for audit in books.engine_audits:
        result.expect(
            audit.busy == 0 or bool(active),
            f"{audit.engine}: {audit.busy} calls run though no run is active",
        )
        for key in audit.held:
            result.expect(key in living, f"{audit.engine}: memory is held for {key}")
        result.checks += not audit.held
    return result


def check_leaving(books: Books) -> CheckResult:
    """A leaving back end gets no new call after a few seconds."""
    result = CheckResult(point=Point.LEAVING_BACKENDS)
    for leaving in books.leaving:
        since = _known_since(books, leaving) + LEAVING_GRACE_SECONDS
        known = {
            (model.call.run, model.call.number, model.call.attempt)
            for model in model_calls(books)
            if model.call.request.host == leaving.host and model.call.request.arrived_at <= since
        }
        result.checks += 1
        for model in model_calls(books):
            request = model.call.request
            if not since < request.arrived_at < leaving.until:
                continue
            if _was_held_back(books, request.arrived_at, since):
                continue
            identity = (model.call.run, model.call.number, model.call.attempt)
            result.expect(
                request.host != leaving.host or identity in known,
                f"{leaving.host}: leaving since {leaving.since:.3f}, got call "
                f"{model.call.run}-{model.call.number} at {request.arrived_at:.3f}",
            )
    return result


def _was_held_back(books: Books, arrived_at: float, since: float) -> bool:
    """Return whether a request may have been sent in time to an engine that hung then."""
    hang = hang_that_held_back(books, arrived_at)
    return hang is not None and hang.started_at <= since


def _known_since(books: Books, leaving: Leaving) -> float:
    """Return when every node can have read the mark: nothing kept it from the list."""
    since = leaving.since
    for fault in sorted(books.faults, key=lambda fault: fault.started_at):
        ended = fault.ended_at if fault.ended_at is not None else books.ended_at
        if fault.kind in LIST_BLOCKING and fault.started_at <= since + LEAVING_GRACE_SECONDS:
            since = max(since, ended)
    return since


def check_planned_stops(books: Books) -> CheckResult:
    """A planned stop ends with exit code 0 and cuts no request that was in flight."""
    result = CheckResult(point=Point.PLANNED_STOPS)
    for stop in books.stops:
        if _disturbed(books, stop):
            continue
        result.expect(
            stop.exit_code == 0,
            f"{stop.node}: stop asked at {stop.asked_at:.3f}, exit code {stop.exit_code}",
        )
        _check_requests(result, books, stop)
    return result


def _disturbed(books: Books, stop: PlannedStop) -> bool:
    """Return whether another fault hit nodes before the stop had ended."""
    kinds = {kind.value for kind in NODE_FAULTS}
    ended = stop.ended_at if stop.ended_at is not None else books.ended_at
    return any(
        fault.kind in kinds
        and fault.started_at < ended
        and (fault.ended_at is None or fault.ended_at > stop.asked_at)
        for fault in books.faults
    )


def _check_requests(result: CheckResult, books: Books, stop: PlannedStop) -> None:
    for record in books.runs:
        attempts = [attempt for turn in record.turns for attempt in turn.attempts]
        if record.watch is not None:
            attempts.extend(record.watch.connections)
        for attempt in attempts:
            ended = attempt.answered_at if attempt.answered_at is not None else books.ended_at
            if attempt.node != stop.node or not attempt.sent_at < stop.asked_at < ended:
                continue
            result.expect(
                attempt.failure in ("", "timeout"),
                f"{record.turns[0].marker}: in flight at {stop.node} when it was stopped at "
                f"{stop.asked_at:.3f}: {attempt.failure} at {ended:.3f}",
            )
