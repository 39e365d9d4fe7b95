"""Chooses the next change of the ledger group's members; pure functions."""

from __future__ import annotations

from collections import Counter

import msgspec

from yokeline.effects import Address
from yokeline.identifiers import NodeName, ReplicaId, node_name_of
from yokeline.registry.nodes import NodeRecord

MAX_MEMBERS = 5
MIN_MEMBERS_AFTER_REPLACEMENT = 3
"""A silent member is removed only if at least this many members remain."""
REPLACE_AFTER_SECONDS = 2.0
"""Silence after which a member is replaced by a standby."""
JOIN_REQUEST_TTL_SECONDS = 1.5
"""A node counts as alive for this long after a join request."""
CATCH_UP_SILENCE_SECONDS = 0.5
"""Silence after which the group no longer waits for a member to catch up."""
MIN_LOST_SILENCE_SECONDS = 0.3
"""A replica heard from within this time has not lost its disk, even if a join request says so."""


class JoinRequest(msgspec.Struct, frozen=True):
    """The latest request of a storage node to become a member."""

    replica: ReplicaId
    address: Address
    heard_at: float


class AddMember(msgspec.Struct, frozen=True):
    """Add a replica to the group."""

    replica: ReplicaId


class RemoveMember(msgspec.Struct, frozen=True):
    """Remove a replica from the group; ``reason`` is logged."""

    replica: ReplicaId
    reason: str


class HandOver(msgspec.Struct, frozen=True):
    """Transfer leadership to another member, because the leader's node is retiring."""

    replica: ReplicaId


MembershipStep = AddMember | RemoveMember | HandOver


class GroupView(msgspec.Struct, frozen=True, kw_only=True):
    """The leader's view of the group.

    Attributes:
        own: The leader's replica id.
        members: The committed configuration.
        joins: Join requests by node.
        silence: Seconds for which each follower has left a message unanswered.
        retiring: Nodes that an operator has ordered to retire.
        lost: Replicas whose disk is known to be lost; excluded from majorities.
        caught_up: Members that hold every committed entry.
        leads_since: When the leader began to lead. Earlier join requests may come from nodes that
            have since been retired by an order to the previous leader.
        has_read_orders: The leader has read the operator's orders since then.
        former: Replicas that were members and no longer are.
        zones: Zones of nodes, where known.
    """

    own: ReplicaId
    members: tuple[ReplicaId, ...]
    joins: dict[NodeName, JoinRequest]
    silence: dict[ReplicaId, float]
    retiring: frozenset[NodeName]
    lost: frozenset[ReplicaId]
    caught_up: frozenset[ReplicaId]
    leads_since: float
    has_read_orders: bool
    former: frozenset[ReplicaId]
    zones: dict[NodeName, str] = {}


def choose_founders(nodes: list[NodeRecord]) -> tuple[ReplicaId, ...]:
    """Return the founders of a group: spread over the zones, then by name."""
    candidates = sorted(nodes, key=lambda node: node.name)
    founders: list[NodeRecord] = []
    while candidates and len(founders) < MAX_MEMBERS:
        members_per_zone = Counter(node.zone for node in founders)
        next_node = min(candidates, key=lambda node: members_per_zone[node.zone])
        candidates.remove(next_node)
        founders.append(next_node)
    return tuple(node.replica for node in founders)


def next_step(view: GroupView, now: float) -> MembershipStep | None:
    """Return the next change of members, or None if none is needed.

    A replica that lost its disk is removed first: it counts in no majority, and its node waits to
    join as a new member. Candidates are added before a silent or retiring member is removed, so
    that the group does not shrink more than necessary.
    """
    return (
        _remove_lost(view)
        or _add_candidate(view, now)
        or _remove_retiring(view, now)
        or _replace_silent(view)
    )


def _remove_lost(view: GroupView) -> MembershipStep | None:
    for member in view.members:
        if member in view.lost and member != view.own:
            return RemoveMember(member, "disk lost")
    return None


def _add_candidate(view: GroupView, now: float) -> MembershipStep | None:
    if _has_enough_members(view):
        return None
    members_per_zone = Counter(view.zones.get(node_name_of(member), "") for member in view.members)
    candidates = [node for node in sorted(view.joins) if _may_join(view, node, now)]
    if not candidates:
        return None
    node = min(candidates, key=lambda name: members_per_zone[view.zones.get(name, "")])
    return AddMember(view.joins[node].replica)


def _has_enough_members(view: GroupView) -> bool:
    """Return whether enough members are not retiring."""
    staying = [item for item in view.members if node_name_of(item) not in view.retiring]
    return len(staying) >= MAX_MEMBERS


def _may_join(view: GroupView, node: NodeName, now: float) -> bool:
    request = view.joins[node]
    is_fresh = request.heard_at >= max(view.leads_since, now - JOIN_REQUEST_TTL_SECONDS)
    if not is_fresh or request.replica in view.members or node in view.retiring:
        return False
    if any(node_name_of(member) == node for member in view.members):
        # Its earlier replica has lost its disk, and may have committed entries that this leader
        # lacks: those are replayed before the replica is removed.
        return False
    # A former member may be retiring by an order that this leader has not read yet. It would count
    # in majorities again although its machine is about to be shut down.
    return view.has_read_orders or request.replica not in view.former


def _remove_retiring(view: GroupView, now: float) -> MembershipStep | None:
    """Remove a retiring member once the others hold its entries and its successor has joined.

    A new leader first waits for the join requests of standbys: without a successor, the group would
    tolerate one loss less.
    """
    if not _has_enough_members(view) and now - view.leads_since < JOIN_REQUEST_TTL_SECONDS:
        return None
    for member in view.members:
        if node_name_of(member) not in view.retiring or len(view.members) == 1:
            continue
        staying = [other for other in view.members if other != member]
        if any(_is_catching_up(other, view) for other in staying):
            continue
        if member != view.own:
            return RemoveMember(member, "retiring")
        return HandOver(_choose_successor(staying, view))
    return None


def _is_catching_up(member: ReplicaId, view: GroupView) -> bool:
    """Return whether a member is about to catch up; a silent member may never do."""
    if member in view.caught_up or member == view.own:
        return False
    return view.silence.get(member, 0.0) <= CATCH_UP_SILENCE_SECONDS


def _choose_successor(staying: list[ReplicaId], view: GroupView) -> ReplicaId:
    """Return the next leader; a retiring member only if all members are retiring."""
    return min(staying, key=lambda member: node_name_of(member) in view.retiring)


def _replace_silent(view: GroupView) -> MembershipStep | None:
    if len(view.members) <= MIN_MEMBERS_AFTER_REPLACEMENT:
        return None
    for member in view.members:
        if view.silence.get(member, 0.0) > REPLACE_AFTER_SECONDS:
            return RemoveMember(member, "silent, and enough other members remain")
    return None
