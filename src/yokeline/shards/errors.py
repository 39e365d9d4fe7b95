"""Errors of the shard layer."""

from __future__ import annotations

from yokeline.errors import ErrorKind, Execution, YokelineError

RETRY_AFTER_SECONDS = 1.0
"""A shard without a leader usually has one again after this."""


def not_leader(shard: int) -> YokelineError:
    """Return the error for a command that was surely not appended to the log."""
    return YokelineError(
        kind=ErrorKind.UNAVAILABLE,
        message=f"this node does not lead shard {shard}",
        remedy="send the request again",
        retry_after=RETRY_AFTER_SECONDS,
    )


def leadership_lost(shard: int) -> YokelineError:
    """Return the error for a command whose outcome the lost leadership hides."""
    return YokelineError(
        kind=ErrorKind.OUTCOME_UNKNOWN,
        message=f"this node lost the leadership of shard {shard} before the outcome was known",
        remedy="send the request again with the same idempotency key, or read the run",
        execution=Execution.UNKNOWN,
        retry_after=RETRY_AFTER_SECONDS,
    )


def no_leader(shard: int) -> YokelineError:
    """Return the error for a request that found no leader and never had an effect."""
    return YokelineError(
        kind=ErrorKind.UNAVAILABLE,
        message=f"shard {shard} had no leader that could be reached before the deadline",
        remedy="send the request again; if it lasts, see GET /admin/v1/shards",
        retry_after=RETRY_AFTER_SECONDS,
    )


def write_timed_out(shard: int) -> YokelineError:
    """Return the error for a request that may have been carried out, unheard of."""
    return YokelineError(
        kind=ErrorKind.OUTCOME_UNKNOWN,
        message=f"shard {shard} gave no answer before the deadline; the request may have run",
        remedy="send the request again with the same idempotency key, or read the run",
        execution=Execution.UNKNOWN,
        retry_after=RETRY_AFTER_SECONDS,
    )


def read_timed_out(shard: int) -> YokelineError:
    """Return the error for a question that got no answer in time."""
    return YokelineError(
        kind=ErrorKind.DEADLINE_EXCEEDED,
        message=f"shard {shard} gave no answer before the deadline",
        remedy="ask again",
        execution=Execution.UNKNOWN,
        retry_after=RETRY_AFTER_SECONDS,
    )


def result_too_large(size: int, limit: int) -> YokelineError:
    """Return the error for a result that does not fit a frame between nodes."""
    return YokelineError(
        kind=ErrorKind.LIMIT_EXCEEDED,
        message=f"the answer has {size} bytes, over the limit of {limit} bytes",
        remedy="ask for fewer runs at a time",
        execution=Execution.UNKNOWN,
    )
