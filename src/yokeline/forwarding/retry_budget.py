"""Bounds how often requests are sent again, so that repeats never make an overload."""

from __future__ import annotations

RETRY_RATIO = 0.2
"""Repeated sends per first send that the budget allows."""
MAX_BALANCE = 10.0
"""Most repeats that may be saved up."""


class RetryBudget:
    """Grows with first sends, shrinks with repeats."""

    def __init__(self) -> None:
        """Begin with the whole reserve."""
        self.balance = MAX_BALANCE

    def deposit(self) -> None:
        """Save a share of a repeat up."""
        self.balance = min(MAX_BALANCE, self.balance + RETRY_RATIO)

    def allows_retry(self) -> bool:
        """Return whether a request may be sent again."""
        return self.balance >= 1

    def withdraw(self) -> None:
        """Spend a repeat."""
        self.balance = max(0.0, self.balance - 1)
