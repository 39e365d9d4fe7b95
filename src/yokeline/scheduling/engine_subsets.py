"""Which engines of a pool a node prefers, so that it keeps connections to a few of them only.

Rendezvous hashing: each pair of a node and an engine has a rank of its own, from their names. Each
engine is preferred by the nodes of its zone with the least ranks, as many for each engine, so that
no engine is left out and none is preferred by all. A node that gets too few that way adds the
engines with the least ranks, those of its own zone first. A node or an engine that comes or goes
moves only pairs that it is part of, and those that take its place.

A subset is a preference and no bound: an engine outside of it costs a new connection more. So a
node goes beyond it at once when the engines in it are loaded, slow, failing or gone.
"""

from __future__ import annotations

import heapq
import math
from collections import defaultdict
from collections.abc import Iterable, Sequence

import msgspec
import xxhash

SUBSET_HEADROOM = 2.0
"""Engines in a subset for each one that the node's share of the load would fill: half of them may
be loaded by other nodes, slow or gone."""
LEAST_ENGINES = 3
"""Engines in a subset at least, so that one that fails and one that is full leave another."""
_HASH_SPAN = 2**64


class ZoneMember(msgspec.Struct, frozen=True):
    """A node or an engine, and the zone that it is in."""

    name: str
    zone: str


def rank(node: str, engine_id: str) -> float:
    """Return the rank of an engine for a node (0 to 1, the least first)."""
    return xxhash.xxh64_intdigest(f"{node}/{engine_id}".encode()) / _HASH_SPAN


def nodes_per_engine(nodes: int, engines: int) -> int:
    """Return by how many nodes each engine is preferred, where some nodes share some engines.

    A node so prefers this many times the engines over the nodes on average.
    """
    return min(nodes, math.ceil(max(SUBSET_HEADROOM, LEAST_ENGINES * nodes / engines)))


def preferred_engines(
    node: ZoneMember, nodes: Iterable[ZoneMember], engines: Sequence[ZoneMember]
) -> frozenset[str]:
    """Return the ids of a pool's engines that a node prefers.

    Args:
        node: This node.
        nodes: All nodes; this one is added if it is missing.
        engines: The engines of the pool.
    """
    nodes_by_zone = _by_zone({*nodes, node})
    engines_by_zone = _by_zone(engines)
    preferred = {
        engine.name
        for zone, group in engines_by_zone.items()
        for engine in _preferred_in_zone(
            node, nodes_by_zone.get(zone) or _all_members(nodes_by_zone), group
        )
    }
    minimum = min(LEAST_ENGINES, len(engines))
    if len(preferred) < minimum:
        preferred |= _fallback_engines(node, engines, preferred, minimum - len(preferred))
    return frozenset(preferred)


def _by_zone(items: Iterable[ZoneMember]) -> dict[str, list[ZoneMember]]:
    zones: dict[str, list[ZoneMember]] = defaultdict(list)
    for item in sorted(items, key=lambda item: item.name):
        zones[item.zone].append(item)
    return dict(zones)


def _all_members(zones: dict[str, list[ZoneMember]]) -> list[ZoneMember]:
    return [item for group in zones.values() for item in group]


def _preferred_in_zone(
    node: ZoneMember, nodes: Sequence[ZoneMember], engines: Sequence[ZoneMember]
) -> Iterable[ZoneMember]:
    """Return the engines that have a node among their own, of those that share a zone."""
    if node not in nodes:
        return []
    limit = nodes_per_engine(len(nodes), len(engines))
    return [engine for engine in engines if _ranks_within(node, nodes, engine, limit)]


def _ranks_within(
    node: ZoneMember, nodes: Sequence[ZoneMember], engine: ZoneMember, limit: int
) -> bool:
    """Return whether fewer than ``most`` nodes rank before this one at an engine."""
    own = rank(node.name, engine.name)
    lower_ranks = 0
    for other in nodes:
        lower_ranks += rank(other.name, engine.name) < own
        if lower_ranks >= limit:
            return False
    return True


def _fallback_engines(
    node: ZoneMember, engines: Iterable[ZoneMember], preferred: set[str], count: int
) -> set[str]:
    """Return further engines, the own zone's first."""
    others = [engine for engine in engines if engine.name not in preferred]
    first = heapq.nsmallest(
        count, others, key=lambda item: (item.zone != node.zone, rank(node.name, item.name))
    )
    return {engine.name for engine in first}
