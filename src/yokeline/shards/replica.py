"""One replica of a shard: its Raft group, its state machine and its pending requests."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import Protocol, assert_never

import msgspec
from returns.result import Failure, Result, Success

from yokeline.consensus.effects import (
    Committed,
    HardStateChanged,
    MembersChanged,
    Proposal,
    RaftEffect,
    ReadFailed,
    ReadReady,
    Restored,
    RoleChanged,
    Send,
)
from yokeline.consensus.group import RaftGroup
from yokeline.consensus.messages import EntryKind, LogEntry, RaftMessage
from yokeline.consensus.types import HardState, RaftRole, Snapshot
from yokeline.errors import YokelineError, YokelineException
from yokeline.identifiers import ReplicaId, ShardId
from yokeline.messages.codec import decode_command, encode_command
from yokeline.messages.types import ShardLeader
from yokeline.runs.model import Command
from yokeline.runs.state_machine import ApplyResult, RunStateMachine
from yokeline.shards.copy_format import StoredShard
from yokeline.shards.errors import leadership_lost, not_leader
from yokeline.shards.lineage import is_obsolete

ProposalDone = Callable[[Result[ApplyResult, YokelineError]], None]
ReadDone = Callable[[Result[RunStateMachine, YokelineError]], None]


class ReplicaObserver(Protocol):
    """Receives the events of a replica."""

    def replica_sends(self, shard: ShardId, to: ReplicaId, message: RaftMessage) -> None:
        """The replica sends a message."""
        ...

    def replica_gained_leadership(self, replica: ShardReplica) -> None:
        """The replica leads and has applied everything committed before."""
        ...

    def replica_lost_leadership(self, replica: ShardReplica) -> None:
        """The replica no longer leads."""
        ...

    def replica_state_changed(self, replica: ShardReplica) -> None:
        """The role, leader or members of the replica changed."""
        ...

    def replica_members_committed(
        self, replica: ShardReplica, removed: tuple[ReplicaId, ...]
    ) -> None:
        """A group membership was committed that no longer includes ``removed``."""
        ...

    def replica_applied(self, replica: ShardReplica, command: Command, result: ApplyResult) -> None:
        """A command was applied."""
        ...

    def replica_committed(self, replica: ShardReplica, entries: tuple[LogEntry, ...]) -> None:
        """Entries were committed and applied."""
        ...

    def replica_snapshot_installed(self, replica: ShardReplica, snapshot: Snapshot) -> None:
        """A snapshot was installed: it replaced the state of the replica."""
        ...


class _PendingProposal(msgspec.Struct, frozen=True):
    term: int
    done: ProposalDone


class ShardReplica:
    """Applies the effects that one Raft group returns, in order and without recursion.

    Attributes:
        shard: The shard.
        group: The Raft group.
        state_machine: State after the entry ``applied_index``.
        committed_members: Members by the last applied membership entry.
        hard_state: Term and vote, to be kept after the replica has left the group.
        last_message_at: Monotonic time at which the last message of the group arrived.
    """

    def __init__(
        self,
        shard: ShardId,
        group: RaftGroup,
        observer: ReplicaObserver,
        snapshot_entries: int,
        hard_state: HardState,
    ) -> None:
        """Run ``group``; compact its log after every ``snapshot_entries`` entries."""
        self.shard = shard
        self.group = group
        self.state_machine = RunStateMachine()
        self.applied_index = 0
        self.committed_members = group.members
        self.hard_state = hard_state
        self.last_message_at = 0.0
        self._observer = observer
        self._snapshot_entries = snapshot_entries
        # Term of the leadership that was reported to the observer; an entry of it is applied.
        self._applied_leader_term: int | None = None
        self._leadership_reported = False
        self._queue: deque[RaftEffect] = deque()
        self._is_carrying_out = False
        self._proposals: dict[int, _PendingProposal] = {}
        self._reads: dict[str, ReadDone] = {}
        self._next_read = 0

    @property
    def leads(self) -> bool:
        """Whether the Raft role is leader and an entry of the current term has been applied.

        All entries that were committed in earlier terms have then been applied too. Neither the
        lease nor contact with a quorum is checked.
        """
        group = self.group
        return group.role is RaftRole.LEADER and group.term == self._applied_leader_term

    @property
    def membership_applied(self) -> bool:
        """Whether the group membership in use is committed and applied here."""
        return set(self.committed_members) == set(self.group.members)

    @property
    def is_carrying_out(self) -> bool:
        """Whether Raft effects are being applied, so that the caller runs within a callback."""
        return self._is_carrying_out

    @property
    def announced_members(self) -> tuple[ReplicaId, ...]:
        """Members that a leader announces: during a change, those of both memberships."""
        if self.membership_applied:
            return self.committed_members
        return tuple(sorted({*self.committed_members, *self.group.members}))

    def is_removed_by(self, update: ShardLeader) -> bool:
        """Return whether a leader update proves that this replica was removed permanently.

        It does if ``update.term`` has a higher lineage, because a recovery has replaced the
        group, or if all of these hold:

        * ``update.members`` is not empty and does not include this replica;
        * this replica is not a leader, and ``update.term`` is not below its term;
        * ``update.revision``, the index that the leader had applied, is not below
          ``group.last_index``. A quorum of other members then holds every entry up to that index,
          so that no commit relies on this replica.

        The local log is not evidence: a removed replica may never receive the entry that removes
        it, and a replica that is added again replays its earlier removal while it catches up.
        """
        if is_obsolete(self.group.term, update.term):
            return True
        if self.group.replica in update.members or not update.members:
            return False
        if self.group.role is RaftRole.LEADER or update.term < self.group.term:
            return False
        return update.revision >= self.group.last_index

    # ------------------------------------------------------------ requests

    def propose(self, command: Command, now: float, done: ProposalDone) -> None:
        """Append a command; ``done`` gets its outcome, possibly before this returns."""
        if not self.leads:
            done(Failure(not_leader(self.shard)))
            return
        proposal = self.group.propose(encode_command(command), now)
        if proposal.accepted:
            self._proposals[proposal.index] = _PendingProposal(proposal.term, done)
        self.carry_out(proposal.effects)
        if not proposal.accepted:
            done(Failure(not_leader(self.shard)))

    def read(self, now: float, done: ReadDone) -> None:
        """Pass the state machine to ``done`` once this replica is known to still lead."""
        if not self.leads:
            done(Failure(not_leader(self.shard)))
            return
        self._next_read += 1
        token = str(self._next_read)
        self._reads[token] = done
        self.carry_out(self.group.read(token, now))

    def change_members(self, proposal: Proposal) -> bool:
        """Apply the Raft effects of a membership proposal; return whether it was accepted."""
        self.carry_out(proposal.effects)
        return proposal.accepted

    # ------------------------------------------------------------ effects

    def carry_out(self, effects: Iterable[RaftEffect]) -> None:
        """Apply Raft effects, after those that are already queued."""
        self._queue.extend(effects)
        if self._is_carrying_out:
            return
        self._is_carrying_out = True
        try:
            while self._queue:
                self._carry_out_one(self._queue.popleft())
        finally:
            self._is_carrying_out = False

    def _carry_out_one(self, effect: RaftEffect) -> None:
        match effect:
            case Send():
                self._observer.replica_sends(self.shard, effect.to, effect.message)
            case Committed():
                self._apply_all(effect.entries)
            case Restored():
                self._install_snapshot(effect.snapshot)
            case RoleChanged():
                self._role_changed(effect)
            case MembersChanged():
                self._observer.replica_state_changed(self)
            case ReadReady():
                self._complete_read(effect.token, Success(self.state_machine))
            case ReadFailed():
                self._complete_read(effect.token, Failure(not_leader(self.shard)))
            case HardStateChanged():
                self.hard_state = effect.hard_state
            case _:
                assert_never(effect)

    def _role_changed(self, change: RoleChanged) -> None:
        still_leads = change.role is RaftRole.LEADER and change.term == self._applied_leader_term
        if self._leadership_reported and not still_leads:
            self._transition_not_leading()
        if change.role is not RaftRole.LEADER:
            self._fail_pending()
        self._observer.replica_state_changed(self)

    def _transition_leading(self, term: int) -> None:
        self._applied_leader_term = term
        self._leadership_reported = True
        self._observer.replica_gained_leadership(self)

    def _transition_not_leading(self) -> None:
        self._applied_leader_term = None
        self._leadership_reported = False
        self._observer.replica_lost_leadership(self)

    def _fail_pending(self) -> None:
        """Fail the proposals and reads whose outcome this replica will not learn."""
        proposals = self._proposals
        reads = self._reads
        self._proposals = {}
        self._reads = {}
        for proposal in proposals.values():
            proposal.done(Failure(leadership_lost(self.shard)))
        for read in reads.values():
            read(Failure(not_leader(self.shard)))

    def _complete_read(self, token: str, result: Result[RunStateMachine, YokelineError]) -> None:
        done = self._reads.pop(token, None)
        if done is not None:
            done(result)

    # ------------------------------------------------------------ applying

    def _apply_all(self, entries: tuple[LogEntry, ...]) -> None:
        for entry in entries:
            self._apply(entry)
        self._compact_if_due()
        self._observer.replica_committed(self, entries)

    def _apply(self, entry: LogEntry) -> None:
        self.applied_index = entry.index
        match entry.kind:
            case EntryKind.COMMAND:
                self._apply_command(entry)
            case EntryKind.MEMBERSHIP:
                removed = tuple(m for m in self.committed_members if m not in entry.members)
                self.committed_members = entry.members
                self._observer.replica_members_committed(self, removed)
            case EntryKind.EMPTY:
                pass
            case _:
                assert_never(entry.kind)
        if self._leads_term(entry.term) and not self._leadership_reported:
            self._transition_leading(entry.term)

    def _leads_term(self, term: int) -> bool:
        return self.group.role is RaftRole.LEADER and self.group.term == term

    def _apply_command(self, entry: LogEntry) -> None:
        decoded = decode_command(entry.command)
        if not isinstance(decoded, Success):
            # Skipping the entry would make this replica diverge from the others.
            raise YokelineException(decoded.failure())
        command = decoded.unwrap()
        result = self.state_machine.apply(command)
        self._observer.replica_applied(self, command, result)
        pending = self._proposals.pop(entry.index, None)
        if pending is None:
            return
        if pending.term == entry.term:
            pending.done(Success(result))
        else:
            pending.done(Failure(not_leader(self.shard)))

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the state by a snapshot from the leader or from a recovered copy."""
        self.state_machine = RunStateMachine.restore(snapshot.data)
        self.applied_index = snapshot.last_index
        self.committed_members = snapshot.members
        self._observer.replica_snapshot_installed(self, snapshot)
        self._observer.replica_state_changed(self)

    def _compact_if_due(self) -> None:
        snapshot = self.group.snapshot
        compacted_index = 0 if snapshot is None else snapshot.last_index
        if self.applied_index - compacted_index >= self._snapshot_entries:
            self.group.compact(self.applied_index, self.state_machine.snapshot())

    def export_copy(self) -> StoredShard:
        """Return the snapshot and the log, including uncommitted entries, as a copy."""
        empty = Snapshot(0, 0, self.group.members, RunStateMachine().snapshot())
        snapshot = self.group.snapshot or empty
        return StoredShard(
            shard=self.shard,
            replica=self.group.replica,
            snapshot=snapshot,
            entries=self.group.entries_after(snapshot.last_index),
        )

    def close(self) -> None:
        """Fail all pending requests, because the replica leaves its group."""
        if self._leadership_reported:
            self._transition_not_leading()
        self._fail_pending()
