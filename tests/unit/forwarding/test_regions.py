"""Requests, history fetches and load reports keep to their region while that costs nothing."""

from __future__ import annotations

import unittest
from itertools import pairwise

from yokeline.effects import Address, SendDatagram
from yokeline.forwarding.engine_choice import ChoiceInputs, choose_engine
from yokeline.forwarding.engines import EngineTable
from yokeline.forwarding.load_reporting import RELAY_TIMEOUT_SECONDS, LoadReporter, NodeStatus
from yokeline.forwarding.model import Call, Engine
from yokeline.forwarding.prefix_cache import PrefixCacheIndex
from yokeline.identifiers import NodeName, ReplicaId
from yokeline.ledger.history_fetches import HistoryFetches, NearReplica
from yokeline.ledger.messages import LoadDigest, LoadReport
from yokeline.registry.nodes import NodeRecord, NodeRole
from yokeline.scheduling.engine_subsets import ZoneMember, preferred_engines
from yokeline.scheduling.topology import Topology

REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}


def table(zones: str = "a1 a2 b1 b2") -> EngineTable:
    engines = EngineTable("edge", Topology("a1", REGIONS))
    for zone in zones.split():
        address = Address(f"10.1.0.{zone[-1]}", 80)
        engines.put(Engine(engine_id=zone, pool="apps", address=address, zone=zone, slots=6))
    for state in engines.all():
        state.record_call_seconds(0.05)
    return engines


def chosen(engines: EngineTable) -> str:
    call = Call(request_id="r", deadline=1.0)
    inputs = ChoiceInputs(call=call, traits=None, zone="a1", topology=engines.topology)
    choice = choose_engine(engines.in_pool("apps", 0.0), PrefixCacheIndex(), inputs, 0.0)
    assert choice is not None
    return choice.state.engine.engine_id


class Engines(unittest.TestCase):
    def test_the_other_zone_of_the_region_takes_what_the_own_zone_cannot(self) -> None:
        engines = table()
        loads = {"a1": 6, "a2": 4, "b1": 2, "b2": 2}
        for state in engines.all():
            state.running_elsewhere = loads[state.engine.engine_id]
        self.assertEqual(chosen(engines), "a2")

    def test_a_full_region_spills_over(self) -> None:
        engines = table()
        for state in engines.all():
            state.running_elsewhere = 11 if state.engine.zone.startswith("a") else 0
        self.assertIn(chosen(engines), ("b1", "b2"))

    def test_the_measured_round_trip_decides_whether_it_is_worth_it(self) -> None:
        """The own engine's queue costs some 60 ms more than the idle engine far away."""
        engines = table("a1 b1")
        own = engines.get("a1")
        assert own is not None
        own.running_elsewhere = 7
        engines.topology.record_connect("b1", 0.002, 0.0)
        self.assertEqual(chosen(engines), "b1")
        slow = table("a1 b1")
        own = slow.get("a1")
        assert own is not None
        own.running_elsewhere = 7
        slow.topology.record_connect("b1", 0.2, 0.0)
        self.assertEqual(chosen(slow), "a1")

    def test_a_subset_is_filled_from_the_region_before_others(self) -> None:
        node = ZoneMember("edge", "a1", "a")
        engines = [
            ZoneMember(f"e{zone}{i}", zone, REGIONS[zone]) for zone in REGIONS for i in (1, 2)
        ]
        nodes = [node, *(ZoneMember(f"n{zone}", zone, REGIONS[zone]) for zone in REGIONS)]
        regions = {name[1] for name in preferred_engines(node, nodes, engines)}
        self.assertEqual(regions, {"a"})


class Histories(unittest.TestCase):
    def test_a_replica_of_the_region_is_asked_before_one_of_another(self) -> None:
        for number in range(8):
            fetches = HistoryFetches(f"edge-{number}", Address("10.0.0.1", 1))
            fetches.set_replicas(
                [
                    NearReplica(ReplicaId("far"), Address("10.0.1.1", 1), False, False),
                    NearReplica(ReplicaId("region"), Address("10.0.2.1", 1), False, True),
                ]
            )
            effects = fetches.fetch("t", "", None, lambda _turns, _now: [], 0.0)
            assert effects is not None
            self.assertEqual(effects[0].to, "region")  # type: ignore[union-attr]


class LoadReports(unittest.TestCase):
    def sent(self, regions: dict[str, str]) -> dict[str, list[SendDatagram]]:
        """Let a relay of zone a1 pass on reports of its zone for two seconds."""
        records = [
            NodeRecord(
                name=NodeName(f"{zone}-{number:02}"),
                role=NodeRole.EDGE,
                replica=ReplicaId(f"{zone}-{number}"),
                address=Address(f"10.{index}.0.{number}", 1),
                zone=zone,
            )
            for index, zone in enumerate(REGIONS)
            for number in range(6)
        ]
        zones = {record.address: record.zone for record in records}
        engines = EngineTable(records[0].name, Topology("a1", regions))
        node = LoadReporter(records[0], ReplicaId("p"), engines, 0.0)
        node.set_nodes(records, 0.0)
        status = NodeStatus(waiting={}, revision=0, reaches_ledger=True)
        sent: dict[str, list[SendDatagram]] = {zone: [] for zone in REGIONS}
        for step in range(200):
            now = step * 0.01
            for number, record in enumerate(records[:6]):
                if number and step % 8 == 0:
                    node.handle_report(LoadReport(node=record.name, sequence=step, loads=()), now)
            for effect in node.tick(status, now):
                assert isinstance(effect, SendDatagram)
                sent[zones[effect.address]].append(effect)
        return sent

    def test_other_regions_get_fewer_digests_with_the_latest_report_of_each_node(self) -> None:
        sent = self.sent(REGIONS)
        self.assertLess(len(sent["b1"]), 0.3 * len(sent["a2"]))
        last = sent["b1"][-1].message
        assert isinstance(last, LoadDigest)
        self.assertEqual(len({report.node for report in last.reports}), len(last.reports))
        self.assertGreaterEqual(len(last.reports), 5)

    def test_a_quiet_zone_is_heard_in_other_regions_before_its_reports_expire(self) -> None:
        """Its node reports every 0.3 s only, so that four digests took 1.2 s."""
        own = NodeRecord(
            name=NodeName("a1-00"),
            role=NodeRole.EDGE,
            replica=ReplicaId("a1-0"),
            address=Address("10.0.0.1", 1),
            zone="a1",
        )
        others = [
            NodeRecord(
                name=NodeName(f"b1-{number:02}"),
                role=NodeRole.EDGE,
                replica=ReplicaId(f"b1-{number}"),
                address=Address(f"10.1.0.{number}", 1),
                zone="b1",
            )
            for number in range(24)
        ]
        node = LoadReporter(
            own, ReplicaId("p"), EngineTable(own.name, Topology("a1", REGIONS)), 0.0
        )
        node.set_nodes([own, *others], 0.0)
        status = NodeStatus(waiting={}, revision=0, reaches_ledger=True)
        sent_at = [step / 100 for step in range(600) if node.tick(status, step / 100)]
        self.assertGreater(len(sent_at), 2)
        for earlier, later in pairwise(sent_at):
            self.assertLess(later - earlier, RELAY_TIMEOUT_SECONDS)

    def test_within_one_region_all_zones_get_every_digest(self) -> None:
        sent = self.sent(dict.fromkeys(REGIONS, "a"))
        self.assertEqual(len(sent["b1"]), len(sent["a2"]))
