from __future__ import annotations

import unittest
from collections import Counter

from returns.result import Failure, Success

from tests.unit.shards.cluster import member
from yokeline.identifiers import ReplicaId, ShardId
from yokeline.settings import ClusterSection, NodeSection, Settings
from yokeline.shards.placement import (
    CandidateNode,
    Placement,
    assign_replicas,
    choose_member,
    decode_placement,
    encode_placement,
    initial_placement,
)


def candidate_nodes(nodes: int, zones: int) -> tuple[CandidateNode, ...]:
    return tuple(
        CandidateNode(replica=ReplicaId(f"n{number:03}~0"), zone=f"zone-{number % zones}")
        for number in range(nodes)
    )


def worst_zone(placement: Placement, nodes: tuple[CandidateNode, ...]) -> int:
    zone = {node.replica: node.zone for node in nodes}
    return max(max(Counter(zone[item] for item in group).values()) for group in placement.groups)


class PlacementTest(unittest.TestCase):
    def test_small_clusters_are_even_and_spread_over_zones(self) -> None:
        for nodes, zones, bound in ((5, 3, 2), (9, 3, 2), (12, 4, 2), (20, 5, 1)):
            with self.subTest(nodes=nodes, zones=zones):
                cluster = candidate_nodes(nodes, zones)
                placement = assign_replicas(cluster, 64, 5)
                loads = Counter(item for group in placement.groups for item in group)
                self.assertEqual(worst_zone(placement, cluster), bound)
                self.assertLessEqual(max(loads.values()) - min(loads.values()), 3)
                self.assertTrue(all(len(set(group)) == 5 for group in placement.groups))

    def test_large_clusters_have_few_peers_per_node(self) -> None:
        cluster = candidate_nodes(400, 21)
        placement = assign_replicas(cluster, 4096, 5)
        peers: dict[ReplicaId, set[ReplicaId]] = {}
        for group in placement.groups:
            for item in group:
                peers.setdefault(item, set()).update(group)
        self.assertEqual(len(peers), 400)
        # COPYSET_PERMUTATIONS times the 4 other members of a group.
        self.assertLessEqual(max(len(others) - 1 for others in peers.values()), 16)
        loads = Counter(item for group in placement.groups for item in group)
        self.assertLessEqual(max(loads.values()), 2 * min(loads.values()))
        self.assertLessEqual(worst_zone(placement, cluster), 2)

    def test_fewer_nodes_than_replicas_are_all_used(self) -> None:
        placement = assign_replicas(candidate_nodes(3, 3), 4, 5)
        self.assertTrue(all(len(group) == 3 for group in placement.groups))

    def test_new_member_comes_from_the_emptiest_zone_and_not_from_a_full_node(self) -> None:
        spares = candidate_nodes(6, 2)
        loads = {spares[0].replica: 50, spares[2].replica: 10, spares[4].replica: 10}
        chosen = {
            choose_member(ShardId(shard), {"zone-1": 2}, spares, loads) for shard in range(20)
        }
        self.assertEqual(chosen, {spares[2].replica, spares[4].replica})
        self.assertIsNone(choose_member(ShardId(0), {}, (), {}))

    def test_placement_text_is_checked(self) -> None:
        settings = Settings(node=NodeSection(name="n"), cluster=ClusterSection(shards=4))
        members = tuple(member(f"node-{number}", "zone") for number in range(5))
        placement = initial_placement(members, settings)
        text = encode_placement(placement)
        self.assertEqual(decode_placement(text, settings), Success(placement))
        other = Settings(node=NodeSection(name="n"), cluster=ClusterSection(shards=8))
        self.assertIsInstance(decode_placement(text, other), Failure)
        self.assertIsInstance(decode_placement("{", settings), Failure)


if __name__ == "__main__":
    unittest.main()
