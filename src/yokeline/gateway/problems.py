"""Errors as ``application/problem+json`` answers (RFC 9457), and what a refusal may claim.

``execution`` speaks of the request *as its idempotency key names it*. The gateway can be
sure of ``not_run`` only for a request without a key, or where the reason lies in the
request itself: with a key, an earlier attempt may have run at another node.
"""

from __future__ import annotations

import math

import msgspec

from yokeline.errors import HTTP_STATUS, ErrorKind, Execution, YokelineError

PROBLEM_TYPE = "application/problem+json"
PROBLEM_URI_PREFIX = "urn:yokeline:problem:"
INTERNAL_STATUS = 500

REASONS_IN_THE_REQUEST = frozenset(
    {
        ErrorKind.BAD_REQUEST,
        ErrorKind.BODY_TOO_LARGE,
        ErrorKind.IDEMPOTENCY_KEY_REUSED,
    }
)
"""Kinds that meet every attempt with the same content alike."""


class Problem(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Body of an error answer.

    Attributes:
        type: URI of the kind.
        title: The kind in words.
        status: HTTP status, as in the status line.
        detail: What is wrong with this request.
        kind: The typed kind, to switch on.
        remedy: What to do about it.
        execution: Whether the request had an effect.
        retry_after: Seconds after which a retry may succeed.
        run: Id of the run that the request is about, to ask for its outcome.
        run_status: Status of that run, where it is known.
        operation: Id of the write operation, to ask for its outcome.
        instance: Id of the exchange, as in the logs.
        details: Where there are several problems: one line for each.
    """

    type: str
    title: str
    status: int
    detail: str
    kind: str
    remedy: str
    execution: str
    retry_after: float | None = None
    run: str = ""
    run_status: str = ""
    operation: str = ""
    instance: str = ""
    details: tuple[str, ...] = ()


def problem_of(error: YokelineError) -> Problem:
    """Return the problem document of an error."""
    return Problem(
        type=PROBLEM_URI_PREFIX + error.kind.value,
        title=error.kind.value.replace("_", " "),
        status=HTTP_STATUS.get(error.kind, INTERNAL_STATUS),
        detail=error.message,
        kind=error.kind.value,
        remedy=error.remedy,
        execution=error.execution.value,
        retry_after=error.retry_after,
        details=error.details,
    )


def problem_headers(error: YokelineError) -> dict[str, str]:
    """Return the headers that go with an error: content type, ``Retry-After``, challenge."""
    headers = {"content-type": PROBLEM_TYPE, "cache-control": "no-store"}
    if error.retry_after is not None:
        headers["retry-after"] = str(max(1, math.ceil(error.retry_after)))
    if error.kind is ErrorKind.UNAUTHENTICATED:
        headers["www-authenticate"] = 'Bearer realm="yokeline"'
    return headers


def with_execution(error: YokelineError, execution: Execution) -> YokelineError:
    """Return the error with another claim about execution."""
    return msgspec.structs.replace(error, execution=execution)


def refusal(error: YokelineError, *, has_key: bool) -> YokelineError:
    """Return an error of the gateway's own with the claim that it can stand by.

    Args:
        error: Why the request was not passed on.
        has_key: Whether the request carries an idempotency key, so that it may be a
            further attempt of a request that ran.
    """
    if not has_key or error.kind in REASONS_IN_THE_REQUEST:
        return error
    if error.execution is not Execution.NOT_RUN:
        return error
    return msgspec.structs.replace(
        error,
        execution=Execution.UNKNOWN,
        remedy=f"{error.remedy}; this attempt did not run, an earlier one with the same "
        "Idempotency-Key may have: repeat it with the same key, it runs at most once",
    )


def unknown_run(error: YokelineError) -> YokelineError:
    """Return an error about an existing run without a claim that it did not run."""
    if error.execution is Execution.NOT_RUN:
        return with_execution(error, Execution.UNKNOWN)
    return error


def bad_request(message: str, remedy: str) -> YokelineError:
    """Return an error for a request that cannot be understood."""
    return YokelineError(kind=ErrorKind.BAD_REQUEST, message=message, remedy=remedy)


def not_found(message: str, remedy: str) -> YokelineError:
    """Return an error for something that does not exist, as far as the caller may know."""
    return YokelineError(kind=ErrorKind.NOT_FOUND, message=message, remedy=remedy)


def forbidden(message: str, remedy: str) -> YokelineError:
    """Return an error for something that the token's role may not do."""
    return YokelineError(kind=ErrorKind.FORBIDDEN, message=message, remedy=remedy)


def unavailable(message: str, remedy: str, retry_after: float) -> YokelineError:
    """Return an error for something that this node cannot do now."""
    return YokelineError(
        kind=ErrorKind.UNAVAILABLE, message=message, remedy=remedy, retry_after=retry_after
    )


def internal_error() -> YokelineError:
    """Return the error of a request that met a fault of this node."""
    return YokelineError(
        kind=ErrorKind.INTERNAL,
        message="the request met a fault of this service",
        remedy="repeat it with the same Idempotency-Key, and report the instance id",
        execution=Execution.UNKNOWN,
    )
