"""Status of a node's shard replicas, for the admin API."""

from __future__ import annotations

import enum
from collections.abc import Callable

import msgspec

from yokeline.consensus.types import RaftRole
from yokeline.identifiers import ReplicaId, ShardId
from yokeline.shards.replica import ShardReplica


class ShardState(enum.Enum):
    """Availability of a shard, as this node sees it."""

    LEADING = "leading"
    """The replica has the Raft role of leader; neither lease nor quorum contact is checked."""
    FOLLOWING = "following"
    ELECTING = "electing"
    """No leader is known at this moment."""
    MAJORITY_LOST = "majority_lost"
    """Fewer live members than a quorum: the shard is unavailable until enough members return or
    an operator recovers it (``yokeline recover``).
    """


class ShardStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of one shard replica.

    Attributes:
        members: Members by the last group membership that this replica has applied.
        dead: Members that the membership view reports as dead.
        applied_index: Index of the last log entry applied here.
        log_entries: Number of entries kept since the last compaction.
        runs: Number of runs in the shard.
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
        runs=len(replica.state_machine.runs),
    )


def has_lost_majority(members: tuple[ReplicaId, ...], is_dead: Callable[[ReplicaId], bool]) -> bool:
    """Return whether the members that are not dead are fewer than a quorum."""
    living = sum(1 for member in members if not is_dead(member))
    return living < len(members) // 2 + 1


def _state(replica: ShardReplica, *, lost: bool) -> ShardState:
    group = replica.group
    if lost:
        return ShardState.MAJORITY_LOST
    if group.role is RaftRole.LEADER:
        # The lease is not checked, since that of an idle leader lapses. A leader that loses its
        # quorum resigns.
        return ShardState.LEADING
    return ShardState.ELECTING if group.leader is None else ShardState.FOLLOWING
