"""Which node a request is sent to."""

from __future__ import annotations

from yokeline.identifiers import ReplicaId
from yokeline.shards.host import ShardHost
from yokeline.shards.pending import PendingRequest


class TargetChooser:
    """Chooses by what this node believes of the shards' leaders."""

    def __init__(self, own: ReplicaId, host: ShardHost) -> None:
        """Choose for the node ``own``."""
        self._own = own
        self._host = host

    def choose(self, pending: PendingRequest) -> ReplicaId | None:
        """Return the node to ask: the leader, else one that may know it; None to wait."""
        if self._host.leads(pending.shard):
            return self._own
        leader = self._host.leader_of(pending.shard)
        if leader is not None and self._may_ask(leader.leader, pending):
            return leader.leader
        return self._someone_who_may_know(pending)

    def _may_ask(self, replica: ReplicaId, pending: PendingRequest) -> bool:
        if replica in (self._own, pending.refused_by):
            return False
        return not self._host.is_dead(replica)

    def _someone_who_may_know(self, pending: PendingRequest) -> ReplicaId | None:
        """Return a member of the group, else any node: its refusal carries a hint.

        A node that is a member itself learns of the next leader as soon as the others do.
        """
        members = self._host.members_of(pending.shard)
        if self._own in members:
            return None
        asked = [member for member in members if self._may_ask(member, pending)]
        if not asked:
            alive = self._host.alive_nodes()
            asked = [replica for replica in alive if self._may_ask(replica, pending)]
        turn = pending.attempts + pending.resends
        return asked[turn % len(asked)] if asked else None
