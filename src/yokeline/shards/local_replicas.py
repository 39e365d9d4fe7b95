"""The replicas that a node holds: joining and leaving groups, and the timers of groups."""

from __future__ import annotations

from collections.abc import Iterable

from yokeline.consensus.effects import Restored
from yokeline.consensus.group import RaftGroup
from yokeline.consensus.settings import RaftSettings
from yokeline.consensus.types import HardState
from yokeline.identifiers import ReplicaId, ShardId
from yokeline.server.context import NodeContext
from yokeline.settings import ConsensusSection, Settings
from yokeline.shards.deadlines import DeadlineQueue
from yokeline.shards.lineage import is_obsolete, lineage_of
from yokeline.shards.recovery import RecoveryLog
from yokeline.shards.removed_replicas import RemovedReplicas
from yokeline.shards.replica import ReplicaObserver, ShardReplica

_RETAINED_ENTRIES_DIVISOR = 8
"""Compaction retains 1 / divisor of ``snapshot_entries`` for followers that lag behind."""


class LocalReplicas:
    """The replicas of one node, by shard.

    Attributes:
        replicas: Replicas of the groups that this node is in; read-only for other classes.
    """

    def __init__(self, context: NodeContext, settings: Settings, observer: ReplicaObserver) -> None:
        """Start without replicas; new ones report to ``observer``."""
        self.replicas: dict[ShardId, ShardReplica] = {}
        self._context = context
        self._observer = observer
        self._snapshot_entries = settings.consensus.snapshot_entries
        self._raft_settings = _raft_settings(settings.consensus)
        self._removed = RemovedReplicas()
        self._deadlines: DeadlineQueue[ShardId] = DeadlineQueue()
        self._highest_terms: dict[ShardId, int] = {}

    def bootstrap(self, shard: ShardId, members: tuple[ReplicaId, ...]) -> None:
        """Create the replica of a new group from its initial members; no leader exists yet.

        Does nothing if this node is in the group or has left it, or if the shard was recovered.
        """
        was_recovered = lineage_of(self._highest_terms.get(shard, 0)) > 0
        if shard not in self.replicas and shard not in self._removed and not was_recovered:
            self.reschedule_tick(self._create(shard, members))

    def join(self, shard: ShardId, term: int) -> ShardReplica | None:
        """Create or reuse the replica of an existing group whose leader has added this node.

        None if a recovery has replaced the group.
        """
        if is_obsolete(term, self._highest_terms.get(shard, 0)):
            return None
        replica = self._removed.take_replica(shard)
        if replica is None or is_obsolete(replica.group.term, term):
            return self._create(shard, ())
        self.replicas[shard] = replica
        return replica

    def recover(self, shard: ShardId, log: RecoveryLog) -> ShardReplica:
        """After a quorum loss, start a group of this node alone from a copy of the old group."""
        self.note_term(shard, log.term)
        self._removed.take_replica(shard)
        self._removed.take_hard_state(shard)
        replica = self._create(shard, (), log)
        if log.snapshot is not None:
            replica.carry_out([Restored(log.snapshot)])
        self.reschedule_tick(replica)
        return replica

    def note_term(self, shard: ShardId, term: int) -> None:
        """Record the highest term of a shard, which tells whether a replica is obsolete."""
        self._highest_terms[shard] = max(term, self._highest_terms.get(shard, 0))

    def leave(self, replica: ShardReplica) -> None:
        """Leave a group that has removed this node or that a recovery has replaced."""
        del self.replicas[replica.shard]
        self._deadlines.remove(replica.shard)
        replica.close()
        self._removed.add(replica, self._context.now)
        self._context.log("replica_left", shard=replica.shard, term=replica.group.term)

    def drop_removed(self) -> Iterable[ShardId]:
        """Drop replicas whose retention time after the removal is over; return their shards."""
        return self._removed.drop_expired(self._context.now)

    def reschedule_tick(self, replica: ShardReplica) -> None:
        """Update the deadline of a group after a call into the group."""
        if not replica.is_carrying_out and self.replicas.get(replica.shard) is replica:
            self._deadlines.set(replica.shard, replica.group.next_deadline())

    def tick(self) -> None:
        """Tick the groups that are due."""
        for shard in self._deadlines.take_due(self._context.now):
            replica = self.replicas.get(shard)
            if replica is not None:
                replica.carry_out(replica.group.tick(self._context.now))
                self.reschedule_tick(replica)

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due."""
        return self._deadlines.next()

    def _create(
        self, shard: ShardId, members: tuple[ReplicaId, ...], log: RecoveryLog | None = None
    ) -> ShardReplica:
        hard_state = self._removed.take_hard_state(shard)
        if log is not None:
            hard_state = HardState(term=log.term)
        group = RaftGroup(
            replica=self._context.replica,
            members=members,
            settings=self._raft_settings,
            source=self._context.random,
            now=self._context.now,
            snapshot=None if log is None else log.snapshot,
            entries=() if log is None else log.entries,
            hard_state=hard_state,
        )
        replica = ShardReplica(
            shard, group, self._observer, self._snapshot_entries, hard_state or HardState()
        )
        replica.last_message_at = self._context.now
        self.replicas[shard] = replica
        return replica


def _raft_settings(consensus: ConsensusSection) -> RaftSettings:
    """Return the Raft settings that all groups share."""
    return RaftSettings(
        heartbeat_seconds=consensus.heartbeat_seconds,
        election_timeout_seconds=consensus.election_timeout_seconds,
        append_bytes=consensus.append_bytes,
        snapshot_chunk_bytes=consensus.snapshot_chunk_bytes,
        retained_entries=consensus.snapshot_entries // _RETAINED_ENTRIES_DIVISOR,
    )
