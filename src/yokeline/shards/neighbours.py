"""With which nodes a node exchanges heartbeats: pure functions of what it sees."""

from __future__ import annotations

import bisect
from collections.abc import Iterable

from yokeline.identifiers import ReplicaId

RING_DISTANCE = 1
"""Neighbours to each side, in the ring of all nodes by id, that news are relayed to."""


def ring_neighbours(own: ReplicaId, alive: tuple[ReplicaId, ...]) -> tuple[ReplicaId, ...]:
    """Return the next nodes to both sides in the ring of replica ids.

    The ring connects every node, whatever groups it is in, so that news which are relayed
    along it reach all.
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
    """Return the nodes that share a group with this one, and its ring neighbours."""
    peers = set(neighbours)
    for members in groups:
        peers.update(members)
    peers.discard(own)
    return tuple(sorted(peers & set(alive)))
