"""When a caller whose request was refused for want of room is to come back.

The load it answers: callers that were refused together. If all of them return at one moment, they
find the engines as full as before.
"""

from __future__ import annotations

RETRY_AFTER_SECONDS = 0.3
"""Time after which a refused caller is to come back."""
BEGUN_RETRY_AFTER_SECONDS = 0.1
"""The same for a program that has begun."""


def return_after(*, has_begun: bool) -> float:
    """Return after how many seconds a refused caller is to come back."""
    return BEGUN_RETRY_AFTER_SECONDS if has_begun else RETRY_AFTER_SECONDS
