"""Where a leader hands its leadership to: pure decisions for balance and planned stops."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from yokeline.identifiers import ReplicaId, ShardId
from yokeline.shards.placement import rank

MIN_LEADER_DIFFERENCE = 2
"""A hand-over to a node that leads at least so many fewer makes the two more even."""


def choose_successor(
    shard: ShardId, healthy: Sequence[ReplicaId], shards_led_by: Callable[[ReplicaId], int]
) -> ReplicaId | None:
    """Return the member to hand a shard to: the least loaded, then the highest rank."""
    if not healthy:
        return None
    return min(healthy, key=lambda member: (shards_led_by(member), -rank(shard, member)))


def choose_balance_target(
    shard: ShardId,
    own_count: int,
    healthy: Sequence[ReplicaId],
    shards_led_by: Callable[[ReplicaId], int],
) -> ReplicaId | None:
    """Return a member that should lead instead of us, None if we are even enough."""
    chosen = choose_successor(shard, healthy, shards_led_by)
    if chosen is None or own_count - shards_led_by(chosen) < MIN_LEADER_DIFFERENCE:
        return None
    return chosen
