"""Replicas that their groups have removed: kept for a while, then only term and vote."""

from __future__ import annotations

from yokeline.consensus.types import HardState
from yokeline.identifiers import ShardId
from yokeline.shards.replica import ShardReplica

LOG_RETENTION_SECONDS = 60.0
"""Time for which a removed replica keeps its log.

A leader update that shows a removal may arrive after the node was added again. The leader
assumes that the replica keeps the entries that it has acknowledged since, so the replica must
still have its log when the next message of the leader arrives.
"""


class RemovedReplicas:
    """Replicas of groups that have removed this node, and the votes of dropped replicas."""

    def __init__(self) -> None:
        self._replicas: dict[ShardId, tuple[ShardReplica, float]] = {}
        self._hard_states: dict[ShardId, HardState] = {}

    def __contains__(self, shard: ShardId) -> bool:
        """Return whether a removed replica of a shard, or its vote, is kept."""
        return shard in self._replicas or shard in self._hard_states

    def add(self, replica: ShardReplica, now: float) -> None:
        """Keep a replica that was removed at ``now``."""
        self._replicas[replica.shard] = (replica, now)

    def take_replica(self, shard: ShardId) -> ShardReplica | None:
        """Remove and return a replica whose group has added this node again."""
        kept = self._replicas.pop(shard, None)
        return None if kept is None else kept[0]

    def take_hard_state(self, shard: ShardId) -> HardState | None:
        """Remove and return term and vote of a dropped replica, to prevent a second vote."""
        return self._hard_states.pop(shard, None)

    def drop_expired(self, now: float) -> list[ShardId]:
        """Drop the logs of replicas past the retention time; return their shards."""
        expired = [
            shard
            for shard, (_, since) in self._replicas.items()
            if now - since >= LOG_RETENTION_SECONDS
        ]
        for shard in expired:
            replica, _ = self._replicas.pop(shard)
            self._hard_states[shard] = replica.hard_state
        return expired
