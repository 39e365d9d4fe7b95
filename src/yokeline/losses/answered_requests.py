"""Remembers which requests without a program engines have lately answered.

Strangers may send such a request under one name. One that is answered again and again does not end
engines by itself, so engines that crash under it are less of a sign.
"""

from __future__ import annotations

from collections import OrderedDict

ANSWER_MEMORY_SECONDS = 10.0
"""Time before a send within which an answer shows that the request is commonly answered."""
MAX_REMEMBERED_ANSWERS = 4096


class AnsweredRequests:
    """Times of the latest answers by digest; the oldest are evicted."""

    def __init__(self) -> None:
        """Start without any."""
        self._answered_at: OrderedDict[str, float] = OrderedDict()

    def record(self, digest: str, at: float) -> None:
        """Record that an engine answered a request at a time."""
        self._answered_at[digest] = max(at, self.latest(digest))
        self._answered_at.move_to_end(digest)
        if len(self._answered_at) > MAX_REMEMBERED_ANSWERS:
            self._answered_at.popitem(last=False)

    def latest(self, digest: str) -> float:
        """Return when a request was answered last; minus infinity if that is not known."""
        return self._answered_at.get(digest, float("-inf"))

    def was_answered_before(self, digest: str, sent_at: float) -> bool:
        """Return whether a request was answered shortly before a send, or since."""
        return self.latest(digest) >= sent_at - ANSWER_MEMORY_SECONDS
