"""One coalesced heartbeat per pair of nodes, with leadership news and configuration revision.

Of a pair, the node with the lower id asks and the other one answers, so that each pair costs
two messages per period and both sides have heard from each other.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from yokeline.identifiers import ReplicaId, ShardId
from yokeline.messages.types import Heartbeat, HeartbeatReply, ShardLeader
from yokeline.server.context import NodeContext
from yokeline.shards.directory import LeaderDirectory

SILENCE_PERIODS = 2
"""Periods without a word after which the answering side asks by itself."""
RESEND_PERIODS = 2
"""Periods without an answer after which news are told again."""


class _UnacknowledgedUpdates(msgspec.Struct, frozen=True):
    """News in a heartbeat that is not answered yet."""

    sequence: int
    updates: tuple[ShardLeader, ...]


class Heartbeats:
    """Sends and answers heartbeats, and remembers when each peer was last heard.

    Attributes:
        configuration_revision: Returns the highest configuration revision applied here.
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
        """Return the nodes that heartbeats are exchanged with."""
        return self._peers

    def set_peers(self, peers: tuple[ReplicaId, ...]) -> None:
        """Exchange heartbeats with these nodes from now on."""
        self._peers = peers
        now = self._context.now
        self._last_message_at = {peer: self._last_message_at.get(peer, now) for peer in peers}

    def request_update(self, peer: ReplicaId, shard: ShardId) -> None:
        """Ask a peer for fresh news of a shard with the next heartbeat."""
        self._requested.setdefault(peer, {})[shard] = None

    def note_message(self, peer: ReplicaId) -> None:
        """Note that a message of a peer arrived."""
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
        """Answer a heartbeat and return the leadership news in it."""
        self.note_message(sender)
        reply = HeartbeatReply(
            sequence=heartbeat.sequence,
            configuration_revision=self.configuration_revision(),
        )
        self._context.send_peer(sender, reply)
        return heartbeat.leaders

    def receive_reply(self, sender: ReplicaId, reply: HeartbeatReply) -> None:
        """Note that a heartbeat, and the news in it, arrived."""
        self.note_message(sender)
        unacknowledged = self._unacknowledged.get(sender)
        if unacknowledged is not None and reply.sequence >= unacknowledged.sequence:
            del self._unacknowledged[sender]

    def forget_peer(self, peer: ReplicaId) -> None:
        """Drop what is kept for a peer that is dead."""
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
        """Return the news to tell now: one heartbeat full at a time, until it is answered."""
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
