"""Answers that the HTTP server gives by itself, as problem documents (RFC 9457)."""

from __future__ import annotations

import msgspec

from yokeline.errors import ErrorKind, Execution, YokelineError
from yokeline.gateway.problems import problem_headers, problem_of

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
HEAD_TOO_LARGE = 431
INTERNAL_ERROR = 500
BAD_GATEWAY = 502
UNAVAILABLE = 503

NOT_WHOLE_IN_TIME = YokelineError(
    kind=ErrorKind.DEADLINE_EXCEEDED,
    message="the request did not arrive whole in time",
    remedy="send it again, without pauses",
)
HEAD_OVER_LIMIT = YokelineError(
    kind=ErrorKind.LIMIT_EXCEEDED,
    message="the request head is over the limit",
    remedy="send fewer or shorter header fields",
)
OWN_FAULT = YokelineError(
    kind=ErrorKind.INTERNAL,
    message="a fault in this node",
    remedy="ask for the outcome, or repeat the request with the same Idempotency-Key",
    execution=Execution.UNKNOWN,
)

ENDED = YokelineError(
    kind=ErrorKind.OUTCOME_UNKNOWN,
    message="this node ended before the request did",
    remedy="ask for the outcome, or repeat the request with the same Idempotency-Key",
    execution=Execution.UNKNOWN,
)


NO_ROOM = YokelineError(
    kind=ErrorKind.UNAVAILABLE,
    message="this node has no memory left for the request, which was sent nowhere",
    remedy="send it again later",
    execution=Execution.NOT_RUN,
    retry_after=1.0,
)


class Refusal(msgspec.Struct, frozen=True):
    """A whole answer to a request that the service does not answer."""

    status: int
    headers: dict[str, str]
    body: bytes


def malformed(reason: str) -> YokelineError:
    """Return the error for a request that breaks the protocol."""
    return YokelineError(
        kind=ErrorKind.BAD_REQUEST,
        message=f"the request is malformed: {reason}",
        remedy="send a request as in RFC 9112",
    )


def refusal_of(error: YokelineError, status: int) -> Refusal:
    """Return the answer for an error; the status is HTTP's own, not the kind's."""
    problem = msgspec.structs.replace(problem_of(error), status=status)
    return Refusal(status, problem_headers(error), msgspec.json.encode(problem))
