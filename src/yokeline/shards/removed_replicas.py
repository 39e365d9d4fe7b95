"""Replicas that their groups have removed: kept for a while, then only their votes."""

from __future__ import annotations

from yokeline.consensus.types import HardState
from yokeline.identifiers import ShardId
from yokeline.shards.replica import ShardReplica

LOG_RETENTION_SECONDS = 60.0
"""Time for which a removed replica keeps its log.

News of a removal may arrive after the node was added again. The leader counts on what the
replica has acknowledged since, so its log must still be there when the leader writes to it.
"""


class RemovedReplicas:
    """Remembers what a node must not forget of groups that it is no longer in."""

    def __init__(self) -> None:
        """Start empty."""
        self._replicas: dict[ShardId, tuple[ShardReplica, float]] = {}
        self._hard_states: dict[ShardId, HardState] = {}

    def __contains__(self, shard: ShardId) -> bool:
        """Return whether this process was ever removed from a shard's group."""
        return shard in self._replicas or shard in self._hard_states

    def add(self, replica: ShardReplica, now: float) -> None:
        """Keep a replica that was removed at ``now``."""
        self._replicas[replica.shard] = (replica, now)

    def take_replica(self, shard: ShardId) -> ShardReplica | None:
        """Hand a kept replica back, since its group has written to it again."""
        kept = self._replicas.pop(shard, None)
        return None if kept is None else kept[0]

    def take_hard_state(self, shard: ShardId) -> HardState | None:
        """Return term and vote of a dropped replica, so that it never votes twice in a term."""
        return self._hard_states.pop(shard, None)

    def drop_expired(self, now: float) -> list[ShardId]:
        """Drop the logs of replicas removed long ago; return their shards."""
        expired = [
            shard
            for shard, (_, since) in self._replicas.items()
            if now - since >= LOG_RETENTION_SECONDS
        ]
        for shard in expired:
            replica, _ = self._replicas.pop(shard)
            self._hard_states[shard] = replica.hard_state
        return expired
