"""Measures failover and repair in virtual time; it looks into the nodes and checks nothing."""

from __future__ import annotations

import math

import msgspec

from yokeline.identifiers import ReplicaId, ShardId
from yokeline.server.node import Node
from yokeline.simulation.host import Host
from yokeline.simulation.port import Steps
from yokeline.simulation.schedule import Schedule
from yokeline.simulation.worlds import World

SAMPLE_SECONDS = 0.05


class RecoveryTimes(msgspec.Struct, kw_only=True):
    """Seconds of virtual time, to the sampling period.

    Attributes:
        failover: From the crash or freeze of a shard's leader until another node leads it.
        repair: From the loss of a shard's replica until all of its members run again.
        unrepaired: Shards that lacked a member at the end.
    """

    failover: list[float] = []
    repair: list[float] = []
    unrepaired: int = 0


class Leadership(msgspec.Struct, frozen=True, kw_only=True):
    """Who leads a shard, and since when that was lost."""

    host: str
    start: int
    term: int
    members: tuple[ReplicaId, ...]


class RecoveryMeter:
    """Samples the nodes of a deployment.

    Attributes:
        times: What was measured so far.
    """

    def __init__(self, schedule: Schedule, world: World, nodes: list[Host]) -> None:
        """Measure ``nodes``."""
        self.times = RecoveryTimes()
        self._schedule = schedule
        self._world = world
        self._nodes = {host.name: host for host in nodes}
        self._leaders: dict[ShardId, Leadership] = {}
        self._leaderless_since: dict[ShardId, float] = {}
        self._short_since: dict[ShardId, float] = {}

    def sample_until(self, end: float) -> Steps:
        """Sample again and again until ``end``."""
        while self._schedule.now < end:
            self._sample()
            yield self._schedule.environment.timeout(SAMPLE_SECONDS)
        self.times.unrepaired = len(self._short_since)

    def _sample(self) -> None:
        now = self._schedule.now
        found = self._present_leaders()
        for shard, last in self._leaders.items():
            if not self._works(last):
                self._leaderless_since.setdefault(shard, now)
        for shard, leader in found.items():
            known = self._leaders.get(shard)
            if known is None or leader.term > known.term:
                self._leaders[shard] = leader
                if shard in self._leaderless_since:
                    self.times.failover.append(now - self._leaderless_since.pop(shard))
        for shard, leader in self._leaders.items():
            if not self._works(leader):
                continue
            self._leaderless_since.pop(shard, None)
            self._note_members(shard, found.get(shard, leader).members, now)

    def _note_members(self, shard: ShardId, members: tuple[ReplicaId, ...], now: float) -> None:
        replicas = {_node_of(host).replica for host in self._nodes.values() if host.running}
        present = sum(1 for member in members if member in replicas)
        if present < self._world.replicas:
            self._short_since.setdefault(shard, now)
        elif shard in self._short_since:
            self.times.repair.append(now - self._short_since.pop(shard))

    def _present_leaders(self) -> dict[ShardId, Leadership]:
        """Return the leader with the highest term of each shard, by what nodes believe."""
        leaders: dict[ShardId, Leadership] = {}
        for host in self._nodes.values():
            if not host.running or host.frozen:
                continue
            node = _node_of(host)
            for shard in node.host.led_shards():
                term = node.host.term(shard)
                if shard not in leaders or term > leaders[shard].term:
                    members = node.host.members_of(shard)
                    leaders[shard] = Leadership(
                        host=host.name, start=host.starts, term=term, members=members
                    )
        return leaders

    def _works(self, leader: Leadership) -> bool:
        host = self._nodes[leader.host]
        return host.running and not host.frozen and host.starts == leader.start


def percentile(values: list[float], share: float) -> float:
    """Return the smallest value that is not below ``share`` of the values (nearest rank)."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def _node_of(host: Host) -> Node:
    service = getattr(host.service, "node", host.service)
    assert isinstance(service, Node)
    return service
