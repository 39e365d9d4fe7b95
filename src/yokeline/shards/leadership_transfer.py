"""Choice of the member that a leader transfers its leadership to: pure functions."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from yokeline.identifiers import ReplicaId, ShardId
from yokeline.shards.placement import rank

MIN_LEADER_DIFFERENCE = 2
"""Smallest difference in led shards at which a transfer makes two nodes more even."""


def choose_successor(
    shard: ShardId, healthy: Sequence[ReplicaId], shards_led_by: Callable[[ReplicaId], int]
) -> ReplicaId | None:
    """Return the member that leads the fewest shards; of several, the highest in rank."""
    if not healthy:
        return None
    return min(healthy, key=lambda member: (shards_led_by(member), -rank(shard, member)))


def choose_balance_target(
    shard: ShardId,
    own_count: int,
    healthy: Sequence[ReplicaId],
    shards_led_by: Callable[[ReplicaId], int],
) -> ReplicaId | None:
    """Return a member to lead instead of this node, None if no transfer makes both more even."""
    chosen = choose_successor(shard, healthy, shards_led_by)
    if chosen is None or own_count - shards_led_by(chosen) < MIN_LEADER_DIFFERENCE:
        return None
    return chosen
