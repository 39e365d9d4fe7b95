"""One replica of a Raft group, without I/O (Ongaro and Ousterhout 2014; Ongaro 2014).

The host hands messages and time in and carries the returned effects out, in order. Besides
the base algorithm: pre-vote and leader stickiness, a leader lease, log repair with hints,
pipelining, snapshot transfer in chunks, single-server membership change, leadership
transfer, linearizable reads, and idle groups whose liveness rests on their nodes' heartbeats.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

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
from yokeline.consensus.log import RaftLog
from yokeline.consensus.messages import AppendEntries, LogEntry, RaftMessage
from yokeline.consensus.roles import Roles
from yokeline.consensus.settings import RaftSettings
from yokeline.consensus.state import ReplicaState
from yokeline.consensus.types import HardState, RaftRole, Snapshot
from yokeline.identifiers import ReplicaId

__all__ = [
    "Committed",
    "HardState",
    "HardStateChanged",
    "MembersChanged",
    "Proposal",
    "RaftEffect",
    "RaftGroup",
    "RaftRole",
    "RaftSettings",
    "ReadFailed",
    "ReadReady",
    "Restored",
    "RoleChanged",
    "Send",
    "Snapshot",
]


class RaftGroup:
    """One replica of one group.

    Every method that takes ``now`` expects monotonic seconds that do not go back. Methods
    that return effects return all that the call caused.
    """

    __slots__ = ("_roles", "_state")

    def __init__(
        self,
        *,
        replica: ReplicaId,
        members: tuple[ReplicaId, ...],
        settings: RaftSettings,
        source: random.Random,
        now: float,
        snapshot: Snapshot | None = None,
        entries: Iterable[LogEntry] = (),
        hard_state: HardState | None = None,
        commit_index: int = 0,
    ) -> None:
        """Create a follower.

        Args:
            replica: Identity of this replica, never used by another process start.
            members: The configuration to start from, over that of ``snapshot``; empty for a
                new member of an existing group (it learns the configuration from the leader)
                and where ``snapshot`` tells it. Membership entries count over both.
            settings: Timing and sizes.
            source: Seeded random source; may be shared by many groups.
            now: Current time.
            snapshot: State to start from; its index counts as committed.
            entries: Log entries that follow the snapshot (or begin at index 1).
            hard_state: Term and vote, where the replica had been running under the same id.
            commit_index: Index up to which ``entries`` are known to be committed. The host applies
                them itself; they are not handed over again.
        """
        base = snapshot or Snapshot(0, 0, members, b"")
        log = RaftLog(
            base_index=base.last_index,
            base_term=base.last_term,
            members=members or base.members,
            entries=entries,
        )
        self._state = ReplicaState(
            replica=replica,
            settings=settings,
            source=source,
            log=log,
            hard_state=hard_state or HardState(term=log.last_term),
            snapshot=snapshot,
        )
        known_commit = min(commit_index, log.last_index)
        self._state.commit_index = max(self._state.commit_index, known_commit)
        self._roles = Roles(self._state, now, restarted=hard_state is not None)

    # ------------------------------------------------------------ what is known

    @property
    def replica(self) -> ReplicaId:
        """Identity of this replica."""
        return self._state.replica

    @property
    def role(self) -> RaftRole:
        """Role of this replica."""
        return self._state.role

    @property
    def term(self) -> int:
        """Current term."""
        return self._state.term

    @property
    def leader(self) -> ReplicaId | None:
        """Leader of the current term, if it is known."""
        return self._state.leader

    @property
    def members(self) -> tuple[ReplicaId, ...]:
        """Configuration in force, committed or not."""
        return self._state.members

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed (all were handed over)."""
        return self._state.commit_index

    @property
    def last_index(self) -> int:
        """Index of the last entry of the log."""
        return self._state.log.last_index

    @property
    def first_index(self) -> int:
        """Index of the first entry that is not compacted away."""
        return self._state.log.first_index

    @property
    def snapshot(self) -> Snapshot | None:
        """The latest snapshot, from :meth:`compact` or from a leader."""
        return self._state.snapshot

    def entries_after(self, index: int) -> tuple[LogEntry, ...]:
        """Return the entries after ``index`` that are in the log, committed or not."""
        log = self._state.log
        return log.between(max(index, log.base_index) + 1, log.last_index)

    def entries_message(self, after: int, max_bytes: int) -> AppendEntries:
        """Return a message with the entries after an index, up to a size of their commands.

        It holds one entry at least.
        """
        log = self._state.log
        entries: list[LogEntry] = []
        size = 0
        for entry in log.between(after + 1, log.last_index):
            size += len(entry.command)
            if entries and size > max_bytes:
                break
            entries.append(entry)
        return AppendEntries(
            term=self._state.term,
            leader=self._state.replica,
            previous_index=after,
            previous_term=log.term_at(after) or 0,
            commit_index=min(self._state.commit_index, after),
            round=0,
            entries=tuple(entries),
        )

    def take_unsaved_entries(self) -> tuple[LogEntry, ...]:
        """Return the entries to write to disk before this call's effects are carried out."""
        return self._state.log.take_unsaved()

    @property
    def hard_state(self) -> HardState:
        """Term and vote, as a restart under the same id needs them."""
        return HardState(self._state.term, self._state.voted_for)

    @property
    def configuration_index(self) -> int:
        """Index of the entry that holds the configuration in force."""
        return self._state.log.configuration.index

    @property
    def membership_pending(self) -> bool:
        """Whether the configuration in force is not committed yet."""
        return self._state.membership_pending

    def follower_silence(self, now: float) -> dict[ReplicaId, float]:
        """Return how long each follower has left a message unanswered; empty if not leading."""
        return {} if self._roles.leadership is None else self._roles.leadership.silence(now)

    def has_caught_up(self, replica: ReplicaId) -> bool:
        """Return whether this replica leads and a follower holds every committed entry."""
        leadership = self._roles.leadership
        return leadership is not None and leadership.has_caught_up(replica)

    def set_lost(self, lost: frozenset[ReplicaId]) -> None:
        """Name the replicas that are known to have lost their disks, and never come back."""
        self._state.lost = lost

    def may_change_members(self) -> bool:
        """Return whether :meth:`add_member` or :meth:`remove_member` would be taken now."""
        return self._roles.leadership is not None and self._roles.leadership.may_change_members

    def lease_valid(self, now: float) -> bool:
        """Return whether this replica leads and surely no other one can at ``now``."""
        return self._roles.leadership is not None and self._roles.leadership.lease_valid(now)

    # ------------------------------------------------------------ events

    def step(self, sender: ReplicaId, message: RaftMessage, now: float) -> list[RaftEffect]:
        """Take a message of another replica in."""
        self._roles.step(sender, message, now)
        return self._roles.finish(now)

    def tick(self, now: float) -> list[RaftEffect]:
        """Do what is due at ``now``; harmless when nothing is."""
        self._roles.tick(now)
        return self._roles.finish(now)

    def next_deadline(self) -> float:
        """Return when :meth:`tick` is due; it may be past, and infinity means never.

        It changes with every call into the group.
        """
        return self._roles.next_deadline()

    def node_alive(self, peer: ReplicaId, now: float) -> None:
        """Note that a node-level heartbeat of ``peer`` came at ``now``.

        It postpones this follower's election while the group's leader lives there, for a
        few idle heartbeats of silence in the group at most. A host with many groups may
        call it lazily, before a due :meth:`tick` and before a vote request is stepped.
        """
        self._roles.node_alive(peer, now)

    def node_dead(self, peer: ReplicaId, now: float) -> list[RaftEffect]:
        """Note that the node of ``peer`` is dead: if it led, stand for election soon."""
        self._roles.node_dead(peer, now)
        return self._roles.finish(now)

    # ------------------------------------------------------------ requests

    def propose(self, command: bytes, now: float) -> Proposal:
        """Append a command if this replica leads and does not hand over."""
        if self._roles.leadership is None or not self._roles.leadership.takes_proposals:
            return self._refusal(now)
        entry = self._roles.leadership.propose(command, now)
        return self._acceptance(entry, now)

    def add_member(self, member: ReplicaId, now: float) -> Proposal:
        """Append a configuration with ``member`` added."""
        if member in self.members:
            return self._refusal(now)
        return self._change_members((*self.members, member), now)

    def remove_member(self, member: ReplicaId, now: float) -> Proposal:
        """Append a configuration without ``member``; the last member stays.

        Refused while most of the members that would be left do not answer, since the group
        could then never commit again: remove the silent ones first.
        """
        rest = tuple(other for other in self.members if other != member)
        if member not in self.members or not rest:
            return self._refusal(now)
        return self._change_members(rest, now)

    def transfer_leadership(self, to: ReplicaId, now: float) -> list[RaftEffect]:
        """Hand leadership over to the member ``to``; takes no proposals meanwhile.

        If ``to`` does not catch up within the election timeout, this replica goes on; if it
        was told to stand but did not win, this replica steps down.
        """
        if self._roles.leadership is not None and to in self.members and to != self.replica:
            self._roles.leadership.transfer_to(to, now)
        return self._roles.finish(now)

    def resign(self, now: float) -> list[RaftEffect]:
        """Step down at once, if this replica leads, and have the best follower stand.

        Unlike :meth:`transfer_leadership` it needs no further write of this replica: proposals that
        were not sent to a follower are lost. The effects do not depend on unsaved state.
        """
        if self._roles.leadership is not None:
            self._roles.leadership.resign(now)
        return self._roles.finish(now)

    def read(self, token: str, now: float) -> list[RaftEffect]:
        """Ask for a linearizable read; one ``ReadReady`` or ``ReadFailed`` follows."""
        if self._roles.leadership is None:
            self._state.emit(ReadFailed(token))
        else:
            self._roles.leadership.read(token, now)
        return self._roles.finish(now)

    def compact(self, upto_index: int, data: bytes) -> None:
        """Replace the log up to an applied index by a snapshot of the state machine.

        Some entries before it are retained for followers that lag. Nothing happens for an
        index that is not past the last snapshot's, or at which a new member does not know
        the configuration yet: compact later then.

        Raises:
            ValueError: The index is not committed, so the host cannot have applied it.
        """
        state = self._state
        if upto_index > state.commit_index:
            raise ValueError(
                f"index {upto_index} is past the commit index {state.commit_index}; "
                "compact only what was applied"
            )
        members = state.log.members_at(upto_index)
        term = state.log.term_at(upto_index)
        is_newer = state.snapshot is None or upto_index > state.snapshot.last_index
        if term is None or not members or not is_newer:
            return
        state.snapshot = Snapshot(upto_index, term, members, data)
        state.log.compact(upto_index - state.settings.retained_entries)

    # ------------------------------------------------------------ inner steps

    def _change_members(self, members: tuple[ReplicaId, ...], now: float) -> Proposal:
        leadership = self._roles.leadership
        if leadership is None or not leadership.may_change_to(members, now):
            return self._refusal(now)
        entry = leadership.change_members(members, now)
        return self._acceptance(entry, now)

    def _acceptance(self, entry: LogEntry, now: float) -> Proposal:
        effects = tuple(self._roles.finish(now))
        return Proposal(accepted=True, index=entry.index, term=entry.term, effects=effects)

    def _refusal(self, now: float) -> Proposal:
        effects = tuple(self._roles.finish(now))
        return Proposal(accepted=False, index=0, term=self.term, effects=effects)
