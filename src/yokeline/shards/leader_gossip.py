"""Gossip of leader updates: announces the shards led by this node and relays others."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from yokeline.identifiers import ReplicaId, ShardId
from yokeline.messages.types import ShardLeader
from yokeline.server.context import NodeContext
from yokeline.shards.directory import LeaderDirectory
from yokeline.shards.heartbeats import Heartbeats
from yokeline.shards.neighbours import heartbeat_peers, ring_neighbours
from yokeline.shards.replica import ShardReplica


class LeaderGossip:
    """Decides which peers get which leader updates; heartbeats carry the updates.

    Attributes:
        directory: Latest update of every shard.
        heartbeats: Heartbeats to the peers.
    """

    def __init__(self, context: NodeContext, heartbeat_seconds: float) -> None:
        """Start without known leaders."""
        self.directory = LeaderDirectory(context.replica)
        self.heartbeats = Heartbeats(context, self.directory, heartbeat_seconds)
        self._context = context
        self._observers: list[Callable[[ShardId], None]] = []
        self._neighbours: tuple[ReplicaId, ...] = ()

    def observe(self, observer: Callable[[ShardId], None]) -> None:
        """Call ``observer`` whenever the known leader of a shard may have changed."""
        self._observers.append(observer)

    def receive_update(self, sender: ReplicaId, update: ShardLeader) -> bool:
        """Store an update and relay it along the ring; return whether it was new."""
        if not self.directory.merge(update):
            return False
        for peer in self._neighbours:
            if peer not in (sender, update.leader):
                self.directory.enqueue(peer, update.shard)
        self._notify_observers(update.shard)
        return True

    def announce(self, replica: ShardReplica, recipients: Iterable[ReplicaId]) -> None:
        """Announce to ``recipients`` that this node leads a shard, with its members.

        The ``revision`` of the update is the index that this node has applied.
        """
        update = ShardLeader(
            replica.shard,
            replica.group.term,
            self._context.replica,
            replica.announced_members,
            replica.applied_index,
        )
        self.directory.merge(update)
        for peer in recipients:
            self.directory.enqueue(peer, replica.shard)
        self._notify_observers(replica.shard)

    def announce_to_all(self, replica: ShardReplica) -> None:
        """Announce a shard that this node leads to all peers and all members."""
        self.announce(replica, (*self.heartbeats.peers, *replica.announced_members))

    def record_followed_leader(self, replica: ShardReplica) -> None:
        """Record the leader that a replica of this node follows."""
        group = replica.group
        if group.leader is None:
            return
        update = ShardLeader(replica.shard, group.term, group.leader, replica.announced_members)
        if self.directory.merge(update):
            self._notify_observers(replica.shard)

    def _notify_observers(self, shard: ShardId) -> None:
        for observer in self._observers:
            observer(shard)

    # ------------------------------------------------------------ peers

    def update_peers(
        self,
        groups: Iterable[tuple[ReplicaId, ...]],
        alive: tuple[ReplicaId, ...],
        led: Iterable[ShardId],
    ) -> None:
        """Recompute the heartbeat peers, and queue updates for new ones."""
        own = self._context.replica
        self._neighbours = ring_neighbours(own, alive)
        before = self.heartbeats.peers
        peers = heartbeat_peers(own, groups, self._neighbours, alive)
        if peers == before:
            return
        self.heartbeats.set_peers(peers)
        for peer in sorted(set(before) - set(alive)):
            self.heartbeats.forget_peer(peer)
        self._enqueue_for_new_peers(sorted(set(peers) - set(before)), tuple(led))

    def _enqueue_for_new_peers(self, peers: Iterable[ReplicaId], led: Iterable[ShardId]) -> None:
        """Queue the shards led here; for new ring neighbours, all known updates."""
        for peer in peers:
            for shard in led:
                self.directory.enqueue(peer, shard)
            if peer in self._neighbours:
                for update in self.directory.all_updates():
                    self.directory.enqueue(peer, update.shard)
