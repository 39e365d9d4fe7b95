"""Elections of one replica: standing with pre-vote, voting, refusing while a leader lives."""

from __future__ import annotations

import math

from yokeline.consensus.election import ElectionTimer, VoteTally
from yokeline.consensus.messages import RequestVote, TimeoutNow, VoteReply
from yokeline.consensus.state import ReplicaState
from yokeline.consensus.types import RaftRole
from yokeline.identifiers import ReplicaId


class Voting:
    """Moves a replica between follower, pre-candidate, candidate and (when it wins) leader."""

    __slots__ = ("_state", "_tally", "_timer")

    def __init__(self, state: ReplicaState, now: float, *, restarted: bool) -> None:
        """Start the election timer.

        Args:
            state: State of the replica.
            now: Current time.
            restarted: The replica ran before under this id, so it may have answered a
                leader whose lease still counts on it.
        """
        self._state = state
        self._timer = ElectionTimer(state.source, now)
        self._timer.restart(state.settings, now)
        if restarted and state.settings.uses_lease:
            self._timer.heard(now)
        elif restarted and state.settings.prompt_start_seconds:
            self._timer.begin_prompt_start(state.settings, now)
        self._tally: VoteTally | None = None

    # ------------------------------------------------------------ a leader's life

    def follow(self, term: int, leader: ReplicaId, now: float) -> None:
        """Follow the leader of ``term``, which was heard now."""
        state = self._state
        if (term, RaftRole.FOLLOWER, leader) != (state.term, state.role, state.leader):
            self.step_down(term, leader, now)
        self._timer.heard(now)

    def step_down(self, term: int, leader: ReplicaId | None, now: float) -> None:
        """Become a follower, in a higher term or in the present one."""
        self._tally = None
        self._state.transition_to_follower(term, leader)
        self._timer.restart(self._state.settings, now)

    def node_alive(self, peer: ReplicaId, now: float) -> None:
        """Note a sign of life of a node; it counts if the leader lives there."""
        if peer == self._state.leader:
            self._timer.node_alive(now)

    def node_dead(self, peer: ReplicaId, now: float) -> None:
        """Stand for election soon if the leader lived on this node."""
        if peer == self._state.leader and self._state.role is RaftRole.FOLLOWER:
            self._timer.stand_soon(self._state.settings, now)

    # ------------------------------------------------------------ standing

    def tick(self, now: float) -> None:
        """Stand for election if it is time."""
        if now >= self.next_deadline():
            self._stand(now)

    def next_deadline(self) -> float:
        """Return when to stand; infinity for a replica that may not."""
        state = self._state
        if not state.may_campaign:
            return math.inf
        if state.members == (state.replica,):
            return self._timer.lone_deadline(state.settings)
        if state.role is RaftRole.PRE_CANDIDATE:
            return self._timer.pre_vote_deadline(state.settings)
        return self._timer.deadline(state.settings, leader_known=self._leader_is_member())

    def on_timeout_now(self, message: TimeoutNow, now: float) -> None:
        """Stand at once, since the leader hands over."""
        state = self._state
        waits = state.role in (RaftRole.FOLLOWER, RaftRole.PRE_CANDIDATE)
        if message.term == state.term and waits and state.may_campaign:
            self._stand_for_term(now, transfer=True)

    def on_vote_reply(self, message: VoteReply, now: float) -> None:
        """Count a vote; a majority leads to the next step."""
        state = self._state
        if message.voter not in state.members or self._tally is None:
            return
        if not message.granted:
            if message.term > state.term:
                self.step_down(message.term, None, now)
            return
        if not self._counts(message):
            return
        self._tally.grant(message.voter)
        self._conclude(now)

    def _counts(self, message: VoteReply) -> bool:
        state = self._state
        if message.pre_vote:
            asked = state.role is RaftRole.PRE_CANDIDATE
            return asked and message.term == state.term + 1
        return state.role is RaftRole.CANDIDATE and message.term == state.term

    def _stand(self, now: float) -> None:
        self._state.transition_to_pre_candidate()
        self._timer.restart(self._state.settings, now)
        if self._timer.is_prompt(now):
            self._timer.stand_again_promptly(self._state.settings, now)
        self._tally = VoteTally(self._state.replica)
        self._ask(self._state.term + 1, pre_vote=True, transfer=False)
        self._conclude(now)

    def _stand_for_term(self, now: float, *, transfer: bool) -> None:
        self._state.transition_to_candidate()
        self._timer.restart(self._state.settings, now)
        self._tally = VoteTally(self._state.replica)
        self._ask(self._state.term, pre_vote=False, transfer=transfer)
        self._conclude(now)

    def _conclude(self, now: float) -> None:
        if self._tally is None:
            return
        if not self._tally.is_won(self._state.members, self._state.lost):
            return
        if self._state.role is RaftRole.PRE_CANDIDATE:
            self._stand_for_term(now, transfer=False)
            return
        self._tally = None
        self._state.transition_to_leader()

    def _ask(self, term: int, *, pre_vote: bool, transfer: bool) -> None:
        state = self._state
        message = RequestVote(
            term=term,
            candidate=state.replica,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            pre_vote=pre_vote,
            transfer=transfer,
        )
        for member in state.members:
            if member != state.replica:
                state.send(member, message)

    # ------------------------------------------------------------ voting

    def on_request_vote(self, message: RequestVote, now: float) -> bool:
        """Answer a (pre-)vote request; return whether it was refused for a live leader."""
        self._note_resignation(message)
        if not message.transfer and self._believes_in_leader(now):
            self._reply(message, granted=False)
            return True
        if message.pre_vote:
            granted = message.term > self._state.term and self._is_up_to_date(message)
            self._reply(message, granted=granted)
            if granted:
                self._give_way(message.candidate, now)
            return False
        if message.term > self._state.term:
            self.step_down(message.term, None, now)
        self._vote(message, now)
        return False

    def _give_way(self, candidate: ReplicaId, now: float) -> None:
        """Let one of two replicas that start at one moment win, or they would split the votes.

        Only right after a restart: a candidate that can send but not hear must not keep the
        others from standing for long.
        """
        if self._state.role is not RaftRole.PRE_CANDIDATE or not self._timer.is_prompt(now):
            return
        if candidate < self._state.replica:
            self._tally = None
            self._timer.restart(self._state.settings, now)

    def _note_resignation(self, message: RequestVote) -> None:
        """Drop a leader that asks for votes beyond its own term: it leads no more."""
        state = self._state
        if message.term > state.term and message.candidate == state.leader:
            self._timer.forget_leader()
            state.forget_leader()

    def _believes_in_leader(self, now: float) -> bool:
        if self._state.role is RaftRole.LEADER:
            return True
        known = self._leader_is_member()
        return self._timer.refuses_votes(self._state.settings, now, leader_known=known)

    def _vote(self, message: RequestVote, now: float) -> None:
        state = self._state
        granted = (
            message.term == state.term
            and state.voted_for in (None, message.candidate)
            and self._is_up_to_date(message)
        )
        if granted:
            if state.role is RaftRole.PRE_CANDIDATE:
                self.step_down(state.term, None, now)
            state.vote_for(message.candidate)
            self._timer.restart(state.settings, now)
        self._reply(message, granted=granted)

    def _is_up_to_date(self, message: RequestVote) -> bool:
        return self._state.log.is_up_to_date(message.last_index, message.last_term)

    def _leader_is_member(self) -> bool:
        return self._state.leader is not None and self._state.leader in self._state.members

    def _reply(self, message: RequestVote, *, granted: bool) -> None:
        reply = VoteReply(
            term=message.term if granted else self._state.term,
            voter=self._state.replica,
            granted=granted,
            pre_vote=message.pre_vote,
        )
        self._state.send(message.candidate, reply)
