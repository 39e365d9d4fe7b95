"""State of a replica, whatever its role: term, vote, log, commit index, outgoing effects."""

from __future__ import annotations

import random

from yokeline.consensus.effects import (
    Committed,
    HardStateChanged,
    MembersChanged,
    RaftEffect,
    Restored,
    RoleChanged,
    Send,
)
from yokeline.consensus.log import RaftLog
from yokeline.consensus.messages import RaftMessage
from yokeline.consensus.settings import RaftSettings
from yokeline.consensus.types import HardState, RaftRole, Snapshot
from yokeline.identifiers import ReplicaId


class ReplicaState:
    """What survives a change of role; the parts of a group share one such object."""

    __slots__ = (
        "_effects",
        "_reported_members",
        "_reported_term",
        "commit_index",
        "leader",
        "log",
        "lost",
        "replica",
        "role",
        "settings",
        "snapshot",
        "source",
        "term",
        "voted_for",
    )

    def __init__(
        self,
        *,
        replica: ReplicaId,
        settings: RaftSettings,
        source: random.Random,
        log: RaftLog,
        hard_state: HardState,
        snapshot: Snapshot | None,
    ) -> None:
        """Create the state of a follower that knows no leader."""
        self.replica = replica
        self.settings = settings
        self.source = source
        self.log = log
        self.snapshot = snapshot
        self.term = hard_state.term
        self.voted_for = hard_state.voted_for
        self.role = RaftRole.FOLLOWER
        self.leader: ReplicaId | None = None
        self.commit_index = log.base_index
        self.lost: frozenset[ReplicaId] = frozenset()
        self._reported_members = log.configuration.members
        self._reported_term = self.term
        self._effects: list[RaftEffect] = []

    @property
    def members(self) -> tuple[ReplicaId, ...]:
        """The configuration in force."""
        return self.log.configuration.members

    @property
    def is_member(self) -> bool:
        """Whether this replica is in the configuration in force."""
        return self.replica in self.members

    @property
    def membership_pending(self) -> bool:
        """Whether the configuration in force is not committed yet."""
        return self.log.configuration.index > self.commit_index

    @property
    def may_campaign(self) -> bool:
        """Whether this replica may stand for election.

        A replica that an uncommitted change removes still may: until the change is
        committed its vote and log may be needed (Ongaro 2014, 4.2.2).
        """
        if self.is_member:
            return True
        return self.membership_pending and self.replica in self.log.previous_members

    def emit(self, effect: RaftEffect) -> None:
        """Add an effect to those of the call under way."""
        self._effects.append(effect)

    def send(self, to: ReplicaId, message: RaftMessage) -> None:
        """Add a message to the effects of the call under way."""
        self._effects.append(Send(to, message))

    def take_effects(self) -> list[RaftEffect]:
        """Return and clear the effects since the last call."""
        effects = self._effects
        self._effects = []
        return effects

    def transition_to_follower(self, term: int, leader: ReplicaId | None) -> None:
        """Follow ``leader`` (or nobody yet) in ``term``, which is not below our own."""
        if term > self.term:
            self._set_hard_state(term, None)
        self._set_role(RaftRole.FOLLOWER, leader)

    def transition_to_pre_candidate(self) -> None:
        """Give the leader up and ask whether an election would be won."""
        self._set_role(RaftRole.PRE_CANDIDATE, None)

    def transition_to_candidate(self) -> None:
        """Open a new term and vote for ourselves in it."""
        self._set_hard_state(self.term + 1, self.replica)
        self._set_role(RaftRole.CANDIDATE, None)

    def transition_to_leader(self) -> None:
        """Lead the term whose election was won."""
        self._set_role(RaftRole.LEADER, self.replica)

    def vote_for(self, candidate: ReplicaId) -> None:
        """Give the vote of the current term."""
        self._set_hard_state(self.term, candidate)

    def forget_leader(self) -> None:
        """Note that the leader of this term has resigned."""
        self._set_role(self.role, None)

    def advance_commit(self, index: int) -> None:
        """Hand over the entries up to ``index`` as committed; never goes back."""
        if index <= self.commit_index:
            return
        entries = self.log.between(self.commit_index + 1, index)
        self.commit_index = index
        self.emit(Committed(entries))

    def restore(self, snapshot: Snapshot) -> None:
        """Replace log and state machine by a leader's snapshot."""
        self.log.reset(snapshot.last_index, snapshot.last_term, snapshot.members)
        self.snapshot = snapshot
        self.commit_index = snapshot.last_index
        self.emit(Restored(snapshot))
        self.report_members()

    def report_members(self) -> None:
        """Emit the configuration in force if it changed since the last report."""
        if self.members != self._reported_members:
            self._reported_members = self.members
            self.emit(MembersChanged(self.members))

    def _set_hard_state(self, term: int, voted_for: ReplicaId | None) -> None:
        if (term, voted_for) == (self.term, self.voted_for):
            return
        self.term = term
        self.voted_for = voted_for
        self.emit(HardStateChanged(HardState(term, voted_for)))

    def _set_role(self, role: RaftRole, leader: ReplicaId | None) -> None:
        before = (self.role, self._reported_term, self.leader)
        self.role = role
        self.leader = leader
        self._reported_term = self.term
        if before != (role, self.term, leader):
            self.emit(RoleChanged(role, self.term, leader))
