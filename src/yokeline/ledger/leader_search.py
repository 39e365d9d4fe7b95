"""Discovery of the ledger's leader by a forwarding node.

Operations may carry long texts, so they are sent to the leader only. While the leader is unknown or
silent, the node sends small queries to storage replicas, at a rate that does not depend on the
number of pending operations.
"""

from __future__ import annotations

from yokeline.effects import Address, SendPeer
from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import LeaderAnswer, LeaderHint, LeaderQuery

QUERY_SECONDS = 0.1
"""Time between two rounds of queries while a leader is known but silent: a third of the election
timeout."""
NO_LEADER_QUERY_SECONDS = 0.03
"""Time between two rounds of queries while no leader is known."""
MAX_REPLICAS_AT_START = 16
"""Replicas queried at once by a node that restarts; more than most deployments have."""
REPLICAS_PER_QUERY = 3
"""Replicas queried in one round, besides the known leader; successive rounds cover all replicas."""


class LeaderSearch:
    """The known leader and the queries to storage replicas; a state machine without I/O.

    Attributes:
        leader: The known leader; None if unknown.
        term: The latest term in which a leader was reported.
        heard_at: When the known leader itself last answered.
    """

    def __init__(self, own_address: Address) -> None:
        """Create a search that receives answers at ``own_address``."""
        self.leader: LeaderHint | None = None
        self.term = 0
        self.heard_at = float("-inf")
        self._own_address = own_address
        self._storage: dict[ReplicaId, Address] = {}
        self._next_candidate = 0
        self._next_query = float("-inf")

    def set_storage(self, storage: dict[ReplicaId, Address]) -> None:
        """Set the known storage replicas."""
        self._storage = storage

    @property
    def has_storage(self) -> bool:
        """Whether any storage replica is known."""
        return bool(self._storage)

    def update_leader(self, leader: LeaderHint, term: int) -> bool:
        """Set the leader of a term, unless a later term is known; return whether it changed."""
        if term < self.term:
            return False
        is_new_leader = leader != self.leader or term > self.term
        self.leader = leader
        self.term = term
        return is_new_leader

    def forget(self) -> None:
        """Forget the leader, which no longer leads."""
        self.leader = None
        self._next_query = float("-inf")

    def take_answer(self, sender: ReplicaId, answer: LeaderAnswer, now: float) -> bool:
        """Handle the answer to a query; return whether the leader changed."""
        if answer.leader is None:
            if self.leader is not None and self.leader.replica == sender:
                self.forget()
            return False
        is_new_leader = self.update_leader(answer.leader, answer.term)
        if answer.leader.replica == sender:
            self.heard_at = now
        return is_new_leader

    def next_query_at(self) -> float:
        """Return the earliest time of the next round of queries."""
        return self._next_query

    def send_queries(self, now: float) -> list[SendPeer]:
        """Query the known leader and some other replicas, if a round is due."""
        if now < self._next_query:
            return []
        self._next_query = now + (NO_LEADER_QUERY_SECONDS if self.leader is None else QUERY_SECONDS)
        recipients = [self.leader] if self.leader is not None else []
        recipients.extend(self._candidates())
        query = LeaderQuery(asker=self._own_address)
        return [
            SendPeer(to=item.replica, address=item.address, message=query) for item in recipients
        ]

    def query_all(self) -> list[SendPeer]:
        """Query the replicas at once; one in the region of this node answers first.

        The queries also open the connections both ways, to the leader among them.
        """
        query = LeaderQuery(asker=self._own_address)
        replicas = sorted(self._storage)[:MAX_REPLICAS_AT_START]
        return [
            SendPeer(to=replica, address=self._storage[replica], message=query)
            for replica in replicas
        ]

    def query_leader(self) -> list[SendPeer]:
        """Query the known leader, which opens its connection to this node for the answer."""
        leader = self.leader
        if leader is None:
            return []
        query = LeaderQuery(asker=self._own_address)
        return [SendPeer(to=leader.replica, address=leader.address, message=query)]

    def _candidates(self) -> list[LeaderHint]:
        """Return the next replicas in rotation, without the known leader."""
        leader = self.leader.replica if self.leader is not None else None
        replicas = [replica for replica in sorted(self._storage) if replica != leader]
        count = min(REPLICAS_PER_QUERY, len(replicas))
        first, self._next_candidate = self._next_candidate, self._next_candidate + count
        chosen = [replicas[(first + number) % len(replicas)] for number in range(count)]
        return [LeaderHint(replica, self._storage[replica]) for replica in chosen]
