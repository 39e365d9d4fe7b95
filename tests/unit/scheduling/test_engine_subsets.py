from __future__ import annotations

import statistics
import unittest
from collections import Counter

from yokeline.scheduling.engine_subsets import (
    MIN_ENGINES,
    ZoneMember,
    nodes_per_engine,
    preferred_engines,
)

ZONES = 4
SPEEDS = 3
Subsets = dict[str, frozenset[str]]


def members(kind: str, count: int, zones: int = ZONES) -> list[ZoneMember]:
    return [ZoneMember(f"{kind}-{number}", f"zone-{number % zones}") for number in range(count)]


def subsets(nodes: list[ZoneMember], engines: list[ZoneMember]) -> Subsets:
    return {node.name: preferred_engines(node, nodes, engines) for node in nodes}


def preference_counts(chosen: Subsets, engines: list[ZoneMember]) -> list[int]:
    """Return the number of nodes that prefer each engine."""
    counts = Counter(name for subset in chosen.values() for name in subset)
    return [counts[engine.name] for engine in engines]


class Evenness(unittest.TestCase):
    def check(self, node_count: int, engine_count: int, *, most_to_mean: float) -> Subsets:
        nodes, engines = members("edge", node_count), members("engine", engine_count)
        chosen = subsets(nodes, engines)
        counts = preference_counts(chosen, engines)
        least = nodes_per_engine(node_count // ZONES, engine_count // ZONES)
        self.assertGreaterEqual(min(counts), least)
        self.assertLessEqual(max(counts), most_to_mean * statistics.fmean(counts))
        self.assertGreaterEqual(min(len(subset) for subset in chosen.values()), MIN_ENGINES)
        return chosen

    def test_few_engines_and_many_nodes(self) -> None:
        self.check(72, 24, most_to_mean=1.3)
        self.check(400, 24, most_to_mean=1.1)

    def test_more_engines_than_nodes(self) -> None:
        chosen = self.check(72, 600, most_to_mean=1.0)
        sizes = [len(subset) for subset in chosen.values()]
        self.assertLess(max(sizes), 2 * statistics.fmean(sizes))

    def test_about_as_many_engines_as_nodes(self) -> None:
        self.check(400, 600, most_to_mean=3.0)

    def test_engines_of_each_speed_are_preferred_alike(self) -> None:
        nodes, engines = members("edge", 72), members("engine", 24)
        counts = preference_counts(subsets(nodes, engines), engines)
        by_speed = [counts[number::SPEEDS] for number in range(SPEEDS)]
        means = [statistics.fmean(group) for group in by_speed]
        self.assertLess(max(means), 1.15 * min(means))

    def test_the_long_run_size(self) -> None:
        """Samples 16 of 400 nodes, since all of them take minutes."""
        nodes, engines = members("edge", 400, zones=20), members("engine", 12_000, zones=20)
        sizes = [len(preferred_engines(node, nodes, engines)) for node in nodes[::25]]
        self.assertLess(max(sizes), 1.5 * statistics.fmean(sizes))
        self.assertAlmostEqual(statistics.fmean(sizes) / 60, 1.0, delta=0.15)

    def test_a_zone_of_the_long_run_size_is_even(self) -> None:
        nodes, engines = members("edge", 20, zones=1), members("engine", 600, zones=1)
        self.assertEqual(set(preference_counts(subsets(nodes, engines), engines)), {2})

    def test_the_size_of_a_fleet_of_few_nodes(self) -> None:
        nodes, engines = members("edge", 72, zones=12), members("engine", 12_000, zones=12)
        sizes = [len(preferred_engines(node, nodes, engines)) for node in nodes[::9]]
        self.assertAlmostEqual(statistics.fmean(sizes) / 333, 1.0, delta=0.15)


class Zones(unittest.TestCase):
    def test_engines_of_the_own_zone_come_first(self) -> None:
        nodes, engines = members("edge", 72), members("engine", 24)
        zones = {engine.name: engine.zone for engine in engines}
        for node in nodes:
            subset = preferred_engines(node, nodes, engines)
            self.assertEqual({zones[name] for name in subset}, {node.zone})

    def test_a_zone_without_engines_prefers_those_of_others(self) -> None:
        nodes = members("edge", 40)
        engines = [item for item in members("engine", 24) if item.zone != "zone-0"]
        counts = preference_counts(subsets(nodes, engines), engines)
        self.assertGreaterEqual(
            min(len(subset) for subset in subsets(nodes, engines).values()), MIN_ENGINES
        )
        self.assertGreater(min(counts), 0)

    def test_engines_of_a_zone_without_nodes_are_preferred_too(self) -> None:
        nodes = [item for item in members("edge", 40) if item.zone != "zone-0"]
        engines = members("engine", 24)
        self.assertGreater(min(preference_counts(subsets(nodes, engines), engines)), 0)

    def test_a_node_that_is_not_listed_yet_prefers_some(self) -> None:
        nodes, engines = members("edge", 20), members("engine", 24)
        new = ZoneMember("new", "zone-1")
        self.assertGreaterEqual(len(preferred_engines(new, nodes, engines)), MIN_ENGINES)

    def test_a_pool_of_two_engines_is_preferred_whole_and_one_of_none_not_at_all(self) -> None:
        nodes, engines = members("edge", 20), members("engine", 2)
        self.assertEqual(len(preferred_engines(nodes[3], nodes, engines)), 2)
        self.assertEqual(preferred_engines(nodes[3], nodes, []), frozenset())


class Changes(unittest.TestCase):
    def changed_pairs(self, before: Subsets, after: Subsets) -> int:
        """Return the number of pairs of a node and an engine that were added or removed."""
        return sum(len(before[name] ^ after[name]) for name in before if name in after)

    def count_pairs(self, chosen: Subsets) -> int:
        return sum(len(subset) for subset in chosen.values())

    def test_an_engine_that_goes_moves_few_pairs(self) -> None:
        nodes, engines = members("edge", 72), members("engine", 24)
        before, after = subsets(nodes, engines), subsets(nodes, engines[:11] + engines[12:])
        self.assertLess(self.changed_pairs(before, after), 0.15 * self.count_pairs(before))

    def test_an_engine_that_comes_is_preferred_at_once(self) -> None:
        nodes, engines = members("edge", 72), members("engine", 24)
        before, after = subsets(nodes, engines[:23]), subsets(nodes, engines)
        self.assertGreaterEqual(preference_counts(after, engines)[23], 9)
        self.assertLess(self.changed_pairs(before, after), 0.15 * self.count_pairs(before))

    def test_a_node_that_comes_or_goes_moves_few_pairs(self) -> None:
        nodes, engines = members("edge", 72), members("engine", 600)
        before, after = subsets(nodes[:71], engines), subsets(nodes, engines)
        self.assertLess(self.changed_pairs(before, after), 0.1 * self.count_pairs(before))
