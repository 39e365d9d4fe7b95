"""What the operator reads of data residency, once per change."""

from __future__ import annotations

import random
import unittest

import msgspec

from tests.unit.forwarding.support import TABLE, Played
from tests.unit.forwarding.test_residency import ZONE_REGIONS, restricted, with_tenant
from tests.unit.registry.test_watch import ScriptedStore
from yokeline.effects import Address, LogRecord, Tick
from yokeline.forwarding.configuration_lease import ConfigurationLease
from yokeline.forwarding.edge_node import EdgeNode
from yokeline.forwarding.model import RoutingTable
from yokeline.forwarding.residency import DataResidency
from yokeline.forwarding.residency_report import ResidencyReporter
from yokeline.identifiers import NodeName, ReplicaId
from yokeline.ledger.regional_texts import RegionalTexts
from yokeline.platform.documents import PlatformDocuments
from yokeline.registry.client import RegistryClient
from yokeline.registry.nodes import NodeRecord, NodeRole, encode_node, node_key
from yokeline.registry.protocol import StoredItem
from yokeline.scheduling.eligibility import EligibilityPolicy
from yokeline.start_phases import StartPhases


def storage_record(number: int, zone: str) -> NodeRecord:
    name = NodeName(f"storage-{number}")
    return NodeRecord(
        name=name,
        role=NodeRole.STORAGE,
        replica=ReplicaId(f"{name}~1"),
        address=Address(f"10.0.0.{number}", 1),
        zone=zone,
    )


class Lines(unittest.TestCase):
    def setUp(self) -> None:
        self.residency = DataResidency("west", ZONE_REGIONS)
        self.played = Played(zones=("east-1", "west-1"), residency=self.residency)
        self.reporter = ResidencyReporter(self.residency, RegionalTexts(Address("h", 1)))
        self.records = [storage_record(number, "east-1") for number in range(3)]
        self.reporter.set_storage(self.records, ())

    def report(self, table: RoutingTable) -> list[LogRecord]:
        self.residency.set_table(table)
        return self.reporter.report(table, self.played.engines.all())

    def test_without_restrictions_nothing_is_logged(self) -> None:
        self.assertEqual(self.report(TABLE), [])

    def test_each_restricted_route_and_tenant_is_logged_once(self) -> None:
        table = with_tenant(restricted(TABLE, ("east",), prefix="/kept/"), ("west",))
        lines = self.report(table)
        self.assertEqual([line.event for line in lines], ["data_residency"] * 2)
        route, tenant = lines
        self.assertEqual((route.fields["route"], route.fields["regions"]), ("/kept/", "east"))
        self.assertEqual((route.fields["engines"], route.fields["storage_nodes"]), (2, 3))
        self.assertEqual((tenant.fields["tenant"], tenant.fields["storage_nodes"]), ("t", 0))
        self.assertEqual((route.level, tenant.level), ("info", "warning"))
        self.assertEqual(self.report(table), [])
        self.assertEqual(self.report(msgspec.structs.replace(table, version=8)), [])

    def test_a_change_of_the_storage_nodes_or_regions_is_logged_again(self) -> None:
        table = restricted(TABLE, ("east",), prefix="/kept/")
        self.report(table)
        self.reporter.set_storage(self.records, {"storage-1"})
        (line,) = self.report(table)
        self.assertEqual((line.fields["storage_nodes"], line.fields["copies"]), (2, 2))
        self.assertEqual(line.level, "warning")
        (line,) = self.report(restricted(table, ("east", "north"), prefix="/kept/"))
        self.assertEqual(line.fields["regions"], "east north")


class Node(unittest.TestCase):
    """An edge node reads from the registry where texts may be stored."""

    def setUp(self) -> None:
        self.residency = DataResidency("west", ZONE_REGIONS)
        self.texts = RegionalTexts(Address("10.0.0.1", 1), "west")
        played = Played(
            residency=self.residency,
            eligibility=EligibilityPolicy((self.residency.restriction,)),
            zones=("east-1", "west-1"),
            texts=self.texts,
        )
        self.now = played.now
        record = NodeRecord(
            name=NodeName("edge-1"),
            role=NodeRole.EDGE,
            replica=ReplicaId("edge-1~1"),
            address=Address("10.0.0.1", 1),
        )
        store = ScriptedStore()
        formats = PlatformDocuments()
        self.node = EdgeNode(
            record=record,
            process=ReplicaId("edge-1~1"),
            registry=RegistryClient(store, (), random.Random(1)),
            formats=formats,
            forwarder=played.forwarder,
            engines=played.engines,
            ledger=played.ledger,
            histories=played.histories,
            lease=ConfigurationLease(
                store, formats.configuration_key, record.address, 0.0, self.now
            ),
            grace_seconds=8.0,
            engine_drain_seconds=2.0,
            phases=StartPhases(self.now),
            now=self.now,
            residency=ResidencyReporter(self.residency, self.texts),
        )
        self.played = played

    def set_items(self, items: dict[str, bytes]) -> None:
        stored = {key: StoredItem(key, value, 1) for key, value in items.items()}
        registry = self.node._registry
        registry.items = lambda prefix: {  # type: ignore[method-assign]
            key: item for key, item in stored.items() if key.startswith(prefix)
        }
        self.node._apply_changes(list(stored.values()), self.now, 0.0)

    def test_storage_nodes_and_retirements_decide_where_texts_go(self) -> None:
        records = [storage_record(0, "east-1"), storage_record(1, "west-1")]
        items = {node_key(record.name): encode_node(record) for record in records}
        self.set_items(items)
        self.assertEqual(self.texts.storage_nodes(("east",)), 1)
        self.set_items({**items, "op/retire/storage-0": b'{"duration-s": 8}'})
        self.assertEqual(self.texts.storage_nodes(("east",)), 0)
        self.assertEqual(self.texts.storage_nodes(("west",)), 1)

    def test_the_lines_follow_the_configuration(self) -> None:
        self.played.forwarder.table = restricted(TABLE, ("east",), prefix="/kept/")
        effects = self.node.handle(Tick(), self.now)
        lines = [item for item in effects if isinstance(item, LogRecord)]
        self.assertIn("data_residency", [line.event for line in lines])
