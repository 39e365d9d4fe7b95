"""Subsets of engines are balanced and change little when nodes and engines come and go."""

from __future__ import annotations

import random
import unittest
from collections import Counter, defaultdict

from hypothesis import given, settings
from hypothesis import strategies as st

from yokeline.scheduling.engine_subsets import (
    MIN_ENGINES,
    ZoneMember,
    nodes_per_engine,
    preferred_engines,
)

SOME = settings(derandomize=True, deadline=None, max_examples=40)
STEPS = 6

zones = st.integers(1, 4)
sizes = st.integers(1, 40)


class Fleet:
    """Nodes and engines in zones that come and go."""

    def __init__(self, seed: int, zone_count: int, nodes: int, engines: int) -> None:
        self.random = random.Random(seed)
        self.zone_count = zone_count
        self.number = 0
        self.nodes = [self.new_member("edge") for _ in range(nodes)]
        self.engines = [self.new_member("engine") for _ in range(engines)]

    def new_member(self, kind: str) -> ZoneMember:
        self.number += 1
        return ZoneMember(f"{kind}-{self.number}", f"z{self.random.randrange(self.zone_count)}")

    def change(self) -> None:
        """Add or remove a node or an engine."""
        kind, group = self.random.choice((("edge", self.nodes), ("engine", self.engines)))
        if len(group) > 1 and self.random.random() < 0.5:
            del group[self.random.randrange(len(group))]
        else:
            group.append(self.new_member(kind))

    def subsets(self) -> dict[str, frozenset[str]]:
        return {node.name: preferred_engines(node, self.nodes, self.engines) for node in self.nodes}

    def min_preferences(self) -> dict[str, int]:
        """Return the minimum number of nodes that must prefer each engine."""
        nodes: dict[str, int] = Counter(node.zone for node in self.nodes)
        engines: dict[str, int] = Counter(engine.zone for engine in self.engines)
        shared = {zone: nodes[zone] or len(self.nodes) for zone in engines}
        return {
            engine.name: nodes_per_engine(shared[engine.zone], engines[engine.zone])
            for engine in self.engines
        }


class Subsets(unittest.TestCase):
    @SOME
    @given(st.integers(0, 2**32), zones, sizes, sizes)
    def test_no_engine_is_left_out_and_no_node_has_too_few(
        self, seed: int, zone_count: int, nodes: int, engines: int
    ) -> None:
        fleet = Fleet(seed, zone_count, nodes, engines)
        for _ in range(STEPS):
            fleet.change()
            chosen = fleet.subsets()
            counts = Counter(name for subset in chosen.values() for name in subset)
            for name, least in fleet.min_preferences().items():
                self.assertGreaterEqual(counts[name], least)
            fewest = min(len(subset) for subset in chosen.values())
            self.assertGreaterEqual(fewest, min(MIN_ENGINES, len(fleet.engines)))

    @SOME
    @given(st.integers(0, 2**32), st.integers(10, 30), st.integers(10, 30))
    def test_an_engine_moves_only_by_changes_of_its_zone(
        self, seed: int, nodes: int, engines: int
    ) -> None:
        """Removing a node does not change the subsets of another zone with enough engines."""
        fleet = Fleet(seed, 2, nodes, engines)
        before = fleet.subsets()
        gone = fleet.random.choice(fleet.nodes)
        fleet.nodes.remove(gone)
        own_zone: dict[str, int] = defaultdict(int)
        for engine in fleet.engines:
            own_zone[engine.zone] += 1
        has_all_zones = {node.zone for node in fleet.nodes} >= set(own_zone)
        for node in fleet.nodes:
            is_apart = node.zone != gone.zone and own_zone[node.zone] >= MIN_ENGINES
            if is_apart and has_all_zones:
                after = preferred_engines(node, fleet.nodes, fleet.engines)
                self.assertEqual(after, before[node.name])
