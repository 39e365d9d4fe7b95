from __future__ import annotations

import unittest

from returns.result import Success

from tests.unit.shards.cluster import Cluster, Outcome
from yokeline.errors import Execution
from yokeline.identifiers import ShardId
from yokeline.shards.status import ShardState

FAILOVER_SECONDS = 12.0
"""Virtual time for failure detection, election, replacement and balance."""

REPAIR_SECONDS = 7.5
"""Virtual time for failure detection, the wait before a replacement, and the replacement."""


class HostTest(unittest.TestCase):
    def assert_accepted(self, outcomes: list[Outcome]) -> None:
        self.assertEqual(len(outcomes), 1, "the outcome is known exactly once")
        self.assertIsInstance(outcomes[0], Success)
        self.assertTrue(outcomes[0].unwrap().accepted)

    def test_commands_commit_on_every_replica(self) -> None:
        cluster = Cluster()
        cluster.advance(5.0)
        outcomes = [cluster.propose(shard, f"run-{shard}") for shard in range(4)]
        cluster.advance(6.0)
        for shard in range(4):
            self.assert_accepted(outcomes[shard])
            for node in cluster.nodes.values():
                self.assertEqual(cluster.run_ids_at(node, shard), {f"run-{shard}"})

    def test_idle_leader_always_reports_leading(self) -> None:
        cluster = Cluster()
        cluster.advance(8.0)
        for _ in range(10):
            cluster.advance(0.7)
            for shard in range(4):
                states = [
                    status.state
                    for node in cluster.nodes.values()
                    for status in node.host.status()
                    if status.shard == shard
                ]
                self.assertEqual(states.count(ShardState.LEADING), 1)
                self.assertNotIn(ShardState.ELECTING, states)

    def test_crash_moves_leaders_and_replaces_the_member(self) -> None:
        cluster = Cluster(nodes=6)
        cluster.advance(5.0)
        for shard in range(4):
            cluster.propose(shard, f"run-{shard}")
        cluster.advance(1.0)
        crashed = cluster.leaders(0)[0]
        cluster.crash_node(crashed)
        cluster.advance(FAILOVER_SECONDS)
        for shard in range(4):
            members = cluster.group_members(shard)
            self.assertEqual(len(members), 5)
            self.assertNotIn(crashed, members)
            self.assert_accepted_after(cluster, shard)
            for replica in members:
                self.assertIn(f"run-{shard}", cluster.run_ids_at(cluster.nodes[replica], shard))

    def test_a_lost_member_of_an_idle_group_is_replaced_without_waiting_for_a_heartbeat(
        self,
    ) -> None:
        for idle in (5.0, 6.1, 7.2, 8.3):
            cluster = Cluster(nodes=6)
            cluster.advance(idle)
            crashed = sorted(cluster.nodes)[0]
            cluster.crash_node(crashed)
            cluster.advance(REPAIR_SECONDS)
            for shard in range(4):
                self.assertEqual(len(cluster.group_members(shard) - {crashed}), 5)

    def assert_accepted_after(self, cluster: Cluster, shard: int) -> None:
        outcomes = cluster.propose(shard, f"late-{shard}")
        cluster.advance(1.0)
        self.assert_accepted(outcomes)

    def test_two_crashes_and_restarts_bring_all_members_back(self) -> None:
        cluster = Cluster()
        cluster.advance(5.0)
        cluster.propose(0, "run-0")
        cluster.advance(1.0)
        crashed = sorted(cluster.nodes)[:2]
        for replica in crashed:
            cluster.crash_node(replica)
        cluster.advance(FAILOVER_SECONDS)
        self.assertEqual(len(cluster.group_members(0)), 3)
        for number, replica in enumerate(crashed):
            cluster.start_node(replica.partition("~")[0], f"zone-{number}", start=1)
        cluster.advance(FAILOVER_SECONDS)
        self.assertEqual(cluster.group_members(0), set(cluster.nodes))
        for node in cluster.nodes.values():
            self.assertEqual(cluster.run_ids_at(node, 0), {"run-0"})

    def test_planned_stop_moves_leaders_and_replicas(self) -> None:
        cluster = Cluster(nodes=6)
        cluster.advance(5.0)
        node = cluster.leader(0)
        replica = node.context.replica
        cluster.begin_drain(node)
        cluster.advance(1.0)
        self.assertEqual(node.host.led_shards(), [])
        cluster.advance(FAILOVER_SECONDS)
        self.assertEqual(node.host.replicas_left(), 0)
        for shard in range(4):
            self.assertEqual(cluster.group_members(shard), set(cluster.nodes) - {replica})

    def test_blocked_leadership_transfer_happens_once_unblocked(self) -> None:
        cluster = Cluster(nodes=6)
        cluster.advance(5.0)
        node = cluster.leader(0)
        blocked = {ShardId(0)}
        node.host.set_transfer_guard(lambda shard: shard in blocked)
        cluster.begin_drain(node)
        cluster.advance(3.0)
        self.assertEqual(node.host.led_shards(), [ShardId(0)])
        blocked.clear()
        cluster.advance(FAILOVER_SECONDS)
        self.assertEqual(node.host.replicas_left(), 0)

    def test_planned_stop_without_spare_node_shrinks_the_groups(self) -> None:
        cluster = Cluster(nodes=3, replicas=3)
        cluster.advance(5.0)
        node = cluster.leader(0)
        cluster.begin_drain(node)
        cluster.advance(FAILOVER_SECONDS)
        self.assertEqual(node.host.replicas_left(), 0)
        self.assertEqual(len(cluster.group_members(0)), 2)

    def test_lost_majority_is_reported_and_stays_unavailable(self) -> None:
        cluster = Cluster()
        cluster.advance(5.0)
        for replica in sorted(cluster.nodes)[:3]:
            cluster.crash_node(replica)
        cluster.advance(FAILOVER_SECONDS)
        for node in cluster.nodes.values():
            states = {status.state for status in node.host.status()}
            self.assertEqual(states, {ShardState.MAJORITY_LOST})
            self.assertEqual(node.host.led_shards(), [])

    def test_lost_leadership_makes_the_outcome_unknown(self) -> None:
        cluster = Cluster()
        cluster.advance(5.0)
        node = cluster.leader(0)
        own = node.context.replica
        cluster.is_dropped = lambda sender, to: own in (sender, to)
        outcomes = cluster.propose(0, "run-0")
        cluster.advance(5.0)
        self.assertFalse(node.host.holds_lease(ShardId(0)))
        self.assertEqual(len(outcomes), 1)
        self.assertIs(outcomes[0].failure().execution, Execution.UNKNOWN)
        refused: list[Outcome] = []
        cluster.execute_at(node, lambda: node.host.propose(ShardId(0), None, refused.append))
        self.assertIs(refused[0].failure().execution, Execution.NOT_RUN)

    def test_leadership_spreads_over_the_nodes(self) -> None:
        cluster = Cluster(shards=20)
        cluster.advance(40.0)
        counts = [len(node.host.led_shards()) for node in cluster.nodes.values()]
        self.assertEqual(sum(counts), 20)
        self.assertLessEqual(max(counts) - min(counts), 2)

    def test_compacted_log_reaches_a_new_member_as_snapshot(self) -> None:
        cluster = Cluster(shards=1, snapshot_entries=16, snapshot_chunk_bytes=512)
        cluster.advance(5.0)
        for number in range(60):
            cluster.propose(0, f"run-{number}")
            cluster.advance(0.05)
        status = cluster.leader(0).host.status()[0]
        # Without compaction, the log would hold all 60 commands.
        self.assertLess(status.log_entries, 40)
        crashed = next(replica for replica in cluster.nodes if replica not in cluster.leaders(0))
        cluster.crash_node(crashed)
        restarted = cluster.start_node(crashed.partition("~")[0], "zone-0", start=1)
        cluster.advance(FAILOVER_SECONDS)
        self.assertEqual(len(cluster.run_ids_at(restarted, 0)), 60)

    def test_read_is_served_by_the_leader_only(self) -> None:
        cluster = Cluster()
        cluster.advance(5.0)
        cluster.propose(0, "run-0")
        answers = []
        leader = cluster.leader(0)
        follower = next(node for node in cluster.nodes.values() if node is not leader)
        cluster.execute_at(leader, lambda: leader.host.read(ShardId(0), answers.append))
        cluster.execute_at(follower, lambda: follower.host.read(ShardId(0), answers.append))
        cluster.advance(1.0)
        self.assertIsNot(answers[0], None)
        failed, served = answers
        self.assertIs(failed.failure().execution, Execution.NOT_RUN)
        self.assertEqual(set(served.unwrap().runs), {"run-0"})

    def test_idle_cluster_sends_two_messages_per_pair_and_period(self) -> None:
        cluster = Cluster(nodes=5, shards=8)
        cluster.advance(30.0)
        cluster.sent.clear()
        cluster.advance(10.0)
        pairs = 10
        periods = 40
        batches = [sent for sent in cluster.sent if type(sent[2]).__name__ == "RaftBatch"]
        self.assertLessEqual(len(cluster.sent) - len(batches), 2 * pairs * (periods + 1))
        # 8 groups, 4 followers each, message and reply, at most 3 idle heartbeats in 10 seconds.
        self.assertLessEqual(len(batches), 8 * 4 * 2 * 3)


if __name__ == "__main__":
    unittest.main()
