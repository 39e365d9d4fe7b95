"""Which membership change a group needs next: a pure decision of the group's leader.

The order keeps the number of crashes that the group can bear from falling, also where a member
that counts as dead was only cut off and comes back with its log:

* With one dead member and an odd number of members, its replacement is added first. Of 5 with
  1 dead, 6 members then have quorum 4 of which 5 live: they bear 1 crash, and 2 once the dead
  one turns out to be alive. Removing first leaves 4 members (quorum 3): they bear 1 crash too,
  but the one that comes back no longer counts, and two crashes cost the majority for good.
* Where the number of members is even, removing a dead one lowers the quorum: it goes.
* With several dead members, one is removed first: an added member would have to catch up before
  anything at all commits again, and its crash would cost the majority for good.
* One dead member of an odd number stays while there is no spare node: its removal would not
  lower the quorum.
* A leaving member still lives and holds the log, so its replacement is added first: the
  group never has fewer live copies than before.
* Where there is no spare node, a leaving member is removed without replacement: its process
  ends soon in any case, and a group that counts it no longer bears at least as many crashes
  as one that counts it as dead. The last member stays.

Changes are by one member at a time (Ongaro, "Consensus", 2014, 4.1).
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
    """What the leader's node believes of a member."""

    HEALTHY = "healthy"
    DOUBTFUL = "doubtful"
    """Silent, but not dead for long enough to be replaced."""
    LEAVING = "leaving"
    DEAD = "dead"


class GroupCondition(msgspec.Struct, frozen=True, kw_only=True):
    """What the decision depends on.

    Attributes:
        leader: The deciding node's own replica.
        members: Condition of each member, the leader too.
        zones: Zone of each member and spare node.
        spares: Nodes that are alive, stay, and are not members.
        loads: Replicas that each node is believed to hold.
        replicas: Wanted number of members.
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
    """Return the next membership change, None if the group is as it should be."""
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
    """Return the members that count towards the wanted number."""
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
    """Add a member in a zone that has too few; the surplus one is removed after it."""
    if any(found is not MemberCondition.HEALTHY for found in group.members.values()):
        return None
    zones = _zone_counts(group, staying)
    most = max(zones.values(), default=0)
    emptier = [node for node in group.spares if zones.get(node.zone, 0) + 1 < most]
    chosen = choose_member(group.shard, zones, emptier, group.loads)
    return None if chosen is None else AddMember(chosen)
