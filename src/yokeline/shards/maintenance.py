"""Maintenance of the groups that a node leads: repair, leadership balance, planned stop."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from yokeline.identifiers import ReplicaId, ShardId
from yokeline.membership.view import Member, MemberState, PeerView
from yokeline.server.context import NodeContext
from yokeline.settings import Settings
from yokeline.shards.directory import LeaderDirectory
from yokeline.shards.leadership_transfer import choose_balance_target, choose_successor
from yokeline.shards.placement import CandidateNode
from yokeline.shards.repair import (
    AddMember,
    GroupCondition,
    MemberCondition,
    RepairStep,
    next_step,
)
from yokeline.shards.replica import ShardReplica

MAINTENANCE_PERIOD_SECONDS = 0.5
CHANGES_PER_ROUND = 8
"""Membership changes started per round; bounds the snapshot transfers in progress."""
BALANCE_PERIOD_SECONDS = 2.0
"""Minimum time between two balancing rounds; up to as much again is added at random."""
TRANSFERS_PER_BALANCE_ROUND = 4
MIN_LEADERSHIP_SECONDS = 3.0
"""Age that a leadership must have before it is transferred for balance."""

_HEALTHY_STATES = (MemberState.ALIVE, MemberState.JOINING)


class GroupMaintenance:
    """Decides on changes to the groups that this node leads.

    Attributes:
        draining: The node is in a planned stop and transfers every leadership that it can.
        transfer_blocked: Returns whether a shard's leadership must not be transferred now.
    """

    def __init__(
        self,
        context: NodeContext,
        settings: Settings,
        peers: PeerView,
        directory: LeaderDirectory,
        replicas: Mapping[ShardId, ShardReplica],
        reschedule_tick: Callable[[ShardReplica], None],
    ) -> None:
        """Maintain ``replicas``; ``reschedule_tick`` is called with each replica acted on."""
        self.draining = False
        self.transfer_blocked: Callable[[ShardId], bool] = _never_blocked
        self._context = context
        self._settings = settings
        self._peers = peers
        self._directory = directory
        self._replicas = replicas
        self._reschedule_tick = reschedule_tick
        self._next_round = 0.0
        self._next_balance = 0.0
        self._members: dict[ReplicaId, Member] = {}
        self._dead_since: dict[ReplicaId, float] = {}
        self._led_since: dict[ShardId, float] = {}

    def next_deadline(self) -> float:
        """Return when the next round is due."""
        return self._next_round

    def schedule_now(self) -> None:
        """Make the next round due immediately."""
        self._next_round = self._context.now

    def run_round(self) -> None:
        """Maintain all groups now."""
        self._next_round = self._context.now + MAINTENANCE_PERIOD_SECONDS
        self._members = {member.replica: member for member in self._peers.alive()}
        self._update_dead_members()
        self._update_led_shards()
        if self.draining:
            self.transfer_all()
        self._repair()
        if self._context.now >= self._next_balance and not self.draining:
            self._balance()

    # ------------------------------------------------------------ state of nodes and groups

    def _update_dead_members(self) -> None:
        """Record since when members are reported as dead; notify the groups that they led."""
        now = self._context.now
        involved = {
            member for replica in self._replicas.values() for member in replica.group.members
        }
        dead = sorted(member for member in involved if self._peers.is_dead(member))
        fresh = [member for member in dead if member not in self._dead_since]
        self._dead_since = {member: self._dead_since.get(member, now) for member in dead}
        for member in fresh:
            self._notify_groups_of_death(member)

    def _notify_groups_of_death(self, member: ReplicaId) -> None:
        for replica in list(self._replicas.values()):
            if replica.group.leader == member:
                replica.carry_out(replica.group.node_dead(member, self._context.now))
                self._reschedule_tick(replica)

    def _update_led_shards(self) -> None:
        led = sorted(shard for shard, replica in self._replicas.items() if replica.leads)
        now = self._context.now
        self._led_since = {shard: self._led_since.get(shard, now) for shard in led}

    def _condition(self, replica: ReplicaId) -> MemberCondition:
        """Return a member's condition: dead once reported dead for ``replace_after_seconds``."""
        if replica == self._context.replica and self.draining:
            return MemberCondition.LEAVING
        dead_since = self._dead_since.get(replica)
        if dead_since is not None:
            replace_after = self._settings.consensus.replace_after_seconds
            is_replaceable = self._context.now - dead_since >= replace_after
            return MemberCondition.DEAD if is_replaceable else MemberCondition.DOUBTFUL
        member = self._members.get(replica)
        if member is not None and member.state is MemberState.LEAVING:
            return MemberCondition.LEAVING
        if member is not None and member.state in _HEALTHY_STATES:
            return MemberCondition.HEALTHY
        return MemberCondition.DOUBTFUL

    def _healthy_others(self, replica: ShardReplica) -> list[ReplicaId]:
        return [
            member
            for member in replica.committed_members
            if member != self._context.replica
            and self._condition(member) is MemberCondition.HEALTHY
        ]

    # ------------------------------------------------------------ repair

    def _repair(self) -> None:
        changes = 0
        loads = self._directory.loads()
        for shard in self._led_since:
            if changes >= CHANGES_PER_ROUND:
                return
            replica = self._replicas[shard]
            if self._can_change_members(replica) and self._repair_group(replica, loads):
                changes += 1

    def _can_change_members(self, replica: ShardReplica) -> bool:
        """Return whether a membership change could commit now."""
        # The lease lapses in idle groups, so it is not checked; the group checks for a quorum.
        ready = replica.leads and replica.group.may_change_members()
        return ready and replica.membership_applied

    def _repair_group(self, replica: ShardReplica, loads: Mapping[ReplicaId, int]) -> bool:
        step = next_step(self._group_condition(replica, loads))
        if step is None:
            return False
        accepted = self._propose_change(replica, step)
        self._reschedule_tick(replica)
        return accepted

    def _propose_change(self, replica: ShardReplica, step: RepairStep) -> bool:
        now = self._context.now
        adds = isinstance(step, AddMember)
        change = replica.group.add_member if adds else replica.group.remove_member
        accepted = replica.change_members(change(step.member, now))
        if accepted:
            event = "replica_added" if adds else "replica_removed"
            self._context.counters[f"yokeline_{event}_total"] += 1
            self._context.log(event, shard=replica.shard, member=step.member)
        return accepted

    def _group_condition(
        self, replica: ShardReplica, loads: Mapping[ReplicaId, int]
    ) -> GroupCondition:
        members = {member: self._condition(member) for member in replica.committed_members}
        spares = tuple(
            CandidateNode(replica=member.replica, zone=member.zone)
            for member in self._members.values()
            if member.state is MemberState.ALIVE and member.replica not in members
        )
        return GroupCondition(
            shard=replica.shard,
            leader=self._context.replica,
            members=members,
            zones={member: self._peers.zone_of(member) or "" for member in members},
            spares=spares,
            loads=loads,
            replicas=self._settings.cluster.replicas,
        )

    # ------------------------------------------------------------ leadership

    def transfer_all(self) -> None:
        """Transfer every led shard to a healthy member on another node."""
        for shard in sorted(self._replicas):
            replica = self._replicas[shard]
            if not replica.leads or self.transfer_blocked(shard):
                continue
            chosen = choose_successor(
                shard, self._healthy_others(replica), self._directory.shards_led_by
            )
            if chosen is not None:
                self._transfer(replica, chosen)

    def _balance(self) -> None:
        """Transfer up to ``TRANSFERS_PER_BALANCE_ROUND`` shards to nodes that lead fewer."""
        delay = BALANCE_PERIOD_SECONDS * (1.0 + self._context.random.random())
        self._next_balance = self._context.now + delay
        own_count = len(self._led_since)
        transferred: dict[ReplicaId, int] = {}
        for shard, since in self._led_since.items():
            if sum(transferred.values()) >= TRANSFERS_PER_BALANCE_ROUND:
                return
            if self._context.now - since < MIN_LEADERSHIP_SECONDS:
                continue
            chosen = self._balance_target(self._replicas[shard], own_count, transferred)
            if chosen is not None:
                transferred[chosen] = transferred.get(chosen, 0) + 1
                own_count -= 1
                self._transfer(self._replicas[shard], chosen)

    def _balance_target(
        self, replica: ShardReplica, own_count: int, transferred: Mapping[ReplicaId, int]
    ) -> ReplicaId | None:
        if not self._can_change_members(replica) or self.transfer_blocked(replica.shard):
            return None

        def shards_led_by(member: ReplicaId) -> int:
            return self._directory.shards_led_by(member) + transferred.get(member, 0)

        return choose_balance_target(
            replica.shard, own_count, self._healthy_others(replica), shards_led_by
        )

    def _transfer(self, replica: ShardReplica, to: ReplicaId) -> None:
        self._context.counters["yokeline_leadership_transfers_total"] += 1
        replica.carry_out(replica.group.transfer_leadership(to, self._context.now))
        self._reschedule_tick(replica)


def _never_blocked(_shard: ShardId) -> bool:
    return False
