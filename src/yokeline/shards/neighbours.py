"""Which nodes a node exchanges heartbeats with: pure functions."""

from __future__ import annotations

import bisect
from collections.abc import Iterable

from yokeline.identifiers import ReplicaId

RING_DISTANCE = 1
"""Neighbours on each side, in the ring of all nodes by id, that updates are relayed to."""


def ring_neighbours(own: ReplicaId, alive: tuple[ReplicaId, ...]) -> tuple[ReplicaId, ...]:
    """Return the nearest nodes on both sides in the ring of replica ids.

    The ring connects all nodes regardless of their groups, so that updates relayed along it
    reach every node.
    """
    others = sorted(replica for replica in alive if replica != own)
    if not others:
        return ()
    position = bisect.bisect(others, own)
    offsets = range(-RING_DISTANCE, RING_DISTANCE)
    chosen = {others[(position + offset) % len(others)] for offset in offsets}
    return tuple(sorted(chosen))


def heartbeat_peers(
    own: ReplicaId,
    groups: Iterable[tuple[ReplicaId, ...]],
    neighbours: tuple[ReplicaId, ...],
    alive: tuple[ReplicaId, ...],
) -> tuple[ReplicaId, ...]:
    """Return the live nodes that share a group with this node, and its ring neighbours."""
    peers = set(neighbours)
    for members in groups:
        peers.update(members)
    peers.discard(own)
    return tuple(sorted(peers & set(alive)))
