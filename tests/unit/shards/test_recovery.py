"""Copies found at the start, and the recovery of groups from a copy."""

from __future__ import annotations

import unittest
from typing import cast

from tests.unit.shards.cluster import Cluster, HostNode, create_command
from tests.unit.shards.test_copy_files import SHARD, DiskCluster, DiskNode
from yokeline.consensus.messages import AppendEntries, EntryKind, LogEntry
from yokeline.consensus.types import Snapshot
from yokeline.effects import Effect, WriteFile
from yokeline.identifiers import ReplicaId, ShardId
from yokeline.messages.codec import encode_command
from yokeline.messages.types import GroupMessage, Heartbeat, RaftBatch, ShardLeader
from yokeline.runs.model import RecoverShard
from yokeline.runs.state_machine import RunStateMachine
from yokeline.shards.copies import read_copies
from yokeline.shards.copy_format import encode_entries, encode_snapshot, log_file, snapshot_file
from yokeline.shards.lineage import TERMS_PER_LINEAGE, lineage_of, recovery_term
from yokeline.shards.recovery import recovery_log
from yokeline.shards.status import ShardState

OWN = ReplicaId("node~1")
SHARD_0 = ShardId(0)
SETTLE_SECONDS = 14.0
"""Virtual time for failure detection, election, replacement and the end of a replaced group."""


def files_of(shard: ShardId, *entries: LogEntry) -> dict[str, bytes]:
    snapshot = Snapshot(4, 2, (OWN,), RunStateMachine().snapshot())
    return {
        snapshot_file(shard): encode_snapshot(shard, OWN, snapshot),
        log_file(shard): encode_entries(entries),
    }


def command(index: int) -> LogEntry:
    return LogEntry(index, 3, EntryKind.COMMAND, encode_command(create_command(f"run-{index}")))


class FileCluster(DiskCluster):
    """Stores files that nodes write outside of ticks, too."""

    def _carry_out(self, sender: ReplicaId, effect: Effect) -> None:
        if isinstance(effect, WriteFile):
            cast(DiskNode, self.nodes[sender]).files[effect.name] = effect.data
        super()._carry_out(sender, effect)


class ReadCopiesTest(unittest.TestCase):
    def test_copy_reports_its_position_runs_and_latest_change(self) -> None:
        files = files_of(SHARD, command(5), command(6))
        copy = read_copies({**files, "set-aside/3-x.log": b"?", "notes": b"?"}).usable[SHARD]
        self.assertEqual((copy.position, copy.runs, copy.active), ((3, 6), 2, 2))
        self.assertEqual(copy.latest_wall, 1.0)
        incomplete = {**files, log_file(SHARD): files[log_file(SHARD)][:-1]}
        self.assertEqual(read_copies(incomplete).usable[SHARD].position, (3, 5))

    def test_unreadable_copies_are_kept_with_their_remedy(self) -> None:
        good = files_of(SHARD, command(5))
        foreign = LogEntry(5, 3, EntryKind.COMMAND, b"not a command")
        cases = {
            "damaged": {**good, snapshot_file(SHARD): good[snapshot_file(SHARD)] + b"x"},
            "not a command": files_of(SHARD, foreign),
            "log only": {log_file(SHARD): good[log_file(SHARD)]},
        }
        for name, files in cases.items():
            with self.subTest(name):
                found = read_copies(files)
                self.assertEqual(found.usable, {})
                damaged = found.damaged[SHARD]
                self.assertEqual(damaged.log, files[log_file(SHARD)])
                self.assertIn("the", damaged.error.remedy)


class RecoveryTermTest(unittest.TestCase):
    def test_recovery_term_exceeds_every_earlier_term(self) -> None:
        self.assertEqual(recovery_term([]), TERMS_PER_LINEAGE)
        later_term = recovery_term([3, TERMS_PER_LINEAGE + 7, 0])
        self.assertEqual(later_term, 2 * TERMS_PER_LINEAGE)
        self.assertEqual(lineage_of(later_term), 2)


class RecoveryTest(unittest.TestCase):
    def recover(self, cluster: Cluster, node: HostNode, seen: int) -> None:
        stored = node.host.copy_of(SHARD_0)
        assert stored is not None
        recover_command = RecoverShard(
            copy_of=stored.replica,
            last_index=stored.last_index,
            wall=2.0,
            keyed_until_wall=2.0,
            unkeyed_until_wall=2.0,
        )
        log = recovery_log(stored, node.context.replica, recovery_term([seen]), recover_command)
        cluster.execute_at(node, lambda: node.host.recover(SHARD_0, log))

    def survivors_of_majority_loss(self, cluster: Cluster) -> list[HostNode]:
        """Commit a run, crash the leader and two members, and return the two survivors."""
        cluster.advance(5.0)
        cluster.propose(0, "run-1")
        cluster.advance(1.0)
        leader = cluster.leaders(0)[0]
        others = sorted(set(cluster.nodes) - {leader})
        for replica in [leader, *others[:2]]:
            cluster.crash_node(replica)
        cluster.advance(SETTLE_SECONDS)
        return [cluster.nodes[replica] for replica in others[2:]]

    def test_group_is_recovered_from_a_surviving_members_memory(self) -> None:
        cluster = Cluster(shards=1)
        left, right = self.survivors_of_majority_loss(cluster)
        for node in (left, right):
            self.assertEqual(node.host.status()[0].state, ShardState.MAJORITY_LOST)
            self.assertTrue(node.host.majority_lost(SHARD_0))
        self.assertEqual(cluster.leaders(0), [])
        self.recover(cluster, left, left.host.term(SHARD_0))
        cluster.advance(SETTLE_SECONDS)
        self.assertEqual(cluster.leader(0), left)
        self.assertFalse(right.host.majority_lost(SHARD_0))
        self.assertEqual(cluster.group_members(0), {n.context.replica for n in (left, right)})
        self.assertEqual(lineage_of(right.host.term(SHARD_0)), 1)
        outcomes = cluster.propose(0, "run-2")
        cluster.advance(6.0)
        self.assertTrue(outcomes[0].unwrap().accepted)
        for node in (left, right):
            self.assertEqual(cluster.run_ids_at(node, 0), {"run-1", "run-2"})

    def test_partitioned_majority_yields_to_the_recovered_group(self) -> None:
        """The old group commits during the partition; its entries are dropped when it heals."""
        cluster = Cluster(shards=1)
        cluster.advance(5.0)
        cluster.propose(0, "run-1")
        cluster.advance(1.0)
        leader = cluster.leaders(0)[0]
        members = sorted(set(cluster.nodes) - {leader})
        minority = set(members[2:])
        cluster.is_dropped = lambda sender, to: (sender in minority) != (to in minority)
        node = cluster.nodes[members[2]]
        cluster.advance(3.0)
        node.view.dead = set(cluster.nodes) - minority
        self.assertTrue(node.host.majority_lost(SHARD_0))
        self.recover(cluster, node, node.host.term(SHARD_0))
        old = cluster.nodes[leader]
        cluster.execute_at(
            old, lambda: old.host.propose(SHARD_0, create_command("old-side"), lambda _: None)
        )
        cluster.advance(2.0)
        self.assertIn("old-side", cluster.run_ids_at(old, 0))
        node.view.dead = cluster.dead
        cluster.is_dropped = lambda sender, to: False
        cluster.advance(SETTLE_SECONDS)
        self.assertEqual(cluster.leader(0).host.term(SHARD_0) // TERMS_PER_LINEAGE, 1)
        self.assertFalse(
            old.host.holds_lease(SHARD_0) and old.host.term(SHARD_0) < TERMS_PER_LINEAGE
        )
        cluster.advance(SETTLE_SECONDS)
        for member in cluster.group_members(0):
            self.assertEqual(cluster.run_ids_at(cluster.nodes[member], 0), {"run-1"})
        self.assertEqual(len(cluster.group_members(0)), 5)

    def test_update_of_a_higher_lineage_ends_the_old_group_at_each_node(self) -> None:
        """Covers a leader, a follower, and a node that an old leader would add."""
        cluster = Cluster(nodes=6, shards=1)
        cluster.advance(5.0)
        cluster.propose(0, "run-1")
        cluster.advance(6.0)
        leader = cluster.leader(0)
        members = sorted(cluster.group_members(0))
        follower = cluster.nodes[next(m for m in members if m != leader.context.replica)]
        (spare,) = [node for replica, node in cluster.nodes.items() if replica not in members]
        other = ReplicaId("other~1")
        update = ShardLeader(SHARD_0, TERMS_PER_LINEAGE + 1, other, (other, members[0]), 1)
        heartbeat = Heartbeat(sequence=1, leaders=(update,))
        sender = leader.context.replica
        stale = RaftBatch((GroupMessage(SHARD_0, self.append_of(leader)),))
        for node in (leader, follower, spare):
            cluster.execute_at(
                node, lambda node=node: node.host.receive_heartbeat(other, heartbeat)
            )
            self.assertIsNone(node.host.state_machine(SHARD_0))
            self.assertFalse(node.host.holds_lease(SHARD_0))
            cluster.execute_at(node, lambda node=node: node.host.receive_batch(sender, stale))
            self.assertIsNone(node.host.state_machine(SHARD_0))
        self.assertEqual(leader.listener.events[-1], ("lost", SHARD_0))

    def append_of(self, leader: HostNode) -> AppendEntries:
        replica = leader.context.replica
        return AppendEntries(leader.host.term(SHARD_0), replica, 0, 0, 0, 1, (command(1),))

    def test_obsolete_copies_are_set_aside_and_never_overwritten(self) -> None:
        cluster = FileCluster(shards=1)
        left, right = cast(list[DiskNode], self.survivors_of_majority_loss(cluster))
        files = dict(right.files)
        self.recover(cluster, left, left.host.term(SHARD_0))
        cluster.advance(SETTLE_SECONDS)
        self.assertNotEqual(right.files[snapshot_file(SHARD_0)], files[snapshot_file(SHARD_0)])
        kept = [name for name in right.files if name.startswith("set-aside/0-")]
        self.assertEqual(len(kept), 2)
        copy = read_copies(right.files).usable[SHARD_0]
        self.assertEqual(lineage_of(copy.stored.last_term), 1)

    def test_damaged_files_are_set_aside_byte_for_byte(self) -> None:
        cluster = DiskCluster(shards=1)
        cluster.advance(5.0)
        crashed = next(node for node in cluster.nodes.values() if not node.host.led_shards())
        cluster.crash_node(crashed.context.replica)
        restarted = cast(DiskNode, cluster.start_node(crashed.context.name, "zone-1", start=1))
        files = {snapshot_file(SHARD_0): b"damaged", log_file(SHARD_0): b"log"}
        restarted.files.update(files)
        restarted.host.copies.damaged.update(read_copies(files).damaged)
        cluster.advance(SETTLE_SECONDS)
        kept = {data for name, data in restarted.files.items() if "damaged" in name}
        self.assertEqual(kept, set(files.values()))
        self.assertEqual(restarted.host.copies.damaged, {})


if __name__ == "__main__":
    unittest.main()
