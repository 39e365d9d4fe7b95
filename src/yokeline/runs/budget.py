"""Budget of a run tree: reserved when a call starts, settled when it finishes. Pure.

``spent`` and ``reserved`` of a run include its descendants, so the root run's figures are
those of the whole tree and every check reads one place. A call is allowed if what is spent,
what is reserved and its own reservation together stay within the root's budget.
"""

from __future__ import annotations

import msgspec
from returns.result import Failure, Result, Success

from yokeline.errors import YokelineError
from yokeline.runs.errors import budget_exhausted
from yokeline.runs.model import (
    Budget,
    CallKind,
    CallRecord,
    CallStarted,
    Reservation,
    Run,
    ToolRequest,
    Usage,
)


def token_cost(usage: Usage) -> int:
    """Return the tokens that count against a budget: prompt not in cache plus completion."""
    return max(0, usage.prompt_tokens - usage.cached_tokens) + usage.completion_tokens


def add_reservation(left: Reservation, right: Reservation) -> Reservation:
    """Return the sum of two reservations."""
    return Reservation(
        tokens=left.tokens + right.tokens,
        tool_seconds=left.tool_seconds + right.tool_seconds,
        calls=left.calls + right.calls,
    )


def subtract_reservation(left: Reservation, right: Reservation) -> Reservation:
    """Return ``left`` without ``right``; never below nothing (sums of floats round)."""
    return Reservation(
        tokens=max(0, left.tokens - right.tokens),
        tool_seconds=max(0.0, left.tool_seconds - right.tool_seconds),
        calls=max(0, left.calls - right.calls),
    )


def usage_of_reservation(reservation: Reservation) -> Usage:
    """Return the usage charged for an attempt whose real usage will never be known."""
    return Usage(
        prompt_tokens=reservation.tokens,
        tool_seconds=reservation.tool_seconds,
        calls=reservation.calls,
    )


def remaining(root: Run) -> Reservation:
    """Return what a tree has left of its budget (never below nothing)."""
    budget = root.spec.budget
    tool_seconds = budget.tool_seconds - root.spent.tool_seconds - root.reserved.tool_seconds
    return Reservation(
        tokens=max(0, budget.tokens - token_cost(root.spent) - root.reserved.tokens),
        tool_seconds=max(0.0, tool_seconds),
        calls=max(0, budget.calls - root.spent.calls - root.reserved.calls),
    )


def check_reservation(root: Run, reservation: Reservation) -> Result[None, YokelineError]:
    """Check a reservation against what the tree has left.

    Args:
        root: The root run of the tree.
        reservation: What the next call sets aside.

    Returns:
        Success, or a ``BUDGET_EXHAUSTED`` failure that names the first limit passed.
    """
    budget = root.spec.budget
    left = remaining(root)
    if reservation.calls > left.calls:
        return Failure(budget_exhausted("calls", budget.calls))
    if reservation.tokens > left.tokens:
        return Failure(budget_exhausted("tokens", budget.tokens))
    if reservation.tool_seconds > left.tool_seconds:
        return Failure(budget_exhausted("tool seconds", budget.tool_seconds))
    return Success(None)


def check_call(root: Run, run: Run, command: CallStarted) -> Result[None, YokelineError]:
    """Check all limits for a call that is about to start.

    A further attempt of the last call is no new step of the program, so the limits against
    loops do not apply to it.
    """
    in_time = check_wall(root, command.wall)
    if isinstance(in_time, Failure):
        return in_time
    if command.attempt == 1:
        looping = check_loops(run, command.kind, command.tool_request)
        if isinstance(looping, Failure):
            return looping
    return check_reservation(root, command.reserved)


def check_wall(root: Run, wall: float) -> Result[None, YokelineError]:
    """Check the wall time that the root's current turn has taken."""
    limit = root.spec.budget.wall_seconds
    if wall - root.turn_started_wall >= limit:
        return Failure(budget_exhausted("wall seconds", limit))
    return Success(None)


def check_loops(
    run: Run, kind: CallKind, request: ToolRequest | None
) -> Result[None, YokelineError]:
    """Check the limits that end a program which loops: turns and identical calls.

    Args:
        run: The run that the new call belongs to.
        kind: Kind of the new call.
        request: The tool request it carries out, if any.

    Returns:
        Success, or a ``BUDGET_EXHAUSTED`` failure.
    """
    budget = run.spec.budget
    if kind is CallKind.MODEL and _model_calls(run) >= budget.turns:
        return Failure(budget_exhausted("model calls", budget.turns))
    if request is not None and _identical_calls(run, request) >= budget.identical_calls:
        return Failure(budget_exhausted("identical tool calls", budget.identical_calls))
    return Success(None)


def reserve(run: Run, reservation: Reservation) -> None:
    """Set a reservation aside in one run of the chain up to the root."""
    run.reserved = add_reservation(run.reserved, reservation)


def settle(run: Run, reservation: Reservation, usage: Usage) -> None:
    """Replace a reservation by what was used, in one run of the chain up to the root."""
    run.reserved = subtract_reservation(run.reserved, reservation)
    run.spent = run.spent.plus(usage)


def charged_usage(usage: Usage, *, definitely_not_run: bool) -> Usage:
    """Return the usage to charge for an attempt: one call unless it definitely did not run."""
    return msgspec.structs.replace(usage, calls=0 if definitely_not_run else 1)


def smaller_budget(left: Budget, right: Budget) -> Budget:
    """Return the limits that satisfy both budgets (a child within its parent)."""
    return Budget(
        tokens=min(left.tokens, right.tokens),
        calls=min(left.calls, right.calls),
        tool_seconds=min(left.tool_seconds, right.tool_seconds),
        wall_seconds=min(left.wall_seconds, right.wall_seconds),
        turns=min(left.turns, right.turns),
        identical_calls=min(left.identical_calls, right.identical_calls),
    )


def _model_calls(run: Run) -> int:
    return sum(1 for call in run.calls if call.kind is CallKind.MODEL)


def _identical_calls(run: Run, request: ToolRequest) -> int:
    """Return how many calls in a row, up to the turn's last one, carried out the request."""
    count = 0
    for call in reversed(run.calls):
        if call.number < run.turn_first_call:
            break
        if call.tool_request is None:
            continue
        if not _same_request(call, request):
            break
        count += 1
    return count


def _same_request(call: CallRecord, request: ToolRequest) -> bool:
    earlier = call.tool_request
    if earlier is None:
        return False
    return earlier.name == request.name and earlier.arguments == request.arguments
