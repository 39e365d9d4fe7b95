"""Choice of the next membership change of a group: a pure function, run by the leader.

A member is dead here once the failure detector has reported it as dead for
``consensus.replace_after_seconds``. It may only be partitioned and return with its log. The
order of changes never lowers the number of failures that the group tolerates in either case:

* One dead member, odd number of members: its replacement is added first. With 5 members of
  which 1 is dead, this makes 6 members with quorum 4, of which 5 are alive: the group
  tolerates 1 failure, and 2 if the dead member returns. Removing first makes 4 members with
  quorum 3: the group tolerates 1 failure too, but a removed process that returns is not a
  member, so that 2 failures lose the quorum permanently.
* One dead member, even number of members: it is removed first, which lowers the quorum.
* Several dead members: one is removed first. An added member would have to catch up before
  anything commits again, and its failure would lose the quorum permanently.
* One dead member, odd number of members, no spare node: it stays, since its removal would not
  lower the quorum.
* A leaving member is alive and holds the log, so its replacement is added first: the group
  never has fewer live replicas than before.
* A leaving member without a spare node is removed. Its process ends soon in any case, and the
  group without it tolerates at least as many failures as the group with one dead member. The
  last member stays.

Changes add or remove one member at a time (Ongaro, "Consensus", 2014, 4.1).
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Mapping, Sequence

import msgspec

from yokeline.consensus.quorum import quorum_size
from yokeline.identifiers import ReplicaId, ShardId
from yokeline.shards.placement import CandidateNode, choose_member, rank


class MemberCondition(enum.Enum):
    """Condition of a member, as the leader's node sees it."""

    HEALTHY = "healthy"
    DOUBTFUL = "doubtful"
    """Dead for less than ``replace_after_seconds``, or not known to be healthy; not replaced."""
    LEAVING = "leaving"
    DEAD = "dead"
    """Reported as dead by the failure detector for ``replace_after_seconds`` or longer."""


class GroupCondition(msgspec.Struct, frozen=True, kw_only=True):
    """Input of :func:`next_step`.

    Attributes:
        leader: Replica of the node that decides.
        members: Condition of each member, including the leader.
        zones: Zone of each member.
        spares: Live nodes that are neither leaving nor members, as candidates for new members.
        loads: Number of replicas by node, as far as it is known.
        replicas: Target number of members.
    """

    shard: ShardId
    leader: ReplicaId
    members: Mapping[ReplicaId, MemberCondition]
    zones: Mapping[ReplicaId, str]
    spares: Sequence[CandidateNode]
    loads: Mapping[ReplicaId, int]
    replicas: int


class AddMember(msgspec.Struct, frozen=True):
    """Add a member."""

    member: ReplicaId


class RemoveMember(msgspec.Struct, frozen=True):
    """Remove a member."""

    member: ReplicaId


RepairStep = AddMember | RemoveMember


def next_step(group: GroupCondition) -> RepairStep | None:
    """Return the next membership change, None if none is needed."""
    dead = _members_in(group, MemberCondition.DEAD)
    if len(dead) > 1 or (dead and _removal_lowers_quorum(group)):
        return RemoveMember(dead[0])
    staying = _staying(group)
    if len(staying) < group.replicas and group.spares:
        return _add(group, staying)
    leaving = [
        member for member in _members_in(group, MemberCondition.LEAVING) if member != group.leader
    ]
    if leaving:
        return RemoveMember(leaving[0])
    if len(staying) > group.replicas:
        return RemoveMember(_surplus_member(group, staying))
    return _rebalance_zones(group, staying)


def _members_in(group: GroupCondition, condition: MemberCondition) -> list[ReplicaId]:
    return sorted(member for member, found in group.members.items() if found is condition)


def _removal_lowers_quorum(group: GroupCondition) -> bool:
    members = len(group.members)
    return quorum_size(members - 1) < quorum_size(members)


def _staying(group: GroupCondition) -> list[ReplicaId]:
    """Return the members that are neither dead nor leaving."""
    kept = (MemberCondition.HEALTHY, MemberCondition.DOUBTFUL)
    return sorted(member for member, found in group.members.items() if found in kept)


def _add(group: GroupCondition, staying: Sequence[ReplicaId]) -> RepairStep | None:
    zones = _zone_counts(group, staying)
    chosen = choose_member(group.shard, zones, group.spares, group.loads)
    return None if chosen is None else AddMember(chosen)


def _zone_counts(group: GroupCondition, members: Sequence[ReplicaId]) -> Counter[str]:
    return Counter(group.zones.get(member, "") for member in members)


def _surplus_member(group: GroupCondition, staying: Sequence[ReplicaId]) -> ReplicaId:
    """Return the member whose removal keeps the zones most even; never the leader."""
    zones = _zone_counts(group, staying)
    others = [member for member in staying if member != group.leader]
    return max(
        others,
        key=lambda member: (
            zones[group.zones.get(member, "")],
            group.loads.get(member, 0),
            -rank(group.shard, member),
        ),
    )


def _rebalance_zones(group: GroupCondition, staying: Sequence[ReplicaId]) -> RepairStep | None:
    """Add a member in a zone with at least two fewer members than the fullest zone.

    The surplus member is removed in a later step.
    """
    if any(found is not MemberCondition.HEALTHY for found in group.members.values()):
        return None
    zones = _zone_counts(group, staying)
    most = max(zones.values(), default=0)
    emptier = [node for node in group.spares if zones.get(node.zone, 0) + 1 < most]
    chosen = choose_member(group.shard, zones, emptier, group.loads)
    return None if chosen is None else AddMember(chosen)
