"""A storage node with regional texts is retired only once its texts are elsewhere in the region."""

from __future__ import annotations

import json
import unittest

import msgspec

from tests.unit.ledger.cluster import Cluster, Machine
from yokeline.effects import Address, PeerMessage
from yokeline.identifiers import NodeName, ReplicaId
from yokeline.ledger.members import MAX_MEMBERS
from yokeline.ledger.messages import RegionalText, StoreText
from yokeline.ledger.regional_text_store import recover_texts
from yokeline.registry.nodes import NodeRecord, NodeRole, encode_node, node_key, read_nodes

EDGE = ReplicaId("edge~1")
EDGE_ADDRESS = Address("10.0.9.9", 1)


class StoredInRegions(unittest.TestCase):
    def cluster(self, *zones: str, seed: int = 1) -> Cluster:
        """Return a cluster with one storage node in each of some zones, as they are listed."""
        cluster = Cluster(0, seed)
        cluster.zone_regions = {"e": "east", "w": "west"}
        for number, zone in enumerate(zones):
            machine = cluster.prepare_machine(number)
            machine.zone = zone
            cluster.start(machine)
        members = min(len(zones), MAX_MEMBERS)
        self.assertTrue(cluster.run_until(lambda: len(cluster.members()) == members, 10.0))
        return cluster

    def store(
        self, cluster: Cluster, machines: list[Machine], turn_id: str, seconds: float
    ) -> None:
        """Let a forwarding node store a text on some machines."""
        for machine in machines:
            message = StoreText(
                number=1,
                asker=EDGE_ADDRESS,
                text=RegionalText(turn_id, "", turn_id, b"secret " * 30, ("east",)),
                seconds_left=seconds,
            )
            cluster.deliver_event(machine, PeerMessage(sender=EDGE, message=message))
        cluster.run(0.5)

    def holders(self, cluster: Cluster, turn_id: str) -> set[NodeName]:
        return {
            machine.name
            for machine in cluster.machines
            if turn_id in recover_texts(machine.texts_disk).unwrap().texts
        }

    def retire(self, cluster: Cluster, machine: Machine) -> None:
        cluster.store.put(f"op/retire/{machine.name}", json.dumps({"duration-s": 8}).encode())

    def is_retired(self, cluster: Cluster, machine: Machine) -> bool:
        item = cluster.store.items.get(f"status/retire/{machine.name}")
        return item is not None and b"completed" in (item.value or b"")

    def test_completion_is_reported_once_the_texts_are_elsewhere_in_the_region(self) -> None:
        for seed in range(4):
            cluster = self.cluster("e", "e", "e", "e", "w", "w", seed=seed)
            first = cluster.machines[seed]
            self.store(cluster, [first], "t", 600.0)
            self.retire(cluster, first)
            done = cluster.run_until(lambda c=cluster, m=first: self.is_retired(c, m), 30.0)
            self.assertTrue(done, f"seed {seed}")
            left = self.holders(cluster, "t") - {first.name}
            self.assertEqual(len(left), 3, f"seed {seed}")
            zones = {machine.zone for machine in cluster.machines if machine.name in left}
            self.assertEqual(zones, {"e"}, f"seed {seed}")

    def test_the_last_storage_node_of_a_region_waits_for_its_texts_to_expire(self) -> None:
        cluster = self.cluster("e", "w", "w", "w")
        last = cluster.machines[0]
        self.store(cluster, [last], "t", 30.0)
        self.retire(cluster, last)
        cluster.run(20.0)
        self.assertNotIn(last.replica, cluster.members())
        self.assertFalse(self.is_retired(cluster, last))
        self.assertEqual(self.holders(cluster, "t"), {last.name})
        done = cluster.run_until(lambda: self.is_retired(cluster, last), 30.0)
        self.assertTrue(done)

    def test_a_node_without_texts_retires_as_before(self) -> None:
        cluster = self.cluster("e", "e", "w", "w")
        self.retire(cluster, cluster.machines[0])
        cluster.run(6.0)
        self.assertTrue(self.is_retired(cluster, cluster.machines[0]))

    def test_a_power_loss_of_all_machines_keeps_texts_and_the_need_for_their_nodes(self) -> None:
        cluster = self.cluster("e", "e", "e", "w", "w")
        self.store(cluster, cluster.machines[:3], "t", 600.0)
        self.assertEqual(len(cluster.texts_stored), 3)
        for machine in cluster.machines:
            cluster.power_off(machine)
        for machine in cluster.machines:
            cluster.start(machine)
        cluster.run(5.0)
        self.assertEqual(len(self.holders(cluster, "t")), 3)
        items = (item for key, item in cluster.store.items.items() if "/nodes/" in key)
        needed = {record.name for record in read_nodes(items) if record.holds_texts}
        self.assertEqual(needed, self.holders(cluster, "t"))

    def test_only_nodes_with_texts_watch_the_service_for_them(self) -> None:
        """Each call to the key-value service is billed."""
        cluster = self.cluster("e", "e", "w", "w", "w")
        cluster.run(20.0)
        leader = cluster.leader()
        others = [machine for machine in cluster.machines if machine is not leader]
        before = [machine.watch_calls for machine in others]
        cluster.run(30.0)
        self.assertEqual([machine.watch_calls for machine in others], before)


class Records(unittest.TestCase):
    def test_a_record_without_texts_is_that_of_earlier_releases(self) -> None:
        record = NodeRecord(
            name=NodeName("n"),
            role=NodeRole.STORAGE,
            replica=ReplicaId("n~1"),
            address=EDGE_ADDRESS,
            zone="z",
        )
        plain = b'{"name":"n","role":"storage","replica":"n~1","address":["10.0.9.9",1],"zone":"z"}'
        self.assertEqual(encode_node(record), plain)
        holding = msgspec.structs.replace(record, holds_texts=True)
        self.assertIn(b'"holds_texts":true', encode_node(holding))
        self.assertEqual(node_key(record.name), "yokeline/nodes/n")
