"""Typed kinds of errors; each message names the remedy.

One :class:`ErrorKind` maps to one HTTP status and one command-line exit code. Pure code
returns ``returns.result.Failure(YokelineError)``; only the edges (CLI, HTTP) turn it into
an exit code or an ``application/problem+json`` body (RFC 9457).
"""

from __future__ import annotations

import enum

import msgspec

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2


class ErrorKind(enum.Enum):
    """What went wrong, in terms a program can switch on."""

    BAD_REQUEST = "bad_request"
    BAD_SETTING = "bad_setting"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    PRECONDITION_FAILED = "precondition_failed"
    LIMIT_EXCEEDED = "limit_exceeded"
    BUDGET_EXHAUSTED = "budget_exhausted"
    OVERLOADED = "overloaded"
    UNAVAILABLE = "unavailable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    OUTCOME_UNKNOWN = "outcome_unknown"
    NOT_APPLIED = "not_applied"
    BACKEND_FAILED = "backend_failed"
    INTERNAL = "internal"


HTTP_STATUS: dict[ErrorKind, int] = {
    ErrorKind.BAD_REQUEST: 400,
    ErrorKind.BAD_SETTING: 400,
    ErrorKind.BODY_TOO_LARGE: 413,
    ErrorKind.UNAUTHENTICATED: 401,
    ErrorKind.FORBIDDEN: 403,
    ErrorKind.NOT_FOUND: 404,
    ErrorKind.CONFLICT: 409,
    ErrorKind.IDEMPOTENCY_KEY_REUSED: 422,
    ErrorKind.PRECONDITION_FAILED: 412,
    ErrorKind.LIMIT_EXCEEDED: 429,
    ErrorKind.BUDGET_EXHAUSTED: 402,
    ErrorKind.OVERLOADED: 503,
    ErrorKind.UNAVAILABLE: 503,
    ErrorKind.DEADLINE_EXCEEDED: 504,
    ErrorKind.OUTCOME_UNKNOWN: 504,
    ErrorKind.NOT_APPLIED: 503,
    ErrorKind.BACKEND_FAILED: 502,
    ErrorKind.INTERNAL: 500,
}


class Execution(enum.Enum):
    """Whether the request had an effect, as far as it is known."""

    NOT_RUN = "not_run"
    """Certain: nothing was sent to a back end, and nothing will be."""
    DONE = "done"
    """Certain: it ran once."""
    UNKNOWN = "unknown"
    """It may have run once; it will not be sent again."""


class YokelineError(msgspec.Struct, frozen=True, kw_only=True):
    """An error as a value.

    Attributes:
        kind: The typed kind.
        message: What is wrong, for a person; one line.
        remedy: What to do about it; one line.
        execution: For requests: whether anything ran.
        retry_after: Seconds after which a retry may succeed; None where a retry is useless.
        details: Where there are several problems: one line for each.
    """

    kind: ErrorKind
    message: str
    remedy: str
    execution: Execution = Execution.NOT_RUN
    retry_after: float | None = None
    details: tuple[str, ...] = ()

    def line(self) -> str:
        """Return the error as one line for the command line or a log."""
        return f"{self.kind.value}: {self.message}; {self.remedy}"


class YokelineException(Exception):  # noqa: N818 - the error itself is the value inside
    """Carries a :class:`YokelineError` through code that cannot return a ``Result``."""

    def __init__(self, error: YokelineError) -> None:
        """Wrap ``error``."""
        super().__init__(error.line())
        self.error = error
