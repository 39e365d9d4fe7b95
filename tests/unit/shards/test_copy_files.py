from __future__ import annotations

import unittest

from returns.result import Failure

from tests.unit.shards.cluster import Cluster, HostNode
from yokeline.consensus.messages import EntryKind, LogEntry
from yokeline.consensus.types import Snapshot
from yokeline.effects import DeleteFile, WriteFile
from yokeline.identifiers import ReplicaId, ShardId
from yokeline.messages.codec import decode_command
from yokeline.runs.state_machine import RunStateMachine
from yokeline.shards.copy_format import (
    StoredShard,
    decode_shard,
    encode_entries,
    encode_snapshot,
    log_file,
    snapshot_file,
)
from yokeline.shards.removed_replicas import LOG_RETENTION_SECONDS

SHARD = ShardId(3)
NODE = ReplicaId("node~1")
SNAPSHOT = Snapshot(last_index=10, last_term=2, members=(NODE,), data=b"state")
SNAPSHOT_DATA = encode_snapshot(SHARD, NODE, SNAPSHOT)


def entries(first: int, last: int) -> tuple[LogEntry, ...]:
    return tuple(
        LogEntry(index, 2, EntryKind.COMMAND, b"command" * index)
        for index in range(first, last + 1)
    )


class CopyFormatTest(unittest.TestCase):
    def test_files_round_trip_and_entries_in_the_snapshot_are_left_out(self) -> None:
        log = encode_entries(entries(9, 11)) + encode_entries(entries(12, 13))
        stored = decode_shard(SHARD, SNAPSHOT_DATA, log).unwrap()
        self.assertEqual(stored.snapshot, SNAPSHOT)
        self.assertEqual(stored.entries, entries(11, 13))
        self.assertEqual((stored.replica, stored.last_index, stored.truncated_bytes), (NODE, 13, 0))

    def test_incomplete_record_at_the_end_is_truncated_at_every_length(self) -> None:
        full_log = encode_entries(entries(11, 12))
        first = len(encode_entries(entries(11, 11)))
        for length in range(first, len(full_log)):
            stored = decode_shard(SHARD, SNAPSHOT_DATA, full_log[:length]).unwrap()
            self.assertEqual(stored.entries, entries(11, 11))
            self.assertEqual(stored.truncated_bytes, length - first)
        padded = decode_shard(SHARD, SNAPSHOT_DATA, full_log + bytes(64)).unwrap()
        self.assertEqual(padded.entries, entries(11, 12))

    def test_every_damaged_byte_is_refused_with_a_remedy(self) -> None:
        log = encode_entries(entries(11, 13))
        for position in range(len(log)):
            damaged = log[:position] + bytes([log[position] ^ 0x10]) + log[position + 1 :]
            self.assert_refused(SNAPSHOT_DATA, damaged, log_file(SHARD))
        for position in range(len(SNAPSHOT_DATA)):
            flipped = bytes([SNAPSHOT_DATA[position] ^ 0x10])
            damaged = SNAPSHOT_DATA[:position] + flipped + SNAPSHOT_DATA[position + 1 :]
            self.assert_refused(damaged, log, snapshot_file(SHARD))

    def test_log_gap_and_foreign_or_truncated_snapshot_are_refused(self) -> None:
        self.assert_refused(SNAPSHOT_DATA, encode_entries(entries(12, 13)), log_file(SHARD))
        self.assert_refused(SNAPSHOT_DATA[:-1], b"", snapshot_file(SHARD))
        other = encode_snapshot(ShardId(4), NODE, SNAPSHOT)
        self.assert_refused(other, b"", snapshot_file(SHARD))

    def assert_refused(self, snapshot: bytes, log: bytes, name: str) -> None:
        result = decode_shard(SHARD, snapshot, log)
        self.assertIsInstance(result, Failure)
        self.assertIn(name, result.failure().message)
        self.assertIn("data folder", result.failure().remedy)


class DiskNode(HostNode):
    """Stores written files in memory."""

    def tick(self) -> None:
        super().tick()
        outbox = self.context.take_outbox()
        for effect in outbox:
            if isinstance(effect, WriteFile):
                before = self.files.get(effect.name, b"") if effect.append else b""
                self.files[effect.name] = before + effect.data
            elif isinstance(effect, DeleteFile):
                self.files.pop(effect.name, None)
            else:
                self.context.emit(effect)

    @property
    def files(self) -> dict[str, bytes]:
        return self.__dict__.setdefault("_files", {})

    def stored(self, shard: int) -> StoredShard:
        snapshot = self.files[snapshot_file(ShardId(shard))]
        log = self.files[log_file(ShardId(shard))]
        return decode_shard(ShardId(shard), snapshot, log).unwrap()


class DiskCluster(Cluster):
    node_type = DiskNode
    data_folder = "data"


class CopyWriterTest(unittest.TestCase):
    def restored_runs(self, stored: StoredShard) -> set[str]:
        state_machine = RunStateMachine.restore(stored.snapshot.data)
        for entry in stored.entries:
            if entry.kind is EntryKind.COMMAND:
                state_machine.apply(decode_command(entry.command).unwrap())
        return set(state_machine.runs)

    def test_copies_follow_the_replicas_over_compactions(self) -> None:
        cluster = DiskCluster(shards=1, snapshot_entries=16)
        cluster.advance(5.0)
        for number in range(50):
            cluster.propose(0, f"run-{number}")
            cluster.advance(0.1)
        cluster.advance(8.0)
        expected = {f"run-{number}" for number in range(50)}
        for node in cluster.nodes.values():
            assert isinstance(node, DiskNode)
            stored = node.stored(0)
            self.assertEqual(self.restored_runs(stored), expected)
            self.assertGreater(stored.snapshot.last_index, 16)

    def test_new_member_keeps_an_older_copy_until_it_has_caught_up(self) -> None:
        cluster = DiskCluster(shards=1)
        cluster.advance(5.0)
        cluster.propose(0, "run-1")
        cluster.advance(6.0)
        crashed = next(node for node in cluster.nodes.values() if not node.host.led_shards())
        assert isinstance(crashed, DiskNode)
        cluster.crash_node(crashed.context.replica)
        restarted = cluster.start_node(crashed.context.name, crashed.context.zone, start=1)
        assert isinstance(restarted, DiskNode)
        restarted.files.update(crashed.files)
        cluster.advance(2.0)
        self.assertEqual(restarted.files, crashed.files)
        cluster.advance(12.0)
        stored = restarted.stored(0)
        self.assertEqual(stored.replica, restarted.context.replica)
        self.assertEqual(self.restored_runs(stored), {"run-1"})

    def test_copy_of_a_shard_that_was_left_is_deleted(self) -> None:
        cluster = DiskCluster(nodes=6, shards=1)
        cluster.advance(5.0)
        cluster.propose(0, "run-1")
        cluster.advance(6.0)
        node = cluster.leader(0)
        assert isinstance(node, DiskNode)
        self.assertEqual(len(node.files), 2)
        cluster.begin_drain(node)
        cluster.advance(12.0 + LOG_RETENTION_SECONDS)
        self.assertEqual(node.files, {})


if __name__ == "__main__":
    unittest.main()
