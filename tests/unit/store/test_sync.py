"""Configuration reaches every node, from the store or from peers, and never goes back."""

from __future__ import annotations

import unittest
from unittest import mock

from returns.result import Success

from tests.unit.store.bench import Bench, write
from yokeline.messages.types import ConfigurationDelta
from yokeline.store import relay


def tenant(name: str, burst: int = 1) -> str:
    return f'{{"name":"{name}","limits":{{"burst":{burst}}}}}'


def cluster(bench: Bench, zones: int = 3, per_zone: int = 4) -> list:
    return [bench.add(f"n{z}{i}", f"z{z}") for z in range(zones) for i in range(per_zone)]


class ConvergenceTest(unittest.TestCase):
    def test_two_relays_a_zone_read_the_store_and_all_nodes_get_a_write_soon(self) -> None:
        bench = Bench()
        nodes = cluster(bench)
        bench.run(3.0)
        self.assertTrue(all(node.sync.ready() for node in nodes))
        relays = [n.context.zone for n in nodes if n.sync.status().relay]
        self.assertEqual(sorted(relays), ["z0", "z0", "z1", "z1", "z2", "z2"])
        outcome = write(nodes[0], "club", tenant("club"), 0, "op-1")
        bench.run(0.2)
        self.assertIsInstance(outcome[0], Success)
        self.assertTrue(all(n.sync.view().tenant("club") for n in nodes))
        self.assertEqual(len({n.sync.revision() for n in nodes}), 1)
        outcome = write(nodes[1], "club", None, outcome[0].unwrap().revision, "op-2")
        bench.run(0.2)
        self.assertIsInstance(outcome[0], Success)
        self.assertFalse(any(n.sync.view().tenant("club") for n in nodes))

    def test_with_the_store_down_a_new_node_takes_the_configuration_from_peers(self) -> None:
        bench = Bench()
        nodes = cluster(bench, zones=2, per_zone=3)
        bench.run(3.0)
        for number in range(100):
            write(nodes[number % 6], f"t{number}", tenant(f"t{number}"), 0, f"op-{number}")
        bench.run(1.0)
        bench.faults(down=True)
        late = bench.add("late", "z0")
        self.assertFalse(late.sync.ready())
        bench.run(3.0)
        self.assertTrue(late.sync.ready())
        self.assertEqual(len(late.sync.view().tenants()), 100)
        self.assertEqual(late.sync.revision(), nodes[0].sync.revision())

    def test_nobody_is_ready_while_the_store_is_down_and_nobody_knows_anything(self) -> None:
        bench = Bench()
        bench.faults(down=True)
        nodes = cluster(bench, zones=1, per_zone=3)
        bench.run(10.0)
        self.assertFalse(any(node.sync.ready() for node in nodes))
        bench.faults()
        self.assertTrue(bench.run_until(lambda: all(n.sync.ready() for n in nodes), 10.0))

    def test_after_an_outage_changes_arrive_and_a_dead_relay_is_replaced(self) -> None:
        bench = Bench()
        nodes = cluster(bench, zones=1, per_zone=4)
        bench.run(3.0)
        bench.faults(down=True)
        bench.run(20.0)
        for node in nodes:
            node.stopped = node.sync.status().relay
        alive = [n for n in nodes if not n.stopped]
        bench.run(2.0)
        bench.faults()
        bench.run(8.0)
        self.assertTrue(all(n.sync.status().watching for n in alive))
        write(alive[0], "club", tenant("club"), 0, "op-1")
        bench.run(0.2)
        self.assertTrue(all(n.sync.view().tenant("club") for n in alive))

    def test_compaction_while_the_watch_is_cut_leads_to_a_new_listing(self) -> None:
        bench = Bench()
        node, other = bench.add("a"), bench.add("b", "z2")
        bench.run(3.0)
        outcome = write(other, "gone", tenant("gone"), 0, "op-0")
        bench.run(0.5)
        bench.cut = {("a", "b"), ("b", "a")}
        for pending in list(bench.pending.values()):
            if pending.owner is node:
                pending.expires = bench.now
        node.store_reachable = False
        bench.run(0.1)
        write(other, "gone", None, outcome[0].unwrap().revision, "op-1")
        write(other, "club", tenant("club"), 0, "op-2")
        bench.run(0.2)
        bench.store.state.compact(bench.store.state.revision)
        self.assertIsNotNone(node.sync.view().tenant("gone"))
        node.store_reachable = True
        self.assertTrue(bench.run_until(lambda: node.sync.view().tenant("club"), 10.0))
        self.assertIsNone(node.sync.view().tenant("gone"))

    def test_a_stale_peer_brings_nothing_back(self) -> None:
        bench = Bench()
        node = bench.add("a")
        bench.run(3.0)
        first = write(node, "club", tenant("club", 1), 0, "op-1")
        bench.run(0.2)
        stale = node.sync.view().stored_objects()
        old_revision = node.sync.revision()
        write(node, "club", None, first[0].unwrap().revision, "op-2")
        bench.run(0.2)
        for after in (0, old_revision - 1):
            delta = ConfigurationDelta(
                after=after, upto=old_revision, objects=stale, latest=old_revision
            )
            node.sync.receive_delta(node.replica, delta)
        self.assertIsNone(node.sync.view().tenant("club"))

    def test_a_large_configuration_travels_in_parts(self) -> None:
        bench = Bench()
        nodes = cluster(bench, zones=1, per_zone=3)
        bench.run(3.0)
        for number in range(60):
            write(nodes[number % 3], f"t{number}", tenant(f"t{number}"), 0, f"op-{number}")
        bench.run(1.0)
        for node in nodes:
            node.sync._state._part_bytes = 1000
        bench.faults(down=True)
        late = bench.add("late", "z9")
        self.assertTrue(bench.run_until(late.sync.ready, 10.0))
        self.assertEqual(len(late.sync.view().tenants()), 60)


class PullTest(unittest.TestCase):
    """Node b of another zone cannot reach the store and missed what node a got."""

    def setUp(self) -> None:
        self.bench = Bench()
        self.a, self.b = self.bench.add("a", "z1"), self.bench.add("b", "z2")
        self.b.store_reachable = False
        self.assertTrue(self.bench.run_until(self.b.sync.ready, 5.0))
        self.bench.cut = {("a", "b"), ("b", "a")}
        write(self.a, "club", tenant("club"), 0, "op-1")
        self.bench.run(0.5)
        self.assertIsNone(self.b.sync.view().tenant("club"))
        self.bench.cut = set()

    def test_a_higher_revision_in_a_heartbeat_is_pulled_at_once(self) -> None:
        self.b.sync.receive_revision(self.a.replica, self.a.sync.revision())
        self.bench.run(0.05)
        self.assertIsNotNone(self.b.sync.view().tenant("club"))

    def test_a_source_that_is_silent_is_passed_over(self) -> None:
        silent = self.bench.add("c", "z2")
        self.bench.cut = {("c", "b")}
        self.b.sync.receive_revision(silent.replica, 1000)
        self.b.sync.receive_revision(self.a.replica, self.a.sync.revision())
        self.bench.run(0.5)
        self.assertIsNone(self.b.sync.view().tenant("club"))
        self.bench.run(1.0)
        self.assertIsNotNone(self.b.sync.view().tenant("club"))

    def test_without_any_news_anti_entropy_finds_it(self) -> None:
        self.assertTrue(self.bench.run_until(lambda: self.b.sync.view().tenant("club"), 11.0))


class ListingTest(unittest.TestCase):
    def test_changes_between_the_pages_of_a_listing_are_not_lost(self) -> None:
        bench = Bench()
        first = bench.add("a", "z1")
        bench.run(3.0)
        revisions = {}
        for name in ("a", "b", "c", "d", "e"):
            outcome = write(first, name, tenant(name), 0, f"op-{name}")
            bench.run(0.05)
            revisions[name] = outcome[0].unwrap().revision
        with mock.patch.object(relay, "PAGE_KEYS", 1):
            late = bench.add("b", "z2")
            bench.cut = {("a", "b")}
            bench.faults(slow_seconds=0.1)
            self.assertTrue(bench.run_until(lambda: late.sync._relay._found, 5.0))
            write(first, "a", None, revisions["a"], "op-gone")
            write(first, "e", tenant("e", 7), revisions["e"], "op-new")
            bench.run(3.0)
        self.assertEqual([t.name for t in late.sync.view().tenants()], ["b", "c", "d", "e"])
        self.assertEqual(late.sync.view().tenant("e").limits.burst, 7)
        self.assertEqual(late.sync.revision(), first.sync.revision())


if __name__ == "__main__":
    unittest.main()
