"""Errors of a shard's recovery; after each of them nothing was started at this node."""

from __future__ import annotations

import msgspec

from yokeline.errors import ErrorKind, Execution, YokelineError
from yokeline.identifiers import ShardId


def conflict(shard: ShardId, reason: str) -> YokelineError:
    """Return the error for a recovery that another one has come before."""
    return YokelineError(
        kind=ErrorKind.CONFLICT,
        message=f"shard {shard} is not recovered by this order: {reason}",
        remedy="see GET /admin/v1/shards at all nodes, and what became of the other one",
    )


def majority_not_lost(shard: ShardId) -> YokelineError:
    """Return the error for a group whose majority is not known to be dead."""
    return YokelineError(
        kind=ErrorKind.CONFLICT,
        message=f"shard {shard} has not lost its majority, as this node sees it",
        remedy="wait until it has a leader, or until its members are seen as dead",
    )


def too_early(seconds: float) -> YokelineError:
    """Return the error for a node that cannot know yet which groups live."""
    return YokelineError(
        kind=ErrorKind.UNAVAILABLE,
        message="this node has started too lately to know which groups live",
        remedy="repeat the order after the pause in retry_after",
        retry_after=seconds,
    )


def nothing_held(shard: ShardId) -> YokelineError:
    """Return the error for a node that has no copy."""
    return YokelineError(
        kind=ErrorKind.NOT_FOUND,
        message=f"this node holds no copy of shard {shard}",
        remedy="see yokeline recover for the nodes that hold one",
    )


def copy_changed(shard: ShardId) -> YokelineError:
    """Return the error for a copy that is not the one that the operator saw."""
    return YokelineError(
        kind=ErrorKind.PRECONDITION_FAILED,
        message=f"the copy of shard {shard} here is not the one that the order names",
        remedy="list the copies again and decide anew",
    )


def store_refused(error: YokelineError) -> YokelineError:
    """Return the error for a recovery that the key-value service could not decide."""
    return msgspec.structs.replace(error, kind=ErrorKind.NOT_APPLIED, execution=Execution.NOT_RUN)


def not_decided(shard: ShardId) -> YokelineError:
    """Return the error for a write to the key-value service whose outcome is not known."""
    return YokelineError(
        kind=ErrorKind.OUTCOME_UNKNOWN,
        message=f"it is not known whether the recovery of shard {shard} is in the key-value "
        "service; the group was not started",
        remedy="repeat the order at the same node",
        execution=Execution.NOT_RUN,
    )


def started_too_late(shard: ShardId) -> YokelineError:
    """Return the error for a node that was paused while it waited for the store."""
    return YokelineError(
        kind=ErrorKind.UNAVAILABLE,
        message=f"the key-value service took too long; the group of shard {shard} was not "
        "started, since another node may recover it by now",
        remedy="repeat the order",
        retry_after=0.0,
    )
