"""What the admin API shows of the shards of a node."""

from __future__ import annotations

import enum
from collections.abc import Callable

import msgspec

from yokeline.consensus.types import RaftRole
from yokeline.identifiers import ReplicaId, ShardId
from yokeline.shards.replica import ShardReplica


class ShardState(enum.Enum):
    """Whether a shard serves, as this node sees it."""

    LEADING = "leading"
    """This node leads it: a quorum answered its last messages."""
    FOLLOWING = "following"
    ELECTING = "electing"
    """No leader is known at this moment."""
    MAJORITY_LOST = "majority_lost"
    """So many members are dead that no quorum is left: it stays unavailable until enough of
    them return, or until an operator recovers it (``yokeline recover``)."""


class ShardStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One replica of a shard.

    Attributes:
        members: Members by the last committed configuration.
        dead: Those of them that are dead.
        applied_index: Last log entry applied here.
        log_entries: Entries kept since the last compaction.
        runs: Runs in the shard.
    """

    shard: ShardId
    state: ShardState
    role: str
    term: int
    leader: ReplicaId | None
    members: tuple[ReplicaId, ...]
    dead: tuple[ReplicaId, ...]
    applied_index: int
    log_entries: int
    runs: int


def shard_status(replica: ShardReplica, is_dead: Callable[[ReplicaId], bool]) -> ShardStatus:
    """Return the status of a replica."""
    group = replica.group
    members = replica.committed_members
    dead = tuple(member for member in members if is_dead(member))
    return ShardStatus(
        shard=replica.shard,
        state=_state(replica, lost=has_lost_majority(members, is_dead)),
        role=group.role.value,
        term=group.term,
        leader=group.leader,
        members=members,
        dead=dead,
        applied_index=replica.applied_index,
        log_entries=group.last_index - group.first_index + 1,
        runs=len(replica.machine.runs),
    )


def has_lost_majority(members: tuple[ReplicaId, ...], is_dead: Callable[[ReplicaId], bool]) -> bool:
    """Return whether so many members are dead that no quorum is left."""
    living = sum(1 for member in members if not is_dead(member))
    return living < len(members) // 2 + 1


def _state(replica: ShardReplica, *, lost: bool) -> ShardState:
    group = replica.group
    if lost:
        return ShardState.MAJORITY_LOST
    if group.role is RaftRole.LEADER:
        # A leader that a majority does not answer resigns by itself; an idle one has no lease.
        return ShardState.LEADING
    return ShardState.ELECTING if group.leader is None else ShardState.FOLLOWING
