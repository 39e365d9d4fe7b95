"""Random crashes, restarts, partitions, message loss and planned stops of shard hosts."""

from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from tests.unit.shards.cluster import DETECTION_SECONDS
from tests.unit.shards.routed import SHARD, Answer, RoutedCluster, RoutedNode, start_operation
from yokeline.errors import Execution
from yokeline.identifiers import ReplicaId

STEPS = 40
REPAIR_SECONDS = 15.0
"""At most two faults occur within this time, so that a majority remains."""
RECOVERY_SECONDS = 40.0
STOP_SECONDS = 8.0


class Faults:
    """Injects random faults and requests."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        snapshot_entries = self.random.choice((8, 50, 2000))
        self.cluster = RoutedCluster(
            nodes=8, shards=1, snapshot_entries=snapshot_entries, snapshot_chunk_bytes=300
        )
        self.cluster.is_dropped = self._is_dropped
        self.answers: dict[str, tuple[RoutedNode, list[Answer]]] = {}
        self._isolated: set[ReplicaId] = set()
        self._loss = 0.0
        self._starts = 0
        self._fault_times: list[float] = []

    def _is_dropped(self, sender: ReplicaId, to: ReplicaId) -> bool:
        if (sender in self._isolated) != (to in self._isolated):
            return True
        return self.random.random() < self._loss

    def step(self) -> None:
        fault = self.random.choice(
            (
                self.crash,
                self.isolate,
                self.drain,
                self.set_message_loss,
                self.send_requests,
                self.send_requests,
                self.send_requests,
            )
        )
        if fault in (self.set_message_loss, self.send_requests):
            fault()
        elif self._may_inject():
            self._fault_times.append(self.cluster.now)
            fault()
        self.cluster.advance(self.random.choice((0.01, 0.1, 0.5, 1.0, 3.0)))

    def _may_inject(self) -> bool:
        recent = [at for at in self._fault_times if self.cluster.now - at < REPAIR_SECONDS]
        return len(recent) < 2

    def _any_node(self) -> RoutedNode:
        healthy = sorted(set(self.cluster.nodes) & set(self.cluster.members) - self._isolated)
        return self.cluster.nodes[self.random.choice(healthy)]

    def crash(self) -> None:
        self._crash(self._any_node())

    def _crash(self, node: RoutedNode) -> None:
        replica = node.context.replica
        if replica not in self.cluster.nodes:
            return
        self.cluster.crash_node(replica)
        self._starts += 1
        number = self._starts
        self.cluster.schedule(
            self.random.uniform(0.5, 6.0),
            lambda: self.cluster.start_node(node.context.name, node.context.zone, number),
        )

    def isolate(self) -> None:
        replica = self._any_node().context.replica
        member = self.cluster.members[replica]
        self._isolated.add(replica)

        def declare_dead() -> None:
            if replica in self._isolated:
                self.cluster.declare_dead(replica)

        def heal() -> None:
            self._isolated.discard(replica)
            if replica in self.cluster.nodes:
                self.cluster.dead.discard(replica)
                self.cluster.members[replica] = member

        self.cluster.schedule(DETECTION_SECONDS, declare_dead)
        self.cluster.schedule(self.random.uniform(0.5, 9.0), heal)

    def drain(self) -> None:
        node = self._any_node()
        self.cluster.begin_drain(node)
        self.cluster.schedule(STOP_SECONDS, lambda: self._crash(node))

    def set_message_loss(self) -> None:
        self._loss = self.random.choice((0.0, 0.0, 0.05, 0.2))

    def send_requests(self) -> None:
        for _ in range(4):
            run = f"run-{len(self.answers)}"
            node = self._any_node()
            deadline = self.random.choice((1.0, 5.0, 20.0))
            _, answers = self.cluster.send_request(node, start_operation(run), deadline)
            self.answers[run] = (node, answers)

    def heal(self) -> None:
        self._loss = 0.0
        self.cluster.advance(RECOVERY_SECONDS)


class ShardClusterProperties(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=8)
    @given(st.integers(0, 2**32))
    def test_answers_are_true_and_replicas_agree_after_any_faults(self, seed: int) -> None:
        faults = Faults(seed)
        faults.cluster.advance(5.0)
        for _ in range(STEPS):
            faults.step()
        faults.heal()
        cluster = faults.cluster
        members = cluster.group_members(SHARD)
        self.assertEqual(len(members), 5)
        holders = {key for key, node in cluster.nodes.items() if node.host.replicas_left()}
        self.assertEqual(holders, members)
        runs = cluster.run_ids_at(cluster.leader(SHARD), SHARD)
        for member in members:
            self.assertEqual(cluster.run_ids_at(cluster.nodes[member], SHARD), runs)
        for run, (node, answers) in faults.answers.items():
            self.assert_true(run, runs, node.context.replica in cluster.nodes, answers)

    def assert_true(
        self, run: str, runs: set[str], requester_alive: bool, answers: list[Answer]
    ) -> None:
        self.assertLessEqual(len(answers), 1, "answered at most once")
        if not answers:
            self.assertFalse(requester_alive, f"{run} was never answered")
        elif isinstance(answers[0], Success):
            self.assertIn(run, runs, "an accepted run is never lost")
        elif answers[0].failure().execution is Execution.NOT_RUN:
            self.assertNotIn(run, runs, "a run that is called not run does not exist")


if __name__ == "__main__":
    unittest.main()
