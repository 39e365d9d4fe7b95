"""The last known leader of each shard, and the leader updates queued for each peer."""

from __future__ import annotations

from collections import Counter

from yokeline.identifiers import ReplicaId, ShardId
from yokeline.messages.types import ShardLeader
from yokeline.shards.placement import Placement

MAX_UPDATES_PER_HEARTBEAT = 16
"""Maximum number of leader updates in one heartbeat."""
NO_LEADER = ReplicaId("")
"""Value of ``ShardLeader.leader`` while no leader of the group is known."""


class LeaderDirectory:
    """Latest leader update by shard, and the shards whose updates are queued by peer."""

    def __init__(self, own: ReplicaId) -> None:
        """Start without updates at the node ``own``."""
        self._own = own
        self._latest: dict[ShardId, ShardLeader] = {}
        self._pending: dict[ReplicaId, dict[ShardId, None]] = {}
        self._shards_led: Counter[ReplicaId] = Counter()
        self._replicas_held: Counter[ReplicaId] = Counter()

    def load_placement(self, placement: Placement) -> None:
        """Store an update without a leader for each group, unless a newer update is known."""
        for number, members in enumerate(placement.groups):
            shard = ShardId(number)
            self.merge(ShardLeader(shard, 0, NO_LEADER, members))

    def merge(self, update: ShardLeader) -> bool:
        """Store an update if it is newer than the known one; return whether it was.

        The higher term is newer; within a term, the higher ``revision``, which is the index
        that the leader had applied when it sent the update.
        """
        known = self._latest.get(update.shard)
        if known is not None and (known.term, known.revision) >= (update.term, update.revision):
            return False
        if known is not None:
            self._shards_led[known.leader] -= 1
            self._replicas_held.subtract(known.members)
        self._shards_led[update.leader] += 1
        self._replicas_held.update(update.members)
        self._latest[update.shard] = update
        return True

    def leader_of(self, shard: ShardId) -> ShardLeader | None:
        """Return the latest update of a shard, None if it names no leader."""
        known = self._latest.get(shard)
        return None if known is None or known.leader == NO_LEADER else known

    def members_of(self, shard: ShardId) -> tuple[ReplicaId, ...]:
        """Return the last known members of a shard's group."""
        known = self._latest.get(shard)
        return () if known is None else known.members

    def shards_led_by(self, replica: ReplicaId) -> int:
        """Return how many shards a node leads, by the latest updates."""
        return self._shards_led[replica]

    def loads(self) -> dict[ReplicaId, int]:
        """Return how many replicas each node holds, by the latest updates."""
        return {replica: count for replica, count in self._replicas_held.items() if count > 0}

    def all_updates(self) -> tuple[ShardLeader, ...]:
        """Return the latest update of every shard, in ascending order of shards."""
        return tuple(self._latest[shard] for shard in sorted(self._latest))

    # ------------------------------------------------------------ updates for peers

    def enqueue(self, peer: ReplicaId, shard: ShardId) -> None:
        """Queue the latest update of a shard for ``peer``."""
        if peer != self._own:
            self._pending.setdefault(peer, {})[shard] = None

    def peers_with_pending_updates(self) -> tuple[ReplicaId, ...]:
        """Return the peers that updates are queued for, in ascending order."""
        return tuple(sorted(peer for peer, shards in self._pending.items() if shards))

    def take_updates(self, peer: ReplicaId) -> tuple[ShardLeader, ...]:
        """Remove and return the next updates for a peer, as many as fit one heartbeat."""
        shards = self._pending.get(peer)
        if not shards:
            return ()
        taken = list(shards)[:MAX_UPDATES_PER_HEARTBEAT]
        for shard in taken:
            del shards[shard]
        updates = [self._latest[shard] for shard in taken if shard in self._latest]
        return tuple(item for item in updates if item.leader != NO_LEADER)

    def forget_peer(self, peer: ReplicaId) -> None:
        """Drop the updates queued for a dead peer."""
        self._pending.pop(peer, None)
