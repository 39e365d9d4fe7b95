"""Placement of shard replicas on nodes: pure functions over zones.

Nodes are ranked for a shard by rendezvous hashing (Thaler and Ravishankar, "Using name-based
mappings to increase hit rates", 1998). Small clusters are filled greedily, which gives each
node an equal share. Large clusters use copysets (Cidon et al., "Copysets: Reducing the
Frequency of Data Loss in Cloud Storage", 2013): few distinct groups of nodes, so that a node
exchanges heartbeats with few peers and few combinations of crashes lose a majority.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping, Sequence

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from yokeline.errors import ErrorKind, YokelineError
from yokeline.identifiers import ReplicaId, ShardId
from yokeline.membership.view import Member, MemberState
from yokeline.settings import Settings

GREEDY_MAX_NODES = 25
"""Largest number of nodes that is placed greedily; larger clusters use copysets."""
COPYSET_PERMUTATIONS = 4
"""Each permutation adds ``replicas - 1`` peers to a node."""
MAX_LOAD_RATIO = 1.25
"""A new member is chosen among nodes with at most this multiple of the mean load."""


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """Members of every shard's group.

    Attributes:
        groups: Member ids by shard number.
    """

    groups: tuple[tuple[ReplicaId, ...], ...]


class CandidateNode(msgspec.Struct, frozen=True, kw_only=True):
    """A node that may hold replicas, with its zone."""

    replica: ReplicaId
    zone: str


def rank(shard: ShardId, replica: ReplicaId) -> int:
    """Return the rendezvous hash of a node for a shard; the highest is preferred."""
    return xxhash.xxh3_64_intdigest(f"{shard}/{replica}".encode())


def initial_placement(members: Sequence[Member], settings: Settings) -> Placement:
    """Return the placement that bootstraps a new deployment on the members that are alive."""
    nodes = tuple(
        CandidateNode(replica=member.replica, zone=member.zone)
        for member in members
        if member.state is MemberState.ALIVE
    )
    return assign_replicas(nodes, settings.cluster.shards, settings.cluster.replicas)


def assign_replicas(nodes: Sequence[CandidateNode], shards: int, replicas: int) -> Placement:
    """Return groups of ``replicas`` nodes (or all, if fewer) that are spread over zones."""
    ordered = sorted(nodes, key=lambda node: node.replica)
    size = min(replicas, len(ordered))
    if len(ordered) <= GREEDY_MAX_NODES:
        return _assign_greedily(ordered, shards, size)
    return _assign_copysets(ordered, shards, size)


def choose_member(
    shard: ShardId,
    zones: Mapping[str, int],
    candidates: Sequence[CandidateNode],
    loads: Mapping[ReplicaId, int],
) -> ReplicaId | None:
    """Return the node to add to a group, None if there is no candidate.

    Only candidates in the zones with the fewest members are considered. Among those whose load
    is at most :data:`MAX_LOAD_RATIO` times the mean, the highest rank wins. (Choosing the least
    loaded node would send all groups that lost a member at the same time to one node.)

    Args:
        shard: The group's shard.
        zones: Number of remaining members by zone.
        candidates: Nodes that are alive and not members.
        loads: Number of replicas by node, as far as it is known.
    """
    if not candidates:
        return None
    fewest = min(zones.get(node.zone, 0) for node in candidates)
    in_emptiest_zone = [node for node in candidates if zones.get(node.zone, 0) == fewest]
    mean = sum(loads.get(node.replica, 0) for node in in_emptiest_zone) / len(in_emptiest_zone)
    max_load = math.ceil(mean * MAX_LOAD_RATIO)
    eligible = [node for node in in_emptiest_zone if loads.get(node.replica, 0) <= max_load]
    return max(eligible, key=lambda node: rank(shard, node.replica)).replica


def encode_placement(placement: Placement) -> str:
    """Return a placement as the JSON text that is stored in the key-value service."""
    return msgspec.json.encode(placement).decode()


def decode_placement(text: str, settings: Settings) -> Result[Placement, YokelineError]:
    """Return the placement in ``text`` if its number of shards matches the settings."""
    try:
        placement = msgspec.json.decode(text, type=Placement)
    except msgspec.MsgspecError as error:
        return Failure(
            _placement_error(f"the placement in the key-value service is malformed: {error}")
        )
    if len(placement.groups) != settings.cluster.shards:
        found = len(placement.groups)
        wanted = settings.cluster.shards
        return Failure(
            _placement_error(f"the placement has {found} shards, but cluster.shards is {wanted}")
        )
    return Success(placement)


def _placement_error(message: str) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.BAD_SETTING,
        message=message,
        remedy="set the same cluster.shards and platform.store_prefix on all nodes",
    )


def _assign_greedily(nodes: Sequence[CandidateNode], shards: int, size: int) -> Placement:
    """Fill each group with the least loaded nodes, up to a number of members per zone."""
    max_per_zone = _max_members_per_zone(nodes, size)
    loads: Counter[ReplicaId] = Counter()
    groups: list[tuple[ReplicaId, ...]] = []
    for number in range(shards):
        group = _greedy_group(ShardId(number), nodes, size, max_per_zone, loads)
        loads.update(group)
        groups.append(group)
    return Placement(groups=tuple(groups))


def _greedy_group(
    shard: ShardId,
    nodes: Sequence[CandidateNode],
    size: int,
    max_per_zone: int,
    loads: Mapping[ReplicaId, int],
) -> tuple[ReplicaId, ...]:
    zones: Counter[str] = Counter()
    remaining = list(nodes)
    group: list[ReplicaId] = []
    while len(group) < size:
        best = min(
            remaining,
            key=lambda node: (
                zones[node.zone] >= max_per_zone,
                loads.get(node.replica, 0),
                zones[node.zone],
                -rank(shard, node.replica),
            ),
        )
        remaining.remove(best)
        zones[best.zone] += 1
        group.append(best.replica)
    return tuple(group)


def _max_members_per_zone(nodes: Sequence[CandidateNode], size: int) -> int:
    zones = {node.zone for node in nodes}
    return math.ceil(size / max(1, len(zones)))


def _assign_copysets(nodes: Sequence[CandidateNode], shards: int, size: int) -> Placement:
    """Assign the shards in turn to few groups, which are slices of permutations."""
    copysets: list[tuple[ReplicaId, ...]] = []
    for permutation in range(COPYSET_PERMUTATIONS):
        order = _interleave_zones(nodes, permutation)
        copysets.extend(_split_into_groups(order, size))
    groups = tuple(copysets[number % len(copysets)] for number in range(shards))
    return Placement(groups=groups)


def _interleave_zones(nodes: Sequence[CandidateNode], permutation: int) -> list[ReplicaId]:
    """Return all nodes shuffled, with adjacent nodes in different zones where possible."""
    zones: dict[str, list[CandidateNode]] = {}
    for node in sorted(nodes, key=lambda node: rank(ShardId(permutation), node.replica)):
        zones.setdefault(node.zone, []).append(node)
    positions: list[tuple[float, int, ReplicaId]] = []
    for zone_nodes in zones.values():
        for position, node in enumerate(zone_nodes):
            share = (position + 0.5) / len(zone_nodes)
            positions.append((share, rank(ShardId(permutation), node.replica), node.replica))
    return [replica for _, _, replica in sorted(positions)]


def _split_into_groups(order: Sequence[ReplicaId], size: int) -> list[tuple[ReplicaId, ...]]:
    """Split ``order`` into groups of ``size``; nodes from its start complete the last one."""
    padded = [*order, *order[:size]]
    return [tuple(padded[start : start + size]) for start in range(0, len(order), size)]
