"""Shard hosts in memory: virtual time, fixed latency, crashes and partitions."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable

import msgspec
from returns.result import Result

from yokeline.effects import Address, Effect, SendPeer
from yokeline.errors import YokelineError
from yokeline.identifiers import NodeName, ReplicaId, RunId, ShardId
from yokeline.membership.view import Member, MemberState
from yokeline.messages.codec import decode_peer, encode_peer
from yokeline.messages.types import Heartbeat, HeartbeatReply, RaftBatch
from yokeline.runs.model import Command, CreateRun, RunSpec
from yokeline.runs.state_machine import ApplyResult
from yokeline.server.context import NodeContext
from yokeline.settings import ClusterSection, ConsensusSection, NodeSection, Settings
from yokeline.shards.host import ShardHost
from yokeline.shards.placement import Placement, initial_placement

LATENCY_SECONDS = 0.002
DETECTION_SECONDS = 3.0
ADDRESS = Address("127.0.0.1", 0)

Outcome = Result[ApplyResult, YokelineError]


def member(name: str, zone: str, start: int = 0) -> Member:
    replica = ReplicaId(f"{name}~{start:016x}")
    return Member(replica, NodeName(name), zone, "region", ADDRESS, ADDRESS, MemberState.ALIVE)


def create_command(run: str) -> CreateRun:
    return CreateRun(run=RunId(run), spec=RunSpec(tenant="t", program="p"), input="text", wall=1.0)


class FakePeerView:
    """The membership view of one node; the cluster changes it after a delay."""

    def __init__(self, members: dict[ReplicaId, Member], dead: set[ReplicaId]) -> None:
        self.members = members
        self.dead = dead

    def alive(self) -> tuple[Member, ...]:
        return tuple(self.members[replica] for replica in sorted(self.members))

    def address_of(self, replica: ReplicaId) -> Address | None:
        return self.members[replica].address if replica in self.members else None

    def is_dead(self, replica: ReplicaId) -> bool:
        return replica in self.dead

    def zone_of(self, replica: ReplicaId) -> str | None:
        return self.members[replica].zone if replica in self.members else None


class RecordingListener:
    """Records the events of a host."""

    def __init__(self) -> None:
        self.events: list[tuple[str, ShardId]] = []
        self.applied: list[tuple[ShardId, Command]] = []

    def leadership_gained(self, shard: ShardId, term: int) -> None:
        self.events.append(("gained", shard))

    def leadership_lost(self, shard: ShardId) -> None:
        self.events.append(("lost", shard))

    def command_applied(self, shard: ShardId, command: Command, result: ApplyResult) -> None:
        self.applied.append((shard, command))


class HostNode:
    """One process start: its context, its host and the messages it receives."""

    def __init__(self, own: Member, settings: Settings, view: FakePeerView, seed: int) -> None:
        source = random.Random(seed)
        self.context = NodeContext(
            name=own.name, replica=own.replica, zone=own.zone, source=source, wall_offset=0.0
        )
        self.context.set_peer_sender(self._send)
        self.listener = RecordingListener()
        self.view = view
        self.host = ShardHost(self.context, settings, view, self.listener)
        self.handle_other: Callable[[ReplicaId, msgspec.Struct], None] | None = None

    def _send(self, to: ReplicaId, message: msgspec.Struct) -> None:
        self.context.emit(SendPeer(to=to, address=ADDRESS, message=message))

    def receive(self, sender: ReplicaId, message: msgspec.Struct) -> None:
        if isinstance(message, RaftBatch):
            self.host.receive_batch(sender, message)
        elif isinstance(message, Heartbeat):
            self.host.receive_heartbeat(sender, message)
        elif isinstance(message, HeartbeatReply):
            self.host.receive_heartbeat_reply(sender, message)
        elif self.handle_other is not None:
            self.handle_other(sender, message)

    def deadline(self) -> float:
        return self.host.next_deadline()

    def tick(self) -> None:
        self.host.tick()


class Cluster:
    """Runs nodes under one virtual clock; every message goes through the codec."""

    node_type: type[HostNode] = HostNode
    data_folder = ""

    def __init__(
        self, nodes: int = 5, shards: int = 4, zones: int = 3, replicas: int = 5, **consensus: int
    ) -> None:
        self.settings = Settings(
            node=NodeSection(name="n", data_folder=self.data_folder),
            cluster=ClusterSection(shards=shards, replicas=replicas),
            consensus=ConsensusSection(**consensus),
        )
        self.now = 100.0
        self.members: dict[ReplicaId, Member] = {}
        self.dead: set[ReplicaId] = set()
        self.nodes: dict[ReplicaId, HostNode] = {}
        self.is_dropped: Callable[[ReplicaId, ReplicaId], bool] = lambda sender, to: False
        self.sent: list[tuple[ReplicaId, ReplicaId, msgspec.Struct]] = []
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        for number in range(nodes):
            self.start_node(f"node-{number}", f"zone-{number % zones}")
        self.placement: Placement = initial_placement(self.all_members(), self.settings)
        for node in self.nodes.values():
            self.execute_at(node, lambda node=node: node.host.start_groups(self.placement))

    def all_members(self) -> tuple[Member, ...]:
        return tuple(self.members.values())

    def start_node(self, name: str, zone: str, start: int = 0) -> HostNode:
        own = member(name, zone, start)
        self.members[own.replica] = own
        view = FakePeerView(self.members, self.dead)
        node = self.node_type(own, self.settings, view, seed=len(self.nodes))
        self.nodes[own.replica] = node
        return node

    def crash_node(self, replica: ReplicaId) -> None:
        """Crash a node; the membership view of the others changes after a delay."""
        del self.nodes[replica]
        self.schedule(DETECTION_SECONDS, lambda: self.declare_dead(replica))

    def declare_dead(self, replica: ReplicaId) -> None:
        self.members.pop(replica, None)
        self.dead.add(replica)
        for node in list(self.nodes.values()):
            self.execute_at(node, node.host.peers_changed)

    def begin_drain(self, node: HostNode) -> None:
        """Begin the planned stop of a node."""
        replica = node.context.replica
        leaving = msgspec.structs.replace(self.members[replica], state=MemberState.LEAVING)
        self.members[replica] = leaving
        self.execute_at(node, node.host.transfer_all_leaderships)

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (self.now + seconds, self._sequence, action))

    def execute_at(self, node: HostNode, action: Callable[[], None]) -> None:
        """Run an action at a node and carry out its effects."""
        node.context.now = self.now
        action()
        node.host.flush()
        for effect in node.context.take_outbox():
            self._carry_out(node.context.replica, effect)

    def _carry_out(self, sender: ReplicaId, effect: Effect) -> None:
        if not isinstance(effect, SendPeer):
            return
        self.sent.append((sender, effect.to, effect.message))
        if not self.is_dropped(sender, effect.to):
            data = encode_peer(sender, effect.to, effect.message)
            self.schedule(LATENCY_SECONDS, lambda: self._deliver(data))

    def _deliver(self, data: bytes) -> None:
        frame = decode_peer(data).unwrap()
        node = self.nodes.get(frame.recipient)
        if node is not None:
            self.execute_at(node, lambda: node.receive(frame.sender, frame.message))

    def advance(self, seconds: float) -> None:
        """Advance the virtual time."""
        end = self.now + seconds
        while True:
            due = min((node.deadline(), replica) for replica, node in self.nodes.items())
            first = self._queue[0][0] if self._queue else math.inf
            moment = min(due[0], first)
            if moment > end:
                break
            self.now = max(self.now, moment)
            if first <= due[0]:
                heapq.heappop(self._queue)[2]()
            else:
                node = self.nodes[due[1]]
                self.execute_at(node, node.tick)
        self.now = end

    # ------------------------------------------------------------ queries

    def leaders(self, shard: int) -> list[ReplicaId]:
        return [replica for replica, node in self.nodes.items() if node.host.leads(ShardId(shard))]

    def leader(self, shard: int) -> HostNode:
        (replica,) = self.leaders(shard)
        return self.nodes[replica]

    def propose(self, shard: int, run: str) -> list[Outcome]:
        """Propose a command at the leader; the returned list receives the outcome."""
        outcomes: list[Outcome] = []
        node = self.leader(shard)
        self.execute_at(
            node, lambda: node.host.propose(ShardId(shard), create_command(run), outcomes.append)
        )
        return outcomes

    def group_members(self, shard: int) -> set[ReplicaId]:
        update = self.leader(shard).host.leader_of(ShardId(shard))
        assert update is not None
        return set(update.members)

    def run_ids_at(self, node: HostNode, shard: int) -> set[str]:
        state_machine = node.host.state_machine(ShardId(shard))
        return set() if state_machine is None else set(state_machine.runs)
