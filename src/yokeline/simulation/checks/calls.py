"""Order of calls, and budgets, by what the back ends saw."""

from __future__ import annotations

from collections import defaultdict

from yokeline.runs.model import Budget
from yokeline.simulation.checks.backend_view import (
    all_calls,
    by_run,
    hang_that_held_back,
    markers_in,
    model_calls,
    record_of_marker,
    tokens_of,
)
from yokeline.simulation.checks.result import CheckResult, Point
from yokeline.simulation.objects import AGENT_BUDGET, LOOP_BUDGET
from yokeline.simulation.records import Books, RequestKind


def check_order(books: Books) -> CheckResult:
    """The calls of one run reach the back ends in the order of their numbers.

    A request that a hung back end takes late, after the run gave it up as repeatable and went
    on, cannot be called back; it is not counted.
    """
    result = CheckResult(point=Point.ORDER)
    for run, calls in by_run(all_calls(books)).items():
        highest = 0
        for call in calls:
            if hang_that_held_back(books, call.request.arrived_at) is not None:
                continue
            result.expect(
                call.number >= highest,
                f"{run}: call {call.number} reached {call.request.host} at "
                f"{call.request.arrived_at:.3f} after call {highest}",
            )
            highest = max(highest, call.number)
    return result


def check_budget(books: Books) -> CheckResult:
    """No tree of runs uses more calls or tokens than its budget."""
    result = CheckResult(point=Point.BUDGET)
    budgets = _budgets_by_root(books)
    calls: dict[str, set[tuple[str, int, int]]] = defaultdict(set)
    tokens: dict[str, dict[tuple[str, int, int], int]] = defaultdict(dict)
    applied = {request.key for request in books.applied}
    for call in all_calls(books):
        if not call.attempt and f"{call.run}/{call.number}" not in applied:
            continue  # a service that proves that it did nothing is not charged for
        identity = (call.run, call.number, call.attempt)
        calls[call.root].add(identity)
        used = tokens_of(call.request) if call.attempt else 0
        tokens[call.root][identity] = max(used, tokens[call.root].get(identity, 0))
    for root, budget in budgets.items():
        made = len(calls[root])
        result.expect(made <= budget.calls, f"{root}: {made} calls of {budget.calls}")
        spent = sum(tokens[root].values())
        result.expect(spent <= budget.tokens, f"{root}: {spent} tokens of {budget.tokens}")
    return result


def _budgets_by_root(books: Books) -> dict[str, Budget]:
    records = record_of_marker(books)
    budgets: dict[str, Budget] = {}
    for model in model_calls(books):
        text = "".join(message.content or "" for message in model.messages)
        for marker in sorted(markers_in(text)):
            record = records.get(marker)
            if record is not None:
                looping = record.kind is RequestKind.LOOP
                budgets[model.call.root] = LOOP_BUDGET if looping else AGENT_BUDGET
    return budgets
