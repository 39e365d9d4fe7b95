"""What a check gives back."""

from __future__ import annotations

import enum

import msgspec


class Point(enum.Enum):
    """The points that must always hold, as the brief lists them."""

    ORDER = "calls in order"
    HISTORY = "history not lost, not mixed"
    BUDGET = "budget holds"
    ENGINE_MEMORY = "no engine memory held for nothing"
    WHOLE_ANSWERS = "whole answer to its own request"
    TRUE_REFUSALS = "'not run' is true"
    AT_MOST_ONCE = "at most once"
    LEAVING_BACKENDS = "leaving back ends get no new work"
    PLANNED_STOPS = "planned stop cuts nothing"
    CONFIGURATION = "configuration in force, never reverts"


class CheckResult(msgspec.Struct, kw_only=True):
    """Checks made for one point, and what they found.

    Attributes:
        checks: Number of things looked at.
        violations: One line each.
    """

    point: Point
    checks: int = 0
    violations: list[str] = []

    def expect(self, holds: bool, violation: str) -> None:
        """Count one check; note ``violation`` if it does not hold."""
        self.checks += 1
        if not holds:
            self.violations.append(violation)
