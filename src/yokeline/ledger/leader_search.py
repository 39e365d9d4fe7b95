"""Which storage replica a forwarding node believes to lead the ledger, and how it finds out.

Operations carry the texts of turns, so they go to the leader alone. While it is not known, or has
been silent, the node asks replicas who leads: a message of a few bytes, at a bounded rate for all
operations together, so that a leader that is slow is not asked more because it is slow.
"""

from __future__ import annotations

from yokeline.effects import Address, SendPeer
from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import LeaderAnswer, LeaderHint, LeaderQuery

QUERY_SECONDS = 0.1
"""Pause between two rounds of queries while a leader is known but silent: a third of the election
timeout, so a new leader is found soon after its election."""
NO_LEADER_QUERY_SECONDS = 0.03
"""The same while none is known."""
REPLICAS_PER_QUERY = 3
"""Replicas asked in one round beside the believed leader: of eight, of which five are members, one
that knows is among them; all are asked in a few rounds."""


class LeaderSearch:
    """The believed leader and the queries to storage replicas; a pure state machine.

    Attributes:
        leader: The believed leader; None while none is known.
        term: The latest term of which a leader was heard.
        heard_at: When the believed leader itself last said a word.
    """

    def __init__(self, own_address: Address) -> None:
        """Ask from ``own_address``, where answers are to be sent."""
        self.leader: LeaderHint | None = None
        self.term = 0
        self.heard_at = float("-inf")
        self._own_address = own_address
        self._storage: dict[ReplicaId, Address] = {}
        self._next_candidate = 0
        self._next_query = float("-inf")

    def set_storage(self, storage: dict[ReplicaId, Address]) -> None:
        """Note the storage replicas that are known."""
        self._storage = storage

    def update_leader(self, leader: LeaderHint, term: int) -> bool:
        """Take in who leads; return whether that is another leader, or one elected anew."""
        if term < self.term:
            return False
        is_new_leader = leader != self.leader or term > self.term
        self.leader = leader
        self.term = term
        return is_new_leader

    def forget(self) -> None:
        """Note that the believed leader does not lead any more."""
        self.leader = None
        self._next_query = float("-inf")

    def take_answer(self, sender: ReplicaId, answer: LeaderAnswer, now: float) -> bool:
        """Take the answer to a query in; return whether another leader is believed in."""
        if answer.leader is None:
            if self.leader is not None and self.leader.replica == sender:
                self.forget()
            return False
        is_new_leader = self.update_leader(answer.leader, answer.term)
        if answer.leader.replica == sender:
            self.heard_at = now
        return is_new_leader

    def next_query_at(self) -> float:
        """Return when the next round of queries may be sent."""
        return self._next_query

    def send_queries(self, now: float) -> list[SendPeer]:
        """Ask the believed leader and a few others who leads, unless asked a moment ago."""
        if now < self._next_query:
            return []
        self._next_query = now + (NO_LEADER_QUERY_SECONDS if self.leader is None else QUERY_SECONDS)
        asked = [self.leader] if self.leader is not None else []
        asked.extend(self._candidates())
        query = LeaderQuery(asker=self._own_address)
        return [SendPeer(to=item.replica, address=item.address, message=query) for item in asked]

    def _candidates(self) -> list[LeaderHint]:
        """Return the next replicas that are not the believed leader, in turn."""
        leader = self.leader.replica if self.leader is not None else None
        replicas = [replica for replica in sorted(self._storage) if replica != leader]
        count = min(REPLICAS_PER_QUERY, len(replicas))
        first, self._next_candidate = self._next_candidate, self._next_candidate + count
        chosen = [replicas[(first + number) % len(replicas)] for number in range(count)]
        return [LeaderHint(replica, self._storage[replica]) for replica in chosen]
