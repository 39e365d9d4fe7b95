from __future__ import annotations

import unittest
from collections import Counter

from yokeline.effects import Address, SendDatagram
from yokeline.forwarding.engines import EngineTable
from yokeline.forwarding.load_reporting import LoadReporter, NodeStatus
from yokeline.forwarding.model import Engine
from yokeline.identifiers import NodeName, ReplicaId
from yokeline.ledger.messages import LoadDigest, LoadReport
from yokeline.registry.nodes import NodeRecord, NodeRole

STEP = 0.01
ENGINE = Engine(engine_id="e", pool="models", address=Address("10.9.0.1", 1), zone="a", slots=12)


class Fleet:
    """Forwarding nodes over zones whose datagrams arrive after one step."""

    def __init__(self, per_zone: int, zones: tuple[str, ...] = ("a", "b", "c")) -> None:
        self.now = 100.0
        self.down: set[str] = set()
        self.cut_from_ledger: set[str] = set()
        self.sent: Counter[str] = Counter()
        records = [
            NodeRecord(
                name=NodeName(f"edge-{zone}-{number:03}"),
                role=NodeRole.EDGE,
                replica=ReplicaId(f"edge-{zone}-{number:03}~1"),
                address=Address(f"10.{ord(zone)}.0.{number}", 7000),
                zone=zone,
            )
            for zone in zones
            for number in range(per_zone)
        ]
        self.books = {record.name: EngineTable() for record in records}
        self.nodes: dict[str, LoadReporter] = {}
        self.by_address = {record.address: record.name for record in records}
        for record in records:
            self.books[record.name].put(ENGINE)
            node = LoadReporter(record, record.replica, self.books[record.name], self.now)
            node.set_nodes(records, self.now)
            self.nodes[record.name] = node

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / STEP)):
            self.now += STEP
            arriving: list[SendDatagram] = []
            for name, node in self.nodes.items():
                if name in self.down:
                    continue
                state = NodeStatus(
                    waiting={}, revision=0, reaches_ledger=name not in self.cut_from_ledger
                )
                effects = [
                    item for item in node.tick(state, self.now) if isinstance(item, SendDatagram)
                ]
                self.sent[name] += len(effects)
                arriving.extend(effects)
            for effect in arriving:
                self._deliver(effect)

    def _deliver(self, effect: SendDatagram) -> None:
        name = self.by_address[effect.address]
        if name in self.down:
            return
        node = self.nodes[name]
        if isinstance(effect.message, LoadReport):
            node.handle_report(effect.message, self.now)
        elif isinstance(effect.message, LoadDigest):
            node.handle_digest(effect.message, self.now)

    def send_one_request_each(self) -> None:
        for name, book in self.books.items():
            state = book.get("e")
            assert state is not None
            if name not in self.down:
                book.record_sent(state)

    def believed(self) -> set[int]:
        loads = set()
        for name, book in self.books.items():
            if name not in self.down:
                loads.add(book.in_pool("models", self.now)[0].load)
        return loads


class Sharing(unittest.TestCase):
    def test_few_nodes_tell_each_other_directly(self) -> None:
        fleet = Fleet(3)
        fleet.send_one_request_each()
        fleet.run(0.5)
        self.assertEqual(fleet.believed(), {9})

    def test_many_nodes_know_the_load_of_all_through_the_relays_of_their_zones(self) -> None:
        fleet = Fleet(30)
        fleet.run(0.5)
        fleet.send_one_request_each()
        fleet.run(1.2)
        self.assertEqual(fleet.believed(), {90})

    def test_what_a_node_sends_does_not_grow_with_their_number(self) -> None:
        fleet = Fleet(30)
        fleet.send_one_request_each()
        fleet.run(2.0)
        members = [count for name, count in fleet.sent.items() if not name.endswith("-000")]
        self.assertLessEqual(max(members), 2.0 / 0.08 + 2)

    def test_the_next_node_takes_over_from_relays_that_fell_silent(self) -> None:
        fleet = Fleet(30)
        fleet.run(0.5)
        fleet.down = {"edge-a-000", "edge-b-000", "edge-b-001"}
        fleet.run(2.5)
        fleet.send_one_request_each()
        fleet.run(1.5)
        self.assertEqual(fleet.believed(), {87})

    def test_what_a_node_receives_does_not_grow_without_bound(self) -> None:
        """Reports and digests slow down as the fleet grows."""
        received = []
        for per_zone in (30, 90):
            fleet = Fleet(per_zone)
            fleet.send_one_request_each()
            fleet.run(4.0)
            relayed = sum(fleet.sent[f"edge-{zone}-000"] for zone in "abc")
            received.append(relayed / (3 * per_zone))
        self.assertLess(received[1], 1.5 * received[0])


class WhoWatches(unittest.TestCase):
    def watchers(self, fleet: Fleet, *, presumes_alive: bool) -> int:
        return sum(
            node.is_watcher(fleet.now, assume_alive=presumes_alive)
            for name, node in fleet.nodes.items()
            if name not in fleet.down
        )

    def test_nodes_that_start_together_do_not_all_watch(self) -> None:
        """Each call is paid for, and each node that registers would wake all that watch."""
        fleet = Fleet(30)
        self.assertEqual(self.watchers(fleet, presumes_alive=True), 3)
        fleet.run(2.0)
        self.assertEqual(self.watchers(fleet, presumes_alive=False), 3)

    def test_more_and_more_try_while_the_service_answers_nobody(self) -> None:
        """All at once they would call a service that is away; a few may be the refused ones."""
        fleet = Fleet(30)
        fleet.run(2.0)
        tried = [
            sum(
                node.is_watcher(fleet.now, seconds_without_watcher=seconds)
                for node in fleet.nodes.values()
            )
            for seconds in (0.0, 1.0, 2.0, 10.0, 1e6)
        ]
        self.assertEqual(tried, [3, 6, 12, 90, 90])

    def test_one_of_each_zone_watches_when_the_first_ones_are_dead(self) -> None:
        fleet = Fleet(30)
        fleet.down = {"edge-a-000", "edge-a-001", "edge-b-000"}
        fleet.run(4.0)
        self.assertEqual(self.watchers(fleet, presumes_alive=False), 3)


class WhoReachesTheLedger(unittest.TestCase):
    def test_nodes_that_say_so_are_named_and_those_of_the_own_zone_come_first(self) -> None:
        for per_zone in (2, 8):
            fleet = Fleet(per_zone)
            fleet.cut_from_ledger = {"edge-a-000", "edge-b-001"}
            fleet.run(1.0)
            peers = fleet.nodes["edge-b-000"].peers_reaching_ledger(fleet.now)
            names = [str(peer.process) for peer in peers]
            self.assertEqual(len(names), 3 * per_zone - 3)
            self.assertNotIn("edge-a-000~1", names)
            own_zone = [name for name in names if name.startswith("edge-b")]
            self.assertEqual(names[: len(own_zone)], own_zone)

    def test_a_node_that_fell_silent_is_not_asked(self) -> None:
        fleet = Fleet(2)
        fleet.run(1.0)
        fleet.down = {"edge-a-000"}
        fleet.run(2.0)
        peers = fleet.nodes["edge-b-000"].peers_reaching_ledger(fleet.now)
        self.assertNotIn("edge-a-000~1", [str(peer.process) for peer in peers])
