"""What a node knows of where each shard is led, and which news its peers still need."""

from __future__ import annotations

from collections import Counter

from yokeline.identifiers import ReplicaId, ShardId
from yokeline.messages.types import ShardLeader
from yokeline.shards.placement import Placement

NEWS_PER_HEARTBEAT = 16
"""Bound on the leadership news in one heartbeat."""
NO_LEADER = ReplicaId("")


class LeaderDirectory:
    """Newest leadership news by shard, and what is still to be told to whom."""

    def __init__(self, own: ReplicaId) -> None:
        """Start without knowledge, at the node ``own``."""
        self._own = own
        self._known: dict[ShardId, ShardLeader] = {}
        self._untold: dict[ReplicaId, dict[ShardId, None]] = {}
        self._leads: Counter[ReplicaId] = Counter()
        self._holds: Counter[ReplicaId] = Counter()

    def start(self, placement: Placement) -> None:
        """Take the first placement as what is known of groups that were not heard of."""
        for number, members in enumerate(placement.groups):
            shard = ShardId(number)
            self.learn(ShardLeader(shard, 0, NO_LEADER, members))

    def learn(self, news: ShardLeader) -> bool:
        """Take news in; return whether it was newer than what was known."""
        known = self._known.get(news.shard)
        if known is not None and (known.term, known.revision) >= (news.term, news.revision):
            return False
        if known is not None:
            self._leads[known.leader] -= 1
            self._holds.subtract(known.members)
        self._leads[news.leader] += 1
        self._holds.update(news.members)
        self._known[news.shard] = news
        return True

    def leader_of(self, shard: ShardId) -> ShardLeader | None:
        """Return the newest news of a shard that names a leader."""
        known = self._known.get(shard)
        return None if known is None or known.leader == NO_LEADER else known

    def members_of(self, shard: ShardId) -> tuple[ReplicaId, ...]:
        """Return the last known members of a shard's group."""
        known = self._known.get(shard)
        return () if known is None else known.members

    def led_by(self, replica: ReplicaId) -> int:
        """Return how many shards a node is believed to lead."""
        return self._leads[replica]

    def loads(self) -> dict[ReplicaId, int]:
        """Return how many replicas each node is believed to hold."""
        return {replica: count for replica, count in self._holds.items() if count > 0}

    def known(self) -> tuple[ShardLeader, ...]:
        """Return the newest news of all shards, by shard."""
        return tuple(self._known[shard] for shard in sorted(self._known))

    # ------------------------------------------------------------ telling peers

    def tell(self, peer: ReplicaId, shard: ShardId) -> None:
        """Note that ``peer`` needs the news of a shard."""
        if peer != self._own:
            self._untold.setdefault(peer, {})[shard] = None

    def untold_peers(self) -> tuple[ReplicaId, ...]:
        """Return the peers that still need news, in a fixed order."""
        return tuple(sorted(peer for peer, shards in self._untold.items() if shards))

    def take_news(self, peer: ReplicaId) -> tuple[ShardLeader, ...]:
        """Remove and return the next news for a peer, at most one heartbeat full."""
        shards = self._untold.get(peer)
        if not shards:
            return ()
        taken = list(shards)[:NEWS_PER_HEARTBEAT]
        for shard in taken:
            del shards[shard]
        news = [self._known[shard] for shard in taken if shard in self._known]
        return tuple(item for item in news if item.leader != NO_LEADER)

    def forget_peer(self, peer: ReplicaId) -> None:
        """Drop the news for a peer that is dead."""
        self._untold.pop(peer, None)
