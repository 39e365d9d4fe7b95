"""Writes copies of this node's replicas to the data folder, for recovery from a lost majority.

Copies are written asynchronously: no request waits for them, so after a crash they may lack
the latest committed entries. A replica is written only once it has applied its own membership, so
that a less complete state never replaces the copy of an earlier process start. Unreadable
files, and copies made obsolete by a recovery, are set aside before they are replaced.
"""

from __future__ import annotations

import msgspec

from yokeline.consensus.messages import LogEntry
from yokeline.consensus.types import Snapshot
from yokeline.effects import DeleteFile, WriteFile
from yokeline.identifiers import ShardId
from yokeline.server.context import NodeContext
from yokeline.shards.copies import StoredCopies, set_aside_damaged_writes, set_aside_writes
from yokeline.shards.copy_format import (
    StoredShard,
    encode_entries,
    encode_snapshot,
    log_file,
    snapshot_file,
)
from yokeline.shards.lineage import is_obsolete
from yokeline.shards.replica import ShardReplica

WRITE_PERIOD_SECONDS = 0.5
"""Time between two writes; bounds the entries that a copy may lack, and the write rate."""


class _CopyState(msgspec.Struct):
    """Write state of one shard's files.

    Attributes:
        snapshot_index: Index of the snapshot on disk; None if this process has written none.
        last_term: Term of the last applied entry.
        entries: Committed entries that are not yet written.
    """

    snapshot_index: int | None = None
    last_term: int = 0
    entries: list[LogEntry] = []


class CopyWriter:
    """Writes snapshots and log entries of the replicas that have changed."""

    def __init__(self, context: NodeContext, earlier_copies: StoredCopies) -> None:
        """Write through ``context``; ``earlier_copies`` are dropped once they are replaced."""
        self._context = context
        self._earlier_copies = earlier_copies
        self._states: dict[ShardId, _CopyState] = {}
        self._dirty: dict[ShardId, ShardReplica] = {}
        self._next_write: float | None = None

    def note_committed(self, replica: ShardReplica, entries: tuple[LogEntry, ...]) -> None:
        """Record entries that a replica has applied."""
        state = self._states.setdefault(replica.shard, _CopyState())
        state.last_term = entries[-1].term
        if state.snapshot_index is not None:
            state.entries.extend(entries)
        self._mark_dirty(replica)

    def note_snapshot_installed(self, replica: ShardReplica, snapshot: Snapshot) -> None:
        """Record that a replica installed a snapshot."""
        state = self._states.setdefault(replica.shard, _CopyState())
        state.last_term = snapshot.last_term
        state.snapshot_index = None
        state.entries.clear()
        self._mark_dirty(replica)

    def forget(self, shard: ShardId) -> None:
        """Delete the copy of a shard that this node no longer holds, if this process wrote it."""
        self._states.pop(shard, None)
        self._dirty.pop(shard, None)
        if shard in self._earlier_copies.usable or shard in self._earlier_copies.damaged:
            return
        self._context.emit(DeleteFile(log_file(shard)))
        self._context.emit(DeleteFile(snapshot_file(shard)))

    def set_aside(self, copy: StoredShard) -> None:
        """Set a copy aside that a recovery has made obsolete, and reset the shard's write state."""
        self._states.pop(copy.shard, None)
        self._dirty.pop(copy.shard, None)
        self._write_set_aside(copy)

    def _write_set_aside(self, copy: StoredShard) -> None:
        for effect in set_aside_writes(copy):
            self._context.emit(effect)

    def tick(self) -> None:
        """Write the changed replicas if a write is due."""
        if self._next_write is None or self._context.now < self._next_write:
            return
        self._next_write = None
        dirty = self._dirty
        self._dirty = {}
        for replica in dirty.values():
            self._write(replica)

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due."""
        return self._next_write

    def _mark_dirty(self, replica: ShardReplica) -> None:
        self._dirty[replica.shard] = replica
        if self._next_write is None:
            self._next_write = self._context.now + WRITE_PERIOD_SECONDS

    def _write(self, replica: ShardReplica) -> None:
        if self._context.replica not in replica.committed_members:
            return
        state = self._states[replica.shard]
        group_snapshot = replica.group.snapshot
        if state.snapshot_index is None:
            self._write_snapshot(replica, state, self._take_snapshot(replica, state))
        elif group_snapshot is not None and group_snapshot.last_index > state.snapshot_index:
            self._write_snapshot(replica, state, group_snapshot)
        if state.entries:
            self._append(replica.shard, state)

    def _take_snapshot(self, replica: ShardReplica, state: _CopyState) -> Snapshot:
        return Snapshot(
            last_index=replica.applied_index,
            last_term=state.last_term,
            members=replica.committed_members,
            data=replica.state_machine.snapshot(),
        )

    def _write_snapshot(self, replica: ShardReplica, state: _CopyState, snapshot: Snapshot) -> None:
        """Replace the snapshot, then empty the log; a reader skips entries that it covers."""
        shard = replica.shard
        self._release_earlier_copy(replica)
        data = encode_snapshot(shard, self._context.replica, snapshot)
        self._context.emit(WriteFile(name=snapshot_file(shard), data=data))
        self._context.emit(WriteFile(name=log_file(shard), data=b""))
        state.snapshot_index = snapshot.last_index
        state.entries = [entry for entry in state.entries if entry.index > snapshot.last_index]

    def _release_earlier_copy(self, replica: ShardReplica) -> None:
        """Drop the copy of an earlier process start; a damaged or obsolete one is set aside."""
        damaged = self._earlier_copies.damaged.pop(replica.shard, None)
        if damaged is not None:
            for effect in set_aside_damaged_writes(damaged, self._context.replica):
                self._context.emit(effect)
        copy = self._earlier_copies.usable.pop(replica.shard, None)
        if copy is not None and is_obsolete(copy.stored.last_term, replica.group.term):
            self._write_set_aside(copy.stored)

    def _append(self, shard: ShardId, state: _CopyState) -> None:
        data = encode_entries(tuple(state.entries))
        state.entries = []
        self._context.emit(WriteFile(name=log_file(shard), data=data, append=True))
