"""Retry budget: limits retries to a share of first sends, so that they cannot cause an overload."""

from __future__ import annotations

RETRY_RATIO = 0.2
"""Retries allowed per first send."""
MAX_BALANCE = 10.0
"""Maximum number of retries that can be saved up; the initial balance."""


class RetryBudget:
    """Balance of retries: first sends add to it, retries are taken from it."""

    def __init__(self) -> None:
        """Start with the maximum balance."""
        self.balance = MAX_BALANCE

    def deposit(self) -> None:
        """Add the share of a retry for a first send."""
        self.balance = min(MAX_BALANCE, self.balance + RETRY_RATIO)

    def allows_retry(self) -> bool:
        """Return whether the balance covers a retry."""
        return self.balance >= 1

    def withdraw(self) -> None:
        """Take a retry from the balance."""
        self.balance = max(0.0, self.balance - 1)
