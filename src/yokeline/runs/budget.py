"""Budget accounting of a run tree: a call reserves budget at its start and settles at its end.

``spent`` and ``reserved`` of a run include its descendants, so the root run holds the totals
of the tree. A call may start if the root's spent and reserved amounts plus the call's own
reservation stay within the root's budget. The functions do no I/O.
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
    """Return the tokens charged to a budget: uncached prompt tokens plus completion tokens."""
    return max(0, usage.prompt_tokens - usage.cached_tokens) + usage.completion_tokens


def add_reservation(left: Reservation, right: Reservation) -> Reservation:
    """Return the sum of two reservations."""
    return Reservation(
        tokens=left.tokens + right.tokens,
        tool_seconds=left.tool_seconds + right.tool_seconds,
        calls=left.calls + right.calls,
    )


def subtract_reservation(left: Reservation, right: Reservation) -> Reservation:
    """Return ``left`` minus ``right``, clamped at zero against floating-point rounding."""
    return Reservation(
        tokens=max(0, left.tokens - right.tokens),
        tool_seconds=max(0.0, left.tool_seconds - right.tool_seconds),
        calls=max(0, left.calls - right.calls),
    )


def usage_of_reservation(reservation: Reservation) -> Usage:
    """Return the usage charged for an attempt whose actual usage is unknown."""
    return Usage(
        prompt_tokens=reservation.tokens,
        tool_seconds=reservation.tool_seconds,
        calls=reservation.calls,
    )


def remaining(root: Run) -> Reservation:
    """Return the unreserved, unspent budget of a tree, clamped at zero."""
    budget = root.spec.budget
    tool_seconds = budget.tool_seconds - root.spent.tool_seconds - root.reserved.tool_seconds
    return Reservation(
        tokens=max(0, budget.tokens - token_cost(root.spent) - root.reserved.tokens),
        tool_seconds=max(0.0, tool_seconds),
        calls=max(0, budget.calls - root.spent.calls - root.reserved.calls),
    )


def check_reservation(root: Run, reservation: Reservation) -> Result[None, YokelineError]:
    """Check a reservation against the remaining budget of a tree.

    Args:
        root: The root run of the tree.
        reservation: Amounts to reserve for the next call.

    Returns:
        Success, or a ``BUDGET_EXHAUSTED`` failure that names the first exceeded limit.
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
    """Check all limits for the start of an attempt.

    Loop limits apply to the first attempt only: a retry is not a new step of the program.
    """
    wall_check = check_wall(root, command.wall)
    if isinstance(wall_check, Failure):
        return wall_check
    if command.attempt == 1:
        loop_check = check_loops(run, command.kind, command.tool_request)
        if isinstance(loop_check, Failure):
            return loop_check
    return check_reservation(root, command.reserved)


def check_wall(root: Run, wall: float) -> Result[None, YokelineError]:
    """Check the wall time of the root's current turn against the budget."""
    limit = root.spec.budget.wall_seconds
    if wall - root.turn_started_wall >= limit:
        return Failure(budget_exhausted("wall seconds", limit))
    return Success(None)


def check_loops(
    run: Run, kind: CallKind, request: ToolRequest | None
) -> Result[None, YokelineError]:
    """Check the limits that stop a looping program: model calls and identical tool calls.

    Args:
        run: The run that starts the call.
        kind: Kind of the call.
        request: The tool request that the call carries out, if any.

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
    """Add a reservation to one run; callers do this for the run and all its ancestors."""
    run.reserved = add_reservation(run.reserved, reservation)


def settle(run: Run, reservation: Reservation, usage: Usage) -> None:
    """Replace a reservation with the actual usage in one run; see :func:`reserve`."""
    run.reserved = subtract_reservation(run.reserved, reservation)
    run.spent = run.spent.plus(usage)


def charged_usage(usage: Usage, *, definitely_not_run: bool) -> Usage:
    """Return the usage to charge for an attempt: one call unless it definitely did not run."""
    return msgspec.structs.replace(usage, calls=0 if definitely_not_run else 1)


def smaller_budget(left: Budget, right: Budget) -> Budget:
    """Return the lower of two budgets' limits, field by field."""
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
    """Return the number of consecutive latest tool calls of the turn that match a request."""
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
