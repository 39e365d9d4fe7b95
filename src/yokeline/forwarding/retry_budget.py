"""Bounds how often requests are sent again, so that repeats never make an overload."""

from __future__ import annotations

RETRY_SHARE = 0.2
"""Repeated sends per first send that the budget allows."""
RETRY_RESERVE = 10.0
"""Most repeats that may be saved up."""


class RetryBudget:
    """Grows with first sends, shrinks with repeats."""

    def __init__(self) -> None:
        """Begin with the whole reserve."""
        self.left = RETRY_RESERVE

    def note_first_send(self) -> None:
        """Save a share of a repeat up."""
        self.left = min(RETRY_RESERVE, self.left + RETRY_SHARE)

    def allows_repeat(self) -> bool:
        """Return whether a request may be sent again."""
        return self.left >= 1

    def note_repeat(self) -> None:
        """Spend a repeat."""
        self.left = max(0.0, self.left - 1)
