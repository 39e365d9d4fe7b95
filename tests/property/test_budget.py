"""Properties of budget accounting: reservation, settlement and limits."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from yokeline.identifiers import RunId
from yokeline.runs import budget
from yokeline.runs.model import Budget, Reservation, Run, RunSpec, RunStatus, Usage

PROPERTY_SETTINGS = settings(derandomize=True, deadline=None, max_examples=100)
UNITS_PER_SECOND = 8
"""Multiples of 1/8 second, which floats add exactly."""

reservations = st.builds(
    Reservation,
    tokens=st.integers(0, 50),
    tool_seconds=st.integers(0, 80).map(lambda units: units / UNITS_PER_SECOND),
)
used_fractions = st.floats(0, 1)


def new_run(tokens: int, calls: int, tool_seconds: float) -> Run:
    limits = Budget(tokens=tokens, calls=calls, tool_seconds=tool_seconds)
    return Run(
        run=RunId("run-a"),
        spec=RunSpec(tenant="t", program="p", budget=limits),
        status=RunStatus.ACTIVE,
        created_wall=0.0,
    )


def used(reservation: Reservation, used_fraction: float) -> Usage:
    return Usage(
        prompt_tokens=int(reservation.tokens * used_fraction),
        tool_seconds=int(reservation.tool_seconds * used_fraction * UNITS_PER_SECOND)
        / UNITS_PER_SECOND,
        calls=1,
    )


class BudgetTest(unittest.TestCase):
    @PROPERTY_SETTINGS
    @given(
        tokens=st.integers(0, 200),
        calls=st.integers(0, 10),
        steps=st.lists(st.tuples(reservations, used_fractions, st.booleans()), max_size=30),
    )
    def test_usage_within_reservations_never_exceeds_a_limit(
        self, tokens: int, calls: int, steps: list[tuple[Reservation, float, bool]]
    ) -> None:
        run = new_run(tokens, calls, tool_seconds=20.0)
        open_calls: list[tuple[Reservation, float]] = []
        for reservation, used_fraction, settle_now in steps:
            if isinstance(budget.check_reservation(run, reservation), Success):
                budget.reserve(run, reservation)
                open_calls.append((reservation, used_fraction))
            if settle_now and open_calls:
                settled, fraction = open_calls.pop()
                budget.settle(run, settled, used(settled, fraction))
            self.assertLessEqual(budget.token_cost(run.spent) + run.reserved.tokens, tokens)
            self.assertLessEqual(run.spent.calls + run.reserved.calls, calls)
            self.assertLessEqual(run.spent.tool_seconds + run.reserved.tool_seconds, 20.0)
        for settled, fraction in open_calls:
            budget.settle(run, settled, used(settled, fraction))
        self.assertEqual(run.reserved, Reservation(calls=0))

    @PROPERTY_SETTINGS
    @given(reservation=reservations, more=st.integers(1, 1000))
    def test_no_call_starts_after_an_overrun(self, reservation: Reservation, more: int) -> None:
        run = new_run(tokens=50, calls=10, tool_seconds=100.0)
        budget.reserve(run, reservation)
        budget.settle(run, reservation, Usage(prompt_tokens=50 + more, calls=1))
        check = budget.check_reservation(run, Reservation(tokens=1))
        self.assertNotIsInstance(check, Success)
        self.assertEqual(budget.remaining(run).tokens, 0)

    @PROPERTY_SETTINGS
    @given(prompt=st.integers(0, 100), cached=st.integers(0, 100), completion=st.integers(0, 100))
    def test_cost_is_between_the_completion_and_all_tokens(
        self, prompt: int, cached: int, completion: int
    ) -> None:
        usage = Usage(prompt_tokens=prompt, cached_tokens=cached, completion_tokens=completion)
        cost = budget.token_cost(usage)
        self.assertGreaterEqual(cost, completion)
        self.assertLessEqual(cost, prompt + completion)

    @PROPERTY_SETTINGS
    @given(reservation=reservations)
    def test_a_lost_attempt_is_charged_as_reserved(self, reservation: Reservation) -> None:
        run = new_run(tokens=100, calls=5, tool_seconds=100.0)
        budget.reserve(run, reservation)
        before = budget.remaining(run)
        budget.settle(run, reservation, budget.usage_of_reservation(reservation))
        self.assertEqual(budget.remaining(run), before)
