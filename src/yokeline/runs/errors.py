"""Errors of runs, one function per case."""

from __future__ import annotations

from yokeline.errors import ErrorKind, Execution, YokelineError
from yokeline.identifiers import RunId


def run_not_found() -> YokelineError:
    """Return the error for an unknown run; a run of another tenant looks the same."""
    return YokelineError(
        kind=ErrorKind.NOT_FOUND,
        message="no such run",
        remedy="check the run id and the tenant of the token",
    )


def key_reused() -> YokelineError:
    """Return the error for an idempotency key that belongs to a different request."""
    return YokelineError(
        kind=ErrorKind.IDEMPOTENCY_KEY_REUSED,
        message="the idempotency key was used for a different request",
        remedy="use a separate key for each request",
    )


def conflict(run: RunId, message: str) -> YokelineError:
    """Return the error for a command that the run's state does not allow."""
    return YokelineError(
        kind=ErrorKind.CONFLICT,
        message=f"{run}: {message}",
        remedy="read the run and act on its current status",
    )


def budget_exhausted(what: str, limit: float) -> YokelineError:
    """Return the error for a call that the budget does not cover."""
    return YokelineError(
        kind=ErrorKind.BUDGET_EXHAUSTED,
        message=f"the run's budget of {limit:g} {what} does not cover the next call",
        remedy="raise the budget in the policy of the program, or ask for less in one run",
    )


def deadline_exceeded(retry_after: float | None) -> YokelineError:
    """Return the error for a run that has passed its deadline."""
    return YokelineError(
        kind=ErrorKind.DEADLINE_EXCEEDED,
        message="the deadline of the request has passed",
        remedy="send it again with a longer deadline under a new idempotency key",
        retry_after=retry_after,
    )


def cancelled() -> YokelineError:
    """Return the error for a run that its caller cancelled."""
    return YokelineError(
        kind=ErrorKind.CONFLICT,
        message="the run was cancelled by its caller",
        remedy="start a new run under a new idempotency key",
    )


def overloaded(what: str, retry_after: float) -> YokelineError:
    """Return the error for a request that is shed."""
    return YokelineError(
        kind=ErrorKind.OVERLOADED,
        message=f"{what} is at capacity",
        remedy="send it again after retry_after seconds under a new idempotency key",
        retry_after=retry_after,
    )


def leadership_lost() -> YokelineError:
    """Return the error for an operation on a shard that this node does not lead.

    It is also used for a request to a node that has never led the shard.
    """
    return YokelineError(
        kind=ErrorKind.UNAVAILABLE,
        message="this node no longer leads the run's shard",
        remedy="send the same operation to the new leader",
        execution=Execution.UNKNOWN,
        retry_after=0.0,
    )


def not_configured(kind: str, name: str) -> YokelineError:
    """Return the error for a back end that is not configured."""
    return YokelineError(
        kind=ErrorKind.NOT_FOUND,
        message=f"the configuration has no {kind} {name!r} with an address",
        remedy=f"add the {kind} or remove it from the program",
    )


def tool_request_refused(message: str) -> YokelineError:
    """Return the error for a model's tool request that cannot be carried out."""
    return YokelineError(
        kind=ErrorKind.BAD_REQUEST,
        message=message,
        remedy="ask for a listed tool with a JSON object as arguments",
    )


def outcome_unknown(backend: str, cause: str) -> YokelineError:
    """Return the error for a call that may have had an effect and is not repeated."""
    return YokelineError(
        kind=ErrorKind.OUTCOME_UNKNOWN,
        message=f"{backend} may have carried out the request: {cause}",
        remedy="check the back end before sending it again; it is not repeated automatically",
        execution=Execution.UNKNOWN,
    )


def engine_unknown(engine: str) -> YokelineError:
    """Return the error for a call to an engine that is no longer in the engine directory."""
    return YokelineError(
        kind=ErrorKind.BACKEND_FAILED,
        message=f"engine {engine} is no longer known",
        remedy="none needed; the call is repeated at another engine",
        execution=Execution.UNKNOWN,
    )
