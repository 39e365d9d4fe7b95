"""Deterministic subsetting: the engines of a pool that a node keeps connections to.

Rendezvous hashing gives each pair of a node and an engine a rank. Each engine is preferred by the
nodes of its zone with the lowest ranks, the same number for every engine, so no engine is left out
and none is preferred by all. A node with too few engines adds those with the lowest ranks, its own
zone's first and then its region's. When a node or an engine comes or goes, only its own pairs and
their replacements change.

A subset is a preference and not a limit: an engine outside of it costs a new connection. A node
uses one as soon as the engines of its subset are loaded, slow, failing or gone.
"""

from __future__ import annotations

import heapq
import math
from collections import defaultdict
from collections.abc import Iterable, Sequence

import msgspec
import xxhash

SUBSET_HEADROOM = 2.0
"""Size of a subset relative to the number of engines that the node's share of the load would
fill."""
MIN_ENGINES = 3
"""Minimum size of a subset, unless the pool has fewer engines."""
_HASH_SPAN = 2**64


class ZoneMember(msgspec.Struct, frozen=True):
    """A node or an engine, its zone, and its region if the deployment has several."""

    name: str
    zone: str
    region: str = ""


def rank(node: str, engine_id: str) -> float:
    """Return the rank of an engine for a node, from 0 to 1; the lowest rank is preferred."""
    return xxhash.xxh64_intdigest(f"{node}/{engine_id}".encode()) / _HASH_SPAN


def nodes_per_engine(nodes: int, engines: int) -> int:
    """Return how many nodes of a zone prefer each of its engines.

    A node prefers this number times ``engines / nodes`` engines on average.
    """
    return min(nodes, math.ceil(max(SUBSET_HEADROOM, MIN_ENGINES * nodes / engines)))


def preferred_engines(
    node: ZoneMember, nodes: Iterable[ZoneMember], engines: Sequence[ZoneMember]
) -> frozenset[str]:
    """Return the ids of the engines of a pool that a node prefers.

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
    minimum = min(MIN_ENGINES, len(engines))
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
    """Return the engines of a zone that are preferred by a node."""
    if node not in nodes:
        return []
    limit = nodes_per_engine(len(nodes), len(engines))
    return [engine for engine in engines if _ranks_within(node, nodes, engine, limit)]


def _ranks_within(
    node: ZoneMember, nodes: Sequence[ZoneMember], engine: ZoneMember, limit: int
) -> bool:
    """Return whether fewer than ``limit`` nodes rank lower than this one at an engine."""
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
    """Return further engines by rank, the node's own zone first, then its region."""

    def order(engine: ZoneMember) -> tuple[bool, bool, float]:
        is_elsewhere = engine.zone != node.zone
        return is_elsewhere, engine.region != node.region, rank(node.name, engine.name)

    others = [engine for engine in engines if engine.name not in preferred]
    return {engine.name for engine in heapq.nsmallest(count, others, key=order)}
