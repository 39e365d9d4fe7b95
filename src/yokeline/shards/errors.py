"""Errors of the shard layer."""

from __future__ import annotations

from yokeline.errors import ErrorKind, Execution, YokelineError

RETRY_AFTER_SECONDS = 1.0
"""Delay that errors ask for before a retry, to allow for an election."""


def not_leader(shard: int) -> YokelineError:
    """Return the error for a command that was certainly not appended to the log."""
    return YokelineError(
        kind=ErrorKind.UNAVAILABLE,
        message=f"this node does not lead shard {shard}",
        remedy="retry the request",
        retry_after=RETRY_AFTER_SECONDS,
    )


def leadership_lost(shard: int) -> YokelineError:
    """Return the error for a command whose outcome is unknown since leadership was lost."""
    return YokelineError(
        kind=ErrorKind.OUTCOME_UNKNOWN,
        message=f"this node lost the leadership of shard {shard} before the outcome was known",
        remedy="retry the request with the same idempotency key, or read the run",
        execution=Execution.UNKNOWN,
        retry_after=RETRY_AFTER_SECONDS,
    )


def no_leader(shard: int) -> YokelineError:
    """Return the error for a request that reached no leader and had no effect."""
    return YokelineError(
        kind=ErrorKind.UNAVAILABLE,
        message=f"shard {shard} had no reachable leader before the deadline",
        remedy="retry the request; if the error persists, see GET /admin/v1/shards",
        retry_after=RETRY_AFTER_SECONDS,
    )


def write_timed_out(shard: int) -> YokelineError:
    """Return the error for a write without a reply, which may have been executed."""
    return YokelineError(
        kind=ErrorKind.OUTCOME_UNKNOWN,
        message=f"shard {shard} did not reply before the deadline; the request may have run",
        remedy="retry the request with the same idempotency key, or read the run",
        execution=Execution.UNKNOWN,
        retry_after=RETRY_AFTER_SECONDS,
    )


def read_timed_out(shard: int) -> YokelineError:
    """Return the error for a read without a reply before its deadline."""
    return YokelineError(
        kind=ErrorKind.DEADLINE_EXCEEDED,
        message=f"shard {shard} did not reply before the deadline",
        remedy="retry the request",
        execution=Execution.UNKNOWN,
        retry_after=RETRY_AFTER_SECONDS,
    )


def result_too_large(size: int, limit: int) -> YokelineError:
    """Return the error for a result that exceeds the frame size between nodes."""
    return YokelineError(
        kind=ErrorKind.LIMIT_EXCEEDED,
        message=f"the result has {size} bytes, more than the limit of {limit} bytes",
        remedy="request fewer runs at a time",
        execution=Execution.UNKNOWN,
    )
