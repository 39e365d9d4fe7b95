"""What a tool service or app engine did, for checkers; yokeline itself never sees it."""

from __future__ import annotations

import enum
from collections import Counter

import msgspec


class FaultKind(enum.Enum):
    """Ways in which a request can go wrong."""

    REFUSE = "refuse"
    """4xx, not applied."""
    FAIL_BEFORE = "fail_before"
    """5xx, not applied."""
    FAIL_AFTER = "fail_after"
    """5xx though applied."""
    LOSE_ANSWER = "lose_answer"
    """Applied, and the connection breaks instead of an answer."""
    HANG_BEFORE = "hang_before"
    """No answer, not applied."""
    HANG_AFTER = "hang_after"
    """Applied, and no answer."""


class ReceivedRequest(msgspec.Struct, kw_only=True):
    """A request that arrived.

    Attributes:
        key: Its idempotency key; empty if it had none.
        operation: Tool name, or operation of the app.
        fault: What was made to go wrong.
        applied_at: When it had its effect; None if it had none.
        repeated: Its answer was taken from an earlier request with the same key.
    """

    key: str
    operation: str
    body: bytes
    fence: int
    received_at: float
    fault: FaultKind | None = None
    applied_at: float | None = None
    repeated: bool = False


class RequestReport(msgspec.Struct, frozen=True, kw_only=True):
    """A :class:`ReceivedRequest` without its body."""

    key: str
    operation: str
    fence: int
    received_at: float
    fault: FaultKind | None
    applied_at: float | None
    repeated: bool


class BooksReport(msgspec.Struct, frozen=True, kw_only=True):
    """``GET /emulator/books`` of a tool service or app engine (tests only)."""

    requests: list[RequestReport]
    applied_twice: list[str]
    fenced_off: list[str]


class RequestBooks:
    """All requests in order of arrival.

    Attributes:
        received: Every request, applied or not.
        fenced_off: Keys of requests refused since their fence was too low, in order.
    """

    def __init__(self) -> None:
        """Create empty books."""
        self.received: list[ReceivedRequest] = []
        self.fenced_off: list[str] = []
        self._applied: Counter[str] = Counter()

    def transition_to_applied(self, request: ReceivedRequest, now: float) -> None:
        """The request has its effect now."""
        request.applied_at = now
        self._applied[request.key] += 1

    def applied_count(self, key: str) -> int:
        """Return how often requests with a key had an effect."""
        return self._applied[key]

    def applied(self) -> list[ReceivedRequest]:
        """Return the requests that had an effect, in order of arrival."""
        return [request for request in self.received if request.applied_at is not None]

    def applied_twice(self) -> list[str]:
        """Return the keys whose requests had more than one effect."""
        return [key for key, count in self._applied.items() if count > 1]

    def report(self) -> BooksReport:
        """Return the books for a reader outside the process."""
        requests = [
            RequestReport(
                key=request.key,
                operation=request.operation,
                fence=request.fence,
                received_at=request.received_at,
                fault=request.fault,
                applied_at=request.applied_at,
                repeated=request.repeated,
            )
            for request in self.received
        ]
        return BooksReport(
            requests=requests, applied_twice=self.applied_twice(), fenced_off=self.fenced_off
        )
