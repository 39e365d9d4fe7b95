"""Batches the Raft messages that one event causes for one node."""

from __future__ import annotations

from yokeline.consensus.messages import AppendEntries, InstallSnapshot, RaftMessage
from yokeline.identifiers import ReplicaId, ShardId
from yokeline.messages.types import GroupMessage, RaftBatch
from yokeline.server.context import NodeContext

BATCH_BYTES = 1_048_576
"""Payload size at which a batch is closed; a single message may exceed it."""


class RaftBatcher:
    """Collects messages by receiver until :meth:`flush`."""

    def __init__(self, context: NodeContext) -> None:
        """Send through ``context``."""
        self._context = context
        self._pending: dict[ReplicaId, list[GroupMessage]] = {}

    def add(self, shard: ShardId, to: ReplicaId, message: RaftMessage) -> None:
        """Add a message to the batch of its receiver."""
        self._pending.setdefault(to, []).append(GroupMessage(shard, message))

    def flush(self) -> None:
        """Send the collected messages; those to one receiver stay in order."""
        if not self._pending:
            return
        pending = self._pending
        self._pending = {}
        for to, messages in pending.items():
            for batch in _split(messages):
                self._context.counters["yokeline_raft_batches_sent_total"] += 1
                self._context.send_peer(to, batch)


def _split(messages: list[GroupMessage]) -> list[RaftBatch]:
    batches: list[RaftBatch] = []
    grouped: list[GroupMessage] = []
    size = 0
    for item in messages:
        grouped.append(item)
        size += _payload_bytes(item.message)
        if size >= BATCH_BYTES:
            batches.append(RaftBatch(tuple(grouped)))
            grouped = []
            size = 0
    if grouped:
        batches.append(RaftBatch(tuple(grouped)))
    return batches


def _payload_bytes(message: RaftMessage) -> int:
    if isinstance(message, AppendEntries):
        return sum(len(entry.command) for entry in message.entries)
    if isinstance(message, InstallSnapshot):
        return len(message.data)
    return 0
