"""One coalesced heartbeat per pair of nodes, with leader updates and configuration revision.

The configuration revision is that of the tenants' configuration.

In a pair, the node with the lower id sends the heartbeat and the other node replies, so that
a pair costs two messages per period and each node hears from the other.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from yokeline.identifiers import ReplicaId, ShardId
from yokeline.messages.types import Heartbeat, HeartbeatReply, ShardLeader
from yokeline.server.context import NodeContext
from yokeline.shards.directory import LeaderDirectory

SILENCE_PERIODS = 2
"""Periods of silence after which the replying node sends a heartbeat itself."""
RESEND_PERIODS = 2
"""Periods without a reply after which updates are sent again."""


class _UnacknowledgedUpdates(msgspec.Struct, frozen=True):
    """Updates in a heartbeat that has no reply yet."""

    sequence: int
    updates: tuple[ShardLeader, ...]


class Heartbeats:
    """Sends and answers heartbeats, and records when the last message of each peer arrived.

    Attributes:
        configuration_revision: Returns the highest revision of the tenants' configuration that
            was applied here.
    """

    def __init__(self, context: NodeContext, directory: LeaderDirectory, period: float) -> None:
        """Exchange heartbeats every ``period`` seconds."""
        self.configuration_revision: Callable[[], int] = _no_revision
        self._context = context
        self._directory = directory
        self._period = period
        self._next_heartbeat = 0.0
        self._sequence = 0
        self._peers: tuple[ReplicaId, ...] = ()
        self._last_message_at: dict[ReplicaId, float] = {}
        self._unacknowledged: dict[ReplicaId, _UnacknowledgedUpdates] = {}
        self._requested: dict[ReplicaId, dict[ShardId, None]] = {}

    @property
    def peers(self) -> tuple[ReplicaId, ...]:
        """Nodes that heartbeats are exchanged with."""
        return self._peers

    def set_peers(self, peers: tuple[ReplicaId, ...]) -> None:
        """Replace the nodes that heartbeats are exchanged with."""
        self._peers = peers
        now = self._context.now
        self._last_message_at = {peer: self._last_message_at.get(peer, now) for peer in peers}

    def request_update(self, peer: ReplicaId, shard: ShardId) -> None:
        """Request the current update of a shard from a peer with the next heartbeat."""
        self._requested.setdefault(peer, {})[shard] = None

    def note_message(self, peer: ReplicaId) -> None:
        """Record that a message of a peer arrived."""
        self._last_message_at[peer] = self._context.now

    def tick(self) -> None:
        """Send the heartbeats that are due."""
        if self._context.now < self._next_heartbeat:
            return
        self._next_heartbeat = self._context.now + self._period
        self._sequence += 1
        due = {peer for peer in self._peers if self._initiates(peer)}
        due.update(self._directory.peers_with_pending_updates())
        due.update(self._requested)
        for peer in sorted(due):
            self._send(peer)

    def next_deadline(self) -> float:
        """Return when the next heartbeats are due."""
        return self._next_heartbeat

    def receive(self, sender: ReplicaId, heartbeat: Heartbeat) -> tuple[ShardLeader, ...]:
        """Reply to a heartbeat and return its leader updates."""
        self.note_message(sender)
        reply = HeartbeatReply(
            sequence=heartbeat.sequence,
            configuration_revision=self.configuration_revision(),
        )
        self._context.send_peer(sender, reply)
        return heartbeat.leaders

    def receive_reply(self, sender: ReplicaId, reply: HeartbeatReply) -> None:
        """Record that a peer has received a heartbeat and its updates."""
        self.note_message(sender)
        unacknowledged = self._unacknowledged.get(sender)
        if unacknowledged is not None and reply.sequence >= unacknowledged.sequence:
            del self._unacknowledged[sender]

    def forget_peer(self, peer: ReplicaId) -> None:
        """Drop the state of a dead peer."""
        self._unacknowledged.pop(peer, None)
        self._last_message_at.pop(peer, None)
        self._requested.pop(peer, None)
        self._directory.forget_peer(peer)

    def _initiates(self, peer: ReplicaId) -> bool:
        if self._context.replica < peer:
            return True
        silence = self._context.now - self._last_message_at.get(peer, self._context.now)
        return silence > SILENCE_PERIODS * self._period

    def _send(self, peer: ReplicaId) -> None:
        heartbeat = Heartbeat(
            sequence=self._sequence,
            leaders=self._updates_for(peer),
            configuration_revision=self.configuration_revision(),
            wanted=tuple(self._requested.pop(peer, ())),
        )
        self._context.counters["yokeline_heartbeats_sent_total"] += 1
        self._context.send_peer(peer, heartbeat)

    def _updates_for(self, peer: ReplicaId) -> tuple[ShardLeader, ...]:
        """Return the updates to send now: none while earlier ones are unacknowledged."""
        unacknowledged = self._unacknowledged.get(peer)
        if unacknowledged is not None:
            if self._sequence - unacknowledged.sequence < RESEND_PERIODS:
                return ()
            del self._unacknowledged[peer]
            for item in unacknowledged.updates:
                self._directory.enqueue(peer, item.shard)
        updates = self._directory.take_updates(peer)
        if updates:
            self._unacknowledged[peer] = _UnacknowledgedUpdates(self._sequence, updates)
        return updates


def _no_revision() -> int:
    return 0
