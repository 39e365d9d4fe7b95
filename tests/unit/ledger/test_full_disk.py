"""A storage node whose disk is full: it hands leadership over, and takes part again later."""

from __future__ import annotations

import json
import unittest

from tests.unit.ledger.cluster import Cluster, Machine
from tests.unit.ledger.test_storage_nodes import StorageCase, is_retired, turn
from yokeline.effects import FileRefused, FileSynced
from yokeline.ledger.operations import Settled
from yokeline.ledger.storage_figures import storage_figures

SERVED_WITHIN_SECONDS = 0.5
"""Below the time after which followers elect another leader, and callers give a turn up."""


class FullDisk(StorageCase):
    def fill(self, cluster: Cluster, *machines: Machine) -> None:
        for machine in machines:
            machine.disk_is_full = True

    def free(self, *machines: Machine) -> None:
        for machine in machines:
            machine.disk_is_full = False

    def served_within(self, cluster: Cluster, name: str, seconds: float) -> None:
        before = cluster.now
        self.assertEqual(cluster.ask(turn(name), 6.0), Settled())
        self.assertLess(cluster.now - before, seconds, name)

    def events(self, cluster: Cluster, event: str) -> int:
        return sum(item.event == event for item in cluster.log)

    def has_caught_up(self, cluster: Cluster, machine: Machine) -> bool:
        leader = cluster.leader()
        if leader is None or leader.node is None or machine.node is None:
            return False
        return leader.node.replica.group.has_caught_up(machine.replica)

    def test_a_leader_that_cannot_write_hands_over_at_once(self) -> None:
        """Turns failed until the followers' election timeouts had passed."""
        for seed in range(10):
            cluster = self.cluster(5, seed)
            cluster.ask(turn("t0"))
            leader = self.leader(cluster)
            self.fill(cluster, leader)
            self.served_within(cluster, "t1", SERVED_WITHIN_SECONDS)
            self.assertIsNot(cluster.leader(), leader)
            self.assertEqual(self.events(cluster, "ledger_disk_refuses"), 1)
            assert leader.node is not None
            figures = storage_figures(leader.node)
            self.assertEqual(figures.gauges["yokeline_ledger_disk_refuses"], 1.0)
            self.assertEqual(figures.counters["yokeline_ledger_disk_refusals_total"], 1.0)

    def test_it_takes_part_again_when_it_can(self) -> None:
        for seed in range(6):
            cluster = self.cluster(3, seed)
            full = self.leader(cluster)
            self.fill(cluster, full)
            cluster.ask(turn("t1"))
            cluster.run(0.6)
            self.free(full)
            caught_up = cluster.run_until(lambda c=cluster, m=full: self.has_caught_up(c, m), 4.0)
            self.assertTrue(caught_up, f"seed {seed}")
            self.assertEqual(self.events(cluster, "ledger_disk_accepts"), 1)
            other = next(item for item in cluster.machines if item is not cluster.leader())
            leader = self.leader(cluster)
            term = leader.node.replica.group.term if leader.node else 0
            cluster.run(2.0)
            self.assertIs(cluster.leader(), leader, f"seed {seed}: it deposed the leader")
            self.assertEqual(leader.node.replica.group.term if leader.node else 0, term)
            if other is not full:
                cluster.kill(other)
                self.served_within(cluster, "t2", 1.5)
            self.assert_kept(cluster, "t1")

    def test_two_of_five_members_cannot_write(self) -> None:
        for seed in range(6):
            cluster = self.cluster(5, seed)
            leader = self.leader(cluster)
            other = next(item for item in cluster.machines if item is not leader)
            self.fill(cluster, other, leader)
            self.served_within(cluster, "t1", 2.0 * SERVED_WITHIN_SECONDS)
            cluster.run(8.0)
            self.served_within(cluster, "t2", SERVED_WITHIN_SECONDS)
            self.free(other, leader)
            self.assertTrue(cluster.run_until(cluster.all_members, 10.0), f"seed {seed}")
            self.assert_kept(cluster, "t1", "t2")

    def test_one_of_two_members_cannot_write(self) -> None:
        """The other one goes on alone, as with a lost machine, and is never joined by a second."""
        for seed in range(6):
            cluster = self.cluster(2, seed)
            leader = self.leader(cluster)
            self.fill(cluster, leader)
            self.served_within(cluster, "t1", 4.0)
            self.assertIsNot(cluster.leader(), leader)
            self.free(leader)
            self.assertTrue(cluster.run_until(cluster.all_members, 10.0), f"seed {seed}")
            self.assert_kept(cluster, "t1")

    def test_the_leader_cannot_write_during_a_retirement(self) -> None:
        for seed in range(6):
            cluster = self.cluster(5, seed)
            standby = cluster.add_machine()
            cluster.run(1.5)
            leader = self.leader(cluster)
            retiring = next(
                item
                for item in cluster.machines
                if item is not leader and item is not standby and item.replica in cluster.members()
            )
            cluster.store.put(f"op/retire/{retiring.name}", json.dumps({"duration-s": 8}).encode())
            cluster.run(0.15)
            self.fill(cluster, leader)
            self.served_within(cluster, "t1", 2.0 * SERVED_WITHIN_SECONDS)
            done = cluster.run_until(lambda c=cluster, m=retiring: is_retired(c, m), 8.0)
            self.assertTrue(done, f"seed {seed}")
            self.assertIn(standby.replica, cluster.members(), f"seed {seed}")
            self.free(leader)
            self.assert_kept(cluster, "t1")

    def test_a_standby_that_cannot_write_does_not_become_a_member(self) -> None:
        cluster = self.cluster(3)
        standby = cluster.prepare_machine(3)
        standby.started_before = True
        standby.disk_is_full = True
        cluster.start(standby)
        cluster.run(2.0)
        self.assertNotIn(standby.replica, cluster.members())
        self.free(standby)
        self.assertTrue(cluster.run_until(cluster.all_members, 5.0))

    def test_refusals_of_texts_alone_end_with_their_sync(self) -> None:
        """Replicas without a refused write of their own would never send again."""
        cluster = self.cluster(3)
        cluster.ask(turn("t1"))
        cluster.run(1.0)
        for event in (FileRefused("no space left on device"), FileSynced(-1)):
            for machine in cluster.machines:
                cluster._deliver(machine, machine.generation, event)
        refusing = [
            machine.name
            for machine in cluster.machines
            if machine.node is None or machine.node.replica.disk_refuses
        ]
        self.assertEqual(refusing, [])
        self.served_within(cluster, "t2", 2.0)

    def test_a_full_disk_keeps_nothing_for_later(self) -> None:
        """Answers to heartbeats would otherwise add up as long as the disk is full."""
        cluster = self.cluster(3)
        full = self.leader(cluster)
        self.fill(cluster, full)
        cluster.ask(turn("t1"))
        assert full.node is not None
        cluster.run(0.3)
        before = len(full.node.replica._deferred)
        cluster.run(20.0)
        self.assertLess(len(full.node.replica._deferred) - before, 20)


if __name__ == "__main__":
    unittest.main()
