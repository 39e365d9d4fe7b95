"""What an HTTP answer of a back end says about the request: surely not run, done or unknown."""

from __future__ import annotations

from http import HTTPStatus
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from yokeline.effects import HttpFailed, HttpResponse
from yokeline.errors import ErrorKind, Execution, YokelineError

RETRY_AFTER_HEADER = "retry-after"
MAX_RETRY_AFTER_SECONDS = 300.0
EXCERPT_CHARACTERS = 500
TEMPORARY_REFUSALS = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
"""Statuses after which the same request may succeed later, even without ``Retry-After``."""
DEFAULT_RETRY_AFTER_SECONDS = 0.2

Body = TypeVar("Body")


def is_success(status: int) -> bool:
    """Return whether a status is 2xx."""
    return HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES


def is_client_error(status: int) -> bool:
    """Return whether a status is 4xx."""
    return HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR


def retry_after_of(response: HttpResponse) -> float | None:
    """Return the seconds of a ``Retry-After`` header (RFC 9110), None without a valid one.

    The form with a date is not read, since a back end's clock may differ from ours.
    """
    text = response.headers.get(RETRY_AFTER_HEADER, "")
    try:
        seconds = float(text)
    except ValueError:
        return None
    if not 0.0 <= seconds <= MAX_RETRY_AFTER_SECONDS:
        return MAX_RETRY_AFTER_SECONDS if seconds > 0 else None
    return seconds


def excerpt(body: bytes) -> str:
    """Return the beginning of a body as text for an error message, on one line."""
    text = body[: 4 * EXCERPT_CHARACTERS].decode(errors="replace")
    return " ".join(text.split())[:EXCERPT_CHARACTERS]


def decode_json(body: bytes, expected: type[Body], backend: str) -> Result[Body, YokelineError]:
    """Decode a JSON body of a known type.

    Args:
        body: The bytes.
        expected: Type that the body must have.
        backend: Name of the sender, for the message.

    Returns:
        The body, or a ``BACKEND_FAILED`` failure; whether the request ran is left ``UNKNOWN``.
    """
    try:
        return Success(msgspec.json.decode(body, type=expected))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Failure(malformed(backend, str(error)))


def decode_applied(body: bytes, expected: type[Body], backend: str) -> Result[Body, YokelineError]:
    """Decode the body of a 2xx answer; one that cannot be read is of a request that ran.

    Returns:
        The body, or a ``BACKEND_FAILED`` failure with the execution ``DONE``.
    """
    return decode_json(body, expected, backend).alt(
        lambda error: msgspec.structs.replace(error, execution=Execution.DONE)
    )


def malformed(backend: str, detail: str, execution: Execution = Execution.UNKNOWN) -> YokelineError:
    """Return the error for an answer that does not follow the protocol."""
    return YokelineError(
        kind=ErrorKind.BACKEND_FAILED,
        message=f"{backend} gave a malformed answer: {detail}",
        remedy="mend the back end, or take it out of the configuration",
        execution=execution,
    )


def refused(backend: str, response: HttpResponse) -> YokelineError:
    """Return the error for an answer that says that nothing was run."""
    retry_after = retry_after_of(response)
    if retry_after is None and response.status in TEMPORARY_REFUSALS:
        retry_after = DEFAULT_RETRY_AFTER_SECONDS
    return YokelineError(
        kind=ErrorKind.BACKEND_FAILED,
        message=f"{backend} answered {response.status}: {excerpt(response.body)}",
        remedy="mend the request as the back end says",
        execution=Execution.NOT_RUN,
        retry_after=retry_after,
    )


def failed(backend: str, response: HttpResponse) -> YokelineError:
    """Return the error for an answer after which the outcome is not known."""
    return YokelineError(
        kind=ErrorKind.BACKEND_FAILED,
        message=f"{backend} answered {response.status}: {excerpt(response.body)}",
        remedy="look at the back end's own log",
        execution=Execution.UNKNOWN,
        retry_after=retry_after_of(response),
    )


def connection_failed(backend: str, failure: HttpFailed) -> YokelineError:
    """Return the error for a request whose connection failed."""
    return YokelineError(
        kind=ErrorKind.BACKEND_FAILED,
        message=f"no answer from {backend}: {failure.reason}",
        remedy="check that the back end is up and reachable from this node",
        execution=Execution.UNKNOWN if failure.sent else Execution.NOT_RUN,
        retry_after=None if failure.sent else DEFAULT_RETRY_AFTER_SECONDS,
    )
