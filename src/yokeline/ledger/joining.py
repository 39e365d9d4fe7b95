"""Requests of a storage node to become a member of the ledger's group."""

from __future__ import annotations

from yokeline.effects import Address, Effect, SendPeer
from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import Join, LeaderAnswer, LeaderHint
from yokeline.ledger.replica import LedgerReplica
from yokeline.registry.client import RegistryClient
from yokeline.registry.nodes import NODE_PREFIX, NodeRecord, storage_nodes

JOIN_PERIOD_SECONDS = 0.25
EAGER_JOIN_SECONDS = 5.0
"""Time after the start in which a node that is not a member sends frequent requests to all others:
its previous replica may still be a member, and members that know that its disk is lost do not count
it in a majority."""
STANDBY_JOIN_PERIOD_SECONDS = 0.7
"""Time between requests after that, while the node is a standby."""
LEADER_SILENCE_SECONDS = 1.0
"""A member that knows no leader for this long asks to join, in case it was removed."""
LEADER_HINT_TTL_SECONDS = 2.0
"""Time for which a standby trusts the last leader that it was told of; long enough for two
unanswered requests."""


class JoinRequester:
    """Asks to join while the node is not a member, or is a member that knows no leader.

    Attributes:
        leader_seen_at: When this node last knew a leader of its group.
    """

    def __init__(
        self, record: NodeRecord, replica: LedgerReplica, registry: RegistryClient, now: float
    ) -> None:
        """Create requests for ``replica`` of the node of ``record``."""
        self.leader_seen_at = now
        self._record = record
        self._replica = replica
        self._registry = registry
        self._started_at = now
        self._next_request = now
        self._leader_hint: LeaderHint | None = None
        self._leader_hint_term = 0
        self._leader_hint_at = float("-inf")

    def knows_leader(self, now: float) -> bool:
        """Whether this node knows a leader, as a member of the group or as a standby."""
        if self._replica.is_member:
            return self._replica.group.leader is not None
        return self._recent_leader_hint(now) is not None

    def take_leader_answer(self, answer: LeaderAnswer, now: float) -> None:
        """Note the leader from a member's answer to a join request."""
        if answer.leader is None or answer.term < self._leader_hint_term:
            return
        if answer.leader != self._leader_hint:
            # A new leader does not know the standbys yet, and may need one now.
            self._next_request = now
        self._leader_hint = answer.leader
        self._leader_hint_term = answer.term
        self._leader_hint_at = now

    def tick(self, now: float) -> list[Effect]:
        """Send requests, if they are due."""
        if self._replica.group.leader is not None:
            self.leader_seen_at = now
        has_leader = now - self.leader_seen_at < LEADER_SILENCE_SECONDS
        if now < self._next_request or (self._replica.is_member and has_leader):
            return []
        is_eager = now - self._started_at < EAGER_JOIN_SECONDS or self._replica.is_member
        self._next_request = now + (
            JOIN_PERIOD_SECONDS if is_eager else STANDBY_JOIN_PERIOD_SECONDS
        )
        record = self._record
        message = Join(node=record.name, replica=record.replica, address=record.address)
        hint = None if is_eager else self._recent_leader_hint(now)
        recipients = self._storage_addresses() if hint is None else {hint.replica: hint.address}
        return [
            SendPeer(to=replica, address=address, message=message)
            for replica, address in recipients.items()
        ]

    def _recent_leader_hint(self, now: float) -> LeaderHint | None:
        return self._leader_hint if now - self._leader_hint_at < LEADER_HINT_TTL_SECONDS else None

    def _storage_addresses(self) -> dict[ReplicaId, Address]:
        """Return the storage replicas known from the registry or from messages."""
        known = dict(self._replica.addresses)
        registered = storage_nodes(self._registry.items(NODE_PREFIX).values())
        known.update({node.replica: node.address for node in registered})
        known.pop(self._record.replica, None)
        return known
