"""The shard replicas of one node: Raft messages, applied logs and leader updates."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from returns.result import Failure

from yokeline.consensus.messages import (
    AppendEntries,
    InstallSnapshot,
    LogEntry,
    RaftMessage,
)
from yokeline.consensus.types import RaftRole, Snapshot
from yokeline.identifiers import ReplicaId, ShardId
from yokeline.membership.view import PeerView
from yokeline.messages.types import (
    GroupMessage,
    Heartbeat,
    HeartbeatReply,
    RaftBatch,
    ShardLeader,
)
from yokeline.runs.model import Command
from yokeline.runs.state_machine import ApplyResult, RunStateMachine
from yokeline.server.context import NodeContext
from yokeline.settings import Settings
from yokeline.shards.batches import RaftBatcher
from yokeline.shards.copies import StoredCopies
from yokeline.shards.copy_format import StoredShard
from yokeline.shards.copy_writer import CopyWriter
from yokeline.shards.errors import not_leader
from yokeline.shards.leader_gossip import LeaderGossip
from yokeline.shards.lineage import is_obsolete
from yokeline.shards.local_replicas import LocalReplicas
from yokeline.shards.maintenance import GroupMaintenance
from yokeline.shards.placement import Placement
from yokeline.shards.recovery import RecoveryLog
from yokeline.shards.removal_detector import RemovalDetector
from yokeline.shards.replica import ProposalDone, ReadDone, ShardReplica
from yokeline.shards.status import ShardStatus, has_lost_majority, shard_status


class ShardListener(Protocol):
    """Receives the changes of this node's shards."""

    def leadership_gained(self, shard: ShardId, term: int) -> None:
        """This node leads the shard and has applied everything committed before."""
        ...

    def leadership_lost(self, shard: ShardId) -> None:
        """This node no longer leads the shard."""
        ...

    def command_applied(self, shard: ShardId, command: Command, result: ApplyResult) -> None:
        """A command was applied to this node's replica."""
        ...


class ShardHost:
    """Runs the shard replicas of this node; implements ``replica.ReplicaObserver``.

    The node calls :meth:`flush` after each event, and :meth:`tick` when
    :meth:`next_deadline` is reached.

    Attributes:
        heartbeats: Heartbeats to other nodes; they carry the revision of the tenants'
            configuration that ``heartbeats.configuration_revision`` returns.
        copies: Copies left by earlier process starts, until this process writes a copy of the
            same shard.
    """

    def __init__(
        self,
        context: NodeContext,
        settings: Settings,
        peers: PeerView,
        listener: ShardListener | None = None,
        copies: StoredCopies | None = None,
    ) -> None:
        """Start without replicas; ``copies`` were read from the data folder at the start."""
        self.copies = copies or StoredCopies()
        self._context = context
        self._peers = peers
        self._listener = listener
        self._local_replicas = LocalReplicas(context, settings, self)
        self._replicas = self._local_replicas.replicas
        self._batcher = RaftBatcher(context)
        self._gossip = LeaderGossip(context, settings.consensus.heartbeat_seconds)
        self._death_observers: list[Callable[[ReplicaId], None]] = []
        self._alive: tuple[ReplicaId, ...] = ()
        self._copy_writer = CopyWriter(context, self.copies) if settings.node.data_folder else None
        self.heartbeats = self._gossip.heartbeats
        self._removal = RemovalDetector(
            context, self._local_replicas, self._gossip, self._leave_group
        )
        self._maintenance = GroupMaintenance(
            context,
            settings,
            peers,
            self._gossip.directory,
            self._replicas,
            self._local_replicas.reschedule_tick,
        )

    def set_listener(self, listener: ShardListener) -> None:
        """Set the listener, which may be created after the host."""
        self._listener = listener

    def observe_leaders(self, observer: Callable[[ShardId], None]) -> None:
        """Call ``observer`` whenever the known leader of a shard may have changed."""
        self._gossip.observe(observer)

    def observe_deaths(self, observer: Callable[[ReplicaId], None]) -> None:
        """Call ``observer`` with each node that was alive and is now dead."""
        self._death_observers.append(observer)

    # ------------------------------------------------------------ requests

    def propose(self, shard: ShardId, command: Command, done: ProposalDone) -> None:
        """Commit a command; ``done`` gets the outcome, possibly before this returns.

        A failure has the execution NOT_RUN if the command was certainly not appended, and
        UNKNOWN if leadership was lost before the outcome was known.
        """
        replica = self._replicas.get(shard)
        if replica is None:
            done(Failure(not_leader(shard)))
            return
        replica.propose(command, self._context.now, done)
        self._local_replicas.reschedule_tick(replica)

    def read(self, shard: ShardId, done: ReadDone) -> None:
        """Pass the state machine to ``done`` once it holds everything committed before the call."""
        replica = self._replicas.get(shard)
        if replica is None:
            done(Failure(not_leader(shard)))
            return
        replica.read(self._context.now, done)
        self._local_replicas.reschedule_tick(replica)

    def state_machine(self, shard: ShardId) -> RunStateMachine | None:
        """Return the local state machine of a shard, None if this node holds no replica."""
        replica = self._replicas.get(shard)
        return None if replica is None else replica.state_machine

    def leads(self, shard: ShardId) -> bool:
        """Return whether this node leads a shard and has applied everything committed before."""
        replica = self._replicas.get(shard)
        return replica is not None and replica.leads

    def led_shards(self) -> list[ShardId]:
        """Return the shards that this node leads, in ascending order."""
        return sorted(shard for shard, replica in self._replicas.items() if replica.leads)

    def term(self, shard: ShardId) -> int:
        """Return the term of this node's replica of a shard, 0 if it holds none."""
        replica = self._replicas.get(shard)
        return 0 if replica is None else replica.group.term

    def holds_lease(self, shard: ShardId) -> bool:
        """Return whether this node leads a shard and holds a valid leader lease."""
        replica = self._replicas.get(shard)
        if replica is None or not replica.leads:
            return False
        return replica.group.lease_valid(self._context.now)

    def leader_of(self, shard: ShardId) -> ShardLeader | None:
        """Return the latest update that names the leader of a shard, None if there is none."""
        return self._gossip.directory.leader_of(shard)

    def members_of(self, shard: ShardId) -> tuple[ReplicaId, ...]:
        """Return the last known members of a shard's group; empty if none are known."""
        return self._gossip.directory.members_of(shard)

    def receive_leader_update(self, sender: ReplicaId, update: ShardLeader) -> None:
        """Process a leader update from another node."""
        self._removal.receive_update(sender, update)

    def is_dead(self, replica: ReplicaId) -> bool:
        """Return whether a process start is believed to have ended."""
        return self._peers.is_dead(replica)

    def alive_nodes(self) -> tuple[ReplicaId, ...]:
        """Return the process starts that are not dead, including this one."""
        return tuple(member.replica for member in self._peers.alive())

    def status(self) -> list[ShardStatus]:
        """Return the status of this node's replicas, by shard."""
        return [
            shard_status(self._replicas[shard], self._peers.is_dead)
            for shard in sorted(self._replicas)
        ]

    # ------------------------------------------------------------ group lifecycle

    def start_groups(self, placement: Placement) -> None:
        """Bootstrap the replicas that the initial placement assigns to this process start."""
        self._gossip.directory.load_placement(placement)
        for number, members in enumerate(placement.groups):
            if self._context.replica in members:
                self._local_replicas.bootstrap(ShardId(number), members)
        self._update_peers()

    def recover(self, shard: ShardId, log: RecoveryLog) -> None:
        """After a quorum loss, start a new group with this node as the only member.

        See ``server.recovery``.
        """
        old = self._replicas.get(shard)
        if old is not None:
            self._drop_obsolete(old)
        self._context.counters["yokeline_shards_recovered_total"] += 1
        self._local_replicas.recover(shard, log)
        self._update_peers()

    def copy_of(self, shard: ShardId) -> StoredShard | None:
        """Return the state and log of the local replica, including uncommitted entries."""
        replica = self._replicas.get(shard)
        return None if replica is None else replica.export_copy()

    def majority_lost(self, shard: ShardId) -> bool:
        """Return whether each membership of a group that is known here has lost its majority."""
        memberships = [self._gossip.directory.members_of(shard)]
        replica = self._replicas.get(shard)
        if replica is not None:
            memberships += [replica.committed_members, replica.group.members]
        groups = [members for members in memberships if members]
        lost = all(has_lost_majority(members, self._peers.is_dead) for members in groups)
        return bool(groups) and lost

    def set_transfer_guard(self, guard: Callable[[ShardId], bool]) -> None:
        """Do not transfer a shard's leadership while ``guard`` returns true for the shard."""
        self._maintenance.transfer_blocked = guard

    def transfer_all_leaderships(self) -> None:
        """Begin the planned stop: transfer every leadership that another node can take over."""
        self._maintenance.draining = True
        self._maintenance.run_round()

    def replicas_left(self) -> int:
        """Return how many replicas this node still holds."""
        return len(self._replicas)

    def peers_changed(self) -> None:
        """Make maintenance due now, because the membership view has changed."""
        self._maintenance.schedule_now()

    def _leave_group(self, replica: ShardReplica) -> None:
        update = self.leader_of(replica.shard)
        if update is not None and is_obsolete(replica.group.term, update.term):
            self._drop_obsolete(replica)
        else:
            self._local_replicas.leave(replica)
        self._update_peers()

    def _drop_obsolete(self, replica: ShardReplica) -> None:
        """Leave a group that a recovery has replaced, and set aside what this node holds of it."""
        if self._copy_writer is not None:
            self._copy_writer.set_aside(replica.export_copy())
        self._context.warn("replica_obsolete", shard=replica.shard, term=replica.group.term)
        self._local_replicas.leave(replica)

    def _drop_removed(self) -> None:
        for shard in self._local_replicas.drop_removed():
            if self._copy_writer is not None:
                self._copy_writer.forget(shard)

    # ------------------------------------------------------------ events

    def receive_batch(self, sender: ReplicaId, batch: RaftBatch) -> None:
        """Process the Raft messages of another node."""
        self.heartbeats.note_message(sender)
        for item in batch.messages:
            replica = self._replica_for(sender, item)
            if replica is None:
                continue
            replica.last_message_at = self._context.now
            replica.carry_out(replica.group.step(sender, item.message, self._context.now))
            self._local_replicas.reschedule_tick(replica)

    def _replica_for(self, sender: ReplicaId, item: GroupMessage) -> ShardReplica | None:
        """Return the replica that processes a message, if any; an obsolete one is dropped first."""
        term = item.message.term
        replica = self._replicas.get(item.shard)
        if replica is not None and is_obsolete(replica.group.term, term):
            self._local_replicas.note_term(item.shard, term)
            self._drop_obsolete(replica)
            replica = None
        return replica or self._join_group(sender, item)

    def _join_group(self, sender: ReplicaId, item: GroupMessage) -> ShardReplica | None:
        """Join a group whose leader has added this node."""
        message = item.message
        if not isinstance(message, AppendEntries | InstallSnapshot) or message.leader != sender:
            return None
        replica = self._local_replicas.join(item.shard, message.term)
        if replica is not None:
            self._update_peers()
        return replica

    def receive_heartbeat(self, sender: ReplicaId, heartbeat: Heartbeat) -> None:
        """Process a heartbeat of another node."""
        for update in self.heartbeats.receive(sender, heartbeat):
            self._removal.receive_update(sender, update)
        self._removal.send_requested_updates(sender, heartbeat.wanted)
        self._note_leader_alive(sender)

    def receive_heartbeat_reply(self, sender: ReplicaId, reply: HeartbeatReply) -> None:
        """Process the reply to a heartbeat."""
        self.heartbeats.receive_reply(sender, reply)
        self._note_leader_alive(sender)

    def tick(self) -> None:
        """Run everything that is due."""
        self._local_replicas.tick()
        if self._context.now >= self._maintenance.next_deadline():
            self._maintenance.run_round()
            self._update_peers()
            self._removal.check_silent_replicas()
            self._drop_removed()
        self.heartbeats.tick()
        if self._copy_writer is not None:
            self._copy_writer.tick()

    def next_deadline(self) -> float:
        """Return when :meth:`tick` is due."""
        times = [
            self._maintenance.next_deadline(),
            self.heartbeats.next_deadline(),
            self._local_replicas.next_deadline(),
            None if self._copy_writer is None else self._copy_writer.next_deadline(),
        ]
        return min(time for time in times if time is not None)

    def flush(self) -> None:
        """Send the Raft messages collected during the current event."""
        self._batcher.flush()

    def _note_leader_alive(self, sender: ReplicaId) -> None:
        for replica in self._replicas.values():
            if replica.group.leader == sender:
                replica.group.node_alive(sender, self._context.now)

    # ------------------------------------------------------------ peers

    def _update_peers(self) -> None:
        alive = self.alive_nodes()
        self._report_deaths(alive)
        groups = (replica.group.members for replica in self._replicas.values())
        self._gossip.update_peers(groups, alive, self.led_shards())

    def _report_deaths(self, alive: tuple[ReplicaId, ...]) -> None:
        dead_nodes = sorted(set(self._alive) - set(alive))
        self._alive = alive
        for replica in dead_nodes:
            for observer in self._death_observers:
                observer(replica)

    # ------------------------------------------------------------ ReplicaObserver

    def replica_sends(self, shard: ShardId, to: ReplicaId, message: RaftMessage) -> None:
        """Add a message to the batch of its receiver."""
        self._batcher.add(shard, to, message)

    def replica_gained_leadership(self, replica: ShardReplica) -> None:
        """Announce the leadership and notify the listener."""
        self._context.counters["yokeline_leaderships_gained_total"] += 1
        self._gossip.announce_to_all(replica)
        if self._listener is not None:
            self._listener.leadership_gained(replica.shard, replica.group.term)

    def replica_lost_leadership(self, replica: ShardReplica) -> None:
        """Notify the listener of the lost leadership."""
        self._context.counters["yokeline_leaderships_lost_total"] += 1
        if self._listener is not None:
            self._listener.leadership_lost(replica.shard)

    def replica_state_changed(self, replica: ShardReplica) -> None:
        """As leader, announce the members; as follower, record the leader."""
        if replica.leads:
            self._gossip.announce_to_all(replica)
        elif replica.group.role is not RaftRole.LEADER:
            self._gossip.record_followed_leader(replica)

    def replica_members_committed(
        self, replica: ShardReplica, removed: tuple[ReplicaId, ...]
    ) -> None:
        """Announce the members to all peers, and to the members just removed."""
        if replica.leads:
            self._gossip.announce(replica, (*self.heartbeats.peers, *removed))

    def replica_applied(self, replica: ShardReplica, command: Command, result: ApplyResult) -> None:
        """Notify the listener of an applied command."""
        if self._listener is not None:
            self._listener.command_applied(replica.shard, command, result)

    def replica_committed(self, replica: ShardReplica, entries: tuple[LogEntry, ...]) -> None:
        """Record committed entries for the copy on disk, if there is a data folder."""
        if self._copy_writer is not None:
            self._copy_writer.note_committed(replica, entries)

    def replica_snapshot_installed(self, replica: ShardReplica, snapshot: Snapshot) -> None:
        """Record an installed snapshot for the copy on disk, if there is a data folder."""
        if self._copy_writer is not None:
            self._copy_writer.note_snapshot_installed(replica, snapshot)
