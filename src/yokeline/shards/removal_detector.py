"""Finds out that groups have removed this node, which their logs may never tell it."""

from __future__ import annotations

from collections.abc import Callable

from yokeline.identifiers import ReplicaId, ShardId
from yokeline.messages.types import ShardLeader
from yokeline.server.context import NodeContext
from yokeline.shards.leader_gossip import LeaderGossip
from yokeline.shards.local_replicas import LocalReplicas
from yokeline.shards.replica import ShardReplica

REMOVED_SILENCE_SECONDS = 3.0
"""Silence of a group after which a replica that it seems to have removed asks its leader."""
MEMBER_SILENCE_SECONDS = 12.0
"""The same for a member; idle groups speak more often than this."""


class RemovalDetector:
    """Compares leadership news with the replicas held, and asks for news where needed."""

    def __init__(
        self,
        context: NodeContext,
        replicas: LocalReplicas,
        gossip: LeaderGossip,
        leave: Callable[[ShardReplica], None],
    ) -> None:
        """Call ``leave`` with each replica that its group has surely removed."""
        self._context = context
        self._local_replicas = replicas
        self._replicas = replicas.replicas
        self._gossip = gossip
        self._leave = leave

    def receive_update(self, sender: ReplicaId, update: ShardLeader) -> None:
        """Take news in; they may say that this node is out of a group."""
        self._local_replicas.note_term(update.shard, update.term)
        if not self._gossip.receive_update(sender, update):
            return
        replica = self._replicas.get(update.shard)
        if replica is not None and not replica.is_carrying_out and replica.is_removed_by(update):
            self._leave(replica)

    def send_requested_updates(self, sender: ReplicaId, shards: tuple[ShardId, ...]) -> None:
        """Give a node the news that it asked for; fresh ones of what this node leads."""
        for shard in shards:
            replica = self._replicas.get(shard)
            if replica is not None and replica.leads:
                self._gossip.announce(replica, (sender,))
            else:
                self._gossip.directory.enqueue(sender, shard)

    def check_silent_replicas(self) -> None:
        """Leave silent groups that have removed this node; ask where that is not clear."""
        for replica in list(self._replicas.values()):
            update = self._gossip.directory.leader_of(replica.shard)
            if update is None or update.leader == self._context.replica:
                continue
            if self._context.now - replica.last_message_at < self._silence_limit(replica):
                continue
            if replica.is_removed_by(update):
                self._leave(replica)
            else:
                self._gossip.heartbeats.request_update(update.leader, replica.shard)

    def _silence_limit(self, replica: ShardReplica) -> float:
        is_member = self._context.replica in replica.group.members
        return MEMBER_SILENCE_SECONDS if is_member else REMOVED_SILENCE_SECONDS
