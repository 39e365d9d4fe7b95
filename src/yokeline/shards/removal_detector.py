"""Detects that groups have removed this node, which their logs may never show."""

from __future__ import annotations

from collections.abc import Callable

from yokeline.identifiers import ReplicaId, ShardId
from yokeline.messages.types import ShardLeader
from yokeline.server.context import NodeContext
from yokeline.shards.leader_gossip import LeaderGossip
from yokeline.shards.local_replicas import LocalReplicas
from yokeline.shards.replica import ShardReplica

REMOVED_SILENCE_SECONDS = 3.0
"""Silence after which a replica that is not in its group's membership asks for an update."""
MEMBER_SILENCE_SECONDS = 12.0
"""Silence after which a member asks for an update; exceeds the message interval of idle groups."""


class RemovalDetector:
    """Compares leader updates with the local replicas, and requests updates for silent ones."""

    def __init__(
        self,
        context: NodeContext,
        replicas: LocalReplicas,
        gossip: LeaderGossip,
        leave: Callable[[ShardReplica], None],
    ) -> None:
        """Call ``leave`` with each replica that its group has certainly removed."""
        self._context = context
        self._local_replicas = replicas
        self._replicas = replicas.replicas
        self._gossip = gossip
        self._leave = leave

    def receive_update(self, sender: ReplicaId, update: ShardLeader) -> None:
        """Process a leader update; leave the group if the update proves a removal."""
        self._local_replicas.note_term(update.shard, update.term)
        if not self._gossip.receive_update(sender, update):
            return
        replica = self._replicas.get(update.shard)
        if replica is not None and not replica.is_carrying_out and replica.is_removed_by(update):
            self._leave(replica)

    def send_requested_updates(self, sender: ReplicaId, shards: tuple[ShardId, ...]) -> None:
        """Queue the updates that a node requested, with current ones of shards led here."""
        for shard in shards:
            replica = self._replicas.get(shard)
            if replica is not None and replica.leads:
                self._gossip.announce(replica, (sender,))
            else:
                self._gossip.directory.enqueue(sender, shard)

    def check_silent_replicas(self) -> None:
        """Leave silent groups that have removed this node; if unclear, request an update."""
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
