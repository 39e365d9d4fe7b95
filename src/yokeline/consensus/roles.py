"""Hands messages and time to the role that a replica has, and begins and ends leadership."""

from __future__ import annotations

from yokeline.consensus.effects import RaftEffect
from yokeline.consensus.follower import FollowerLog
from yokeline.consensus.leadership import Leadership
from yokeline.consensus.messages import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    RaftMessage,
    RequestVote,
    SnapshotReply,
    VoteReply,
)
from yokeline.consensus.state import ReplicaState
from yokeline.consensus.types import RaftRole
from yokeline.consensus.voting import Voting
from yokeline.identifiers import ReplicaId


class Roles:
    """The parts of a replica: voting and log at any time, leadership while it leads."""

    __slots__ = ("_follower_log", "_state", "_voting", "leadership")

    def __init__(self, state: ReplicaState, now: float, *, restarted: bool) -> None:
        """Begin as a follower; see :class:`Voting` for ``restarted``."""
        self._state = state
        self._voting = Voting(state, now, restarted=restarted)
        self._follower_log = FollowerLog(state)
        self.leadership: Leadership | None = None

    def finish(self, now: float) -> list[RaftEffect]:
        """Begin or end leadership as the role says, and return the call's effects."""
        if self.leadership is not None and self.leadership.has_resigned:
            self._voting.step_down(self._state.term, None, now)
        leads = self._state.role is RaftRole.LEADER
        if self.leadership is not None and not leads:
            self.leadership.fail_reads()
            self.leadership = None
        if self.leadership is None and leads:
            self.leadership = Leadership(self._state, now)
        return self._state.take_effects()

    # ------------------------------------------------------------ time and nodes

    def tick(self, now: float) -> None:
        """Do what is due."""
        if self.leadership is not None:
            self.leadership.tick(now)
        else:
            self._voting.tick(now)

    def next_deadline(self) -> float:
        """Return when :meth:`tick` is due."""
        if self.leadership is not None:
            return self.leadership.next_deadline()
        return self._voting.next_deadline()

    def node_alive(self, peer: ReplicaId, now: float) -> None:
        """Note a sign of life of a node."""
        if self.leadership is not None:
            self.leadership.node_alive(peer, now)
        else:
            self._voting.node_alive(peer, now)

    def node_dead(self, peer: ReplicaId, now: float) -> None:
        """Note that a node is dead."""
        if self.leadership is None:
            self._voting.node_dead(peer, now)

    # ------------------------------------------------------------ messages

    def step(self, sender: ReplicaId, message: RaftMessage, now: float) -> None:
        """Take a message in, unless its sender is not the author it names."""
        if isinstance(message, AppendEntries):
            if message.leader == sender:
                self._on_append(message, now)
        elif isinstance(message, AppendReply | SnapshotReply):
            if message.follower == sender:
                self._on_follower_reply(message, now)
        elif isinstance(message, InstallSnapshot):
            if message.leader == sender:
                self._on_install(message, now)
        elif isinstance(message, RequestVote):
            if message.candidate == sender:
                self._on_request_vote(message, now)
        elif isinstance(message, VoteReply):
            if message.voter == sender:
                self._voting.on_vote_reply(message, now)
        elif message.leader == sender:
            self._voting.on_timeout_now(message, now)

    def _on_append(self, message: AppendEntries, now: float) -> None:
        if self._may_follow(message.term):
            self._voting.follow(message.term, message.leader, now)
            reply = self._follower_log.append(message)
        else:
            reply = self._follower_log.refuse_append(message)
        self._state.send(message.leader, reply)

    def _on_install(self, message: InstallSnapshot, now: float) -> None:
        if self._may_follow(message.term):
            self._voting.follow(message.term, message.leader, now)
            reply = self._follower_log.install(message)
        else:
            reply = self._follower_log.refuse_install(message)
        self._state.send(message.leader, reply)

    def _may_follow(self, term: int) -> bool:
        """Return whether the sender of a leader's message leads a current term."""
        if term == self._state.term:
            return self._state.role is not RaftRole.LEADER
        return term > self._state.term

    def _on_follower_reply(self, message: AppendReply | SnapshotReply, now: float) -> None:
        """Take an answer in; a higher term counts only from a member."""
        if self.leadership is None:
            return
        if message.term > self._state.term:
            if message.follower in self._state.members:
                self._voting.step_down(message.term, None, now)
        elif message.term == self._state.term:
            if isinstance(message, AppendReply):
                self.leadership.on_append_reply(message, now)
            else:
                self.leadership.on_snapshot_reply(message, now)

    def _on_request_vote(self, message: RequestVote, now: float) -> None:
        refused = self._voting.on_request_vote(message, now)
        if refused and self.leadership is not None:
            self.leadership.on_doubt(message.candidate, now)
