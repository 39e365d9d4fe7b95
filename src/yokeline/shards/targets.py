"""Choice of the node that a request is sent to."""

from __future__ import annotations

from yokeline.identifiers import ReplicaId
from yokeline.shards.host import ShardHost
from yokeline.shards.pending import PendingRequest


class TargetChooser:
    """Chooses targets by the leaders and members that this node knows."""

    def __init__(self, own: ReplicaId, host: ShardHost) -> None:
        """Choose targets for requests of the node ``own``."""
        self._own = own
        self._host = host

    def choose(self, pending: PendingRequest) -> ReplicaId | None:
        """Return the leader, else a node that may know the leader; None to wait."""
        if self._host.leads(pending.shard):
            return self._own
        leader = self._host.leader_of(pending.shard)
        if leader is not None and self._is_candidate(leader.leader, pending):
            return leader.leader
        return self._fallback_target(pending)

    def _is_candidate(self, replica: ReplicaId, pending: PendingRequest) -> bool:
        if replica in (self._own, pending.not_leader_node):
            return False
        return not self._host.is_dead(replica)

    def _fallback_target(self, pending: PendingRequest) -> ReplicaId | None:
        """Return a member of the group, else any live node.

        Its not-leader reply may name the leader.

        A node that is a member itself waits, since it learns of a new leader as early as the other
        members do.
        """
        members = self._host.members_of(pending.shard)
        if self._own in members:
            return None
        candidates = [member for member in members if self._is_candidate(member, pending)]
        if not candidates:
            alive = self._host.alive_nodes()
            candidates = [replica for replica in alive if self._is_candidate(replica, pending)]
        attempt = pending.attempts + pending.resends
        return candidates[attempt % len(candidates)] if candidates else None
