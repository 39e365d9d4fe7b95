"""A cluster of Raft replicas under a virtual clock and a network that a test controls."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from tests.unit.consensus.invariants import InvariantChecker, encode_state
from yokeline.consensus.group import (
    Committed,
    HardState,
    Proposal,
    RaftEffect,
    RaftGroup,
    RaftRole,
    RaftSettings,
    ReadFailed,
    ReadReady,
    Restored,
    RoleChanged,
    Send,
)
from yokeline.consensus.messages import AppendEntries, EntryKind, RaftMessage
from yokeline.identifiers import ReplicaId

STEP_SECONDS = 0.05
NODE_HEARTBEAT_STEPS = 5
SEPARATOR = b","
MAX_DELIVERIES = 10_000


@dataclass
class Packet:
    sender: ReplicaId
    to: ReplicaId
    message: RaftMessage


@dataclass
class Machine:
    """One replica, its clock (rate and offset against true time) and its applied state."""

    group: RaftGroup
    rate: float
    offset: float
    paused: bool = False
    commands: list[bytes] = field(default_factory=list)


class Cluster:
    """Carries effects out and checks the invariants after every event."""

    def __init__(
        self,
        size: int,
        *,
        seed: int = 1,
        settings: RaftSettings | None = None,
        rates: tuple[float, ...] = (1.0,),
    ) -> None:
        self.settings = settings or RaftSettings()
        self.source = random.Random(seed)
        self.rates = rates
        self.time = 0.0
        self.steps = 0
        self.checker = InvariantChecker()
        self.machines: dict[ReplicaId, Machine] = {}
        self.in_flight: list[Packet] = []
        self.blocked: set[tuple[ReplicaId, ReplicaId]] = set()
        self.reads: dict[str, int | None] = {}
        self.started = 0
        members = tuple(ReplicaId(f"r{number}") for number in range(size))
        for _ in members:
            self.start(members)

    # ---------------------------------------------------------------- replicas

    def start(self, members: tuple[ReplicaId, ...] = ()) -> ReplicaId:
        replica = ReplicaId(f"r{self.started}")
        rate = self.rates[self.started % len(self.rates)]
        offset = 100.0 * self.started
        self.started += 1
        group = self._new_group(replica, members, offset + rate * self.time)
        self.machines[replica] = Machine(group, rate, offset)
        return replica

    def drop_log(self, replica: ReplicaId) -> None:
        """Start a removed replica anew under its id; only its term and vote are kept."""
        machine = self.machines[replica]
        hard_state = HardState(machine.group.term, machine.group._state.voted_for)
        machine.group = self._new_group(replica, (), self.now(replica), hard_state)
        machine.commands = []
        self.checker.forgot(replica)

    def _new_group(
        self,
        replica: ReplicaId,
        members: tuple[ReplicaId, ...],
        now: float,
        hard_state: HardState | None = None,
    ) -> RaftGroup:
        return RaftGroup(
            replica=replica,
            members=members,
            settings=self.settings,
            source=self.source,
            now=now,
            hard_state=hard_state,
        )

    def crash(self, replica: ReplicaId) -> None:
        del self.machines[replica]
        self.in_flight = [packet for packet in self.in_flight if packet.to != replica]

    def group(self, replica: ReplicaId) -> RaftGroup:
        return self.machines[replica].group

    def now(self, replica: ReplicaId) -> float:
        machine = self.machines[replica]
        return machine.offset + machine.rate * self.time

    def leaders(self) -> list[ReplicaId]:
        return [
            replica
            for replica, machine in self.machines.items()
            if machine.group.role is RaftRole.LEADER
        ]

    def leader(self) -> ReplicaId:
        """Return the leader of the highest term."""
        assert self.leaders(), "there is no leader"
        return max(self.leaders(), key=lambda replica: self.group(replica).term)

    # ---------------------------------------------------------------- network and time

    def is_connected(self, sender: ReplicaId, to: ReplicaId) -> bool:
        return (sender, to) not in self.blocked

    def isolate(self, *replicas: ReplicaId) -> None:
        """Cut these replicas (together) off from all others."""
        for inside in replicas:
            for outside in self.machines:
                if outside not in replicas:
                    self.blocked |= {(inside, outside), (outside, inside)}

    def heal(self) -> None:
        self.blocked.clear()

    def deliver(self, packet: Packet) -> None:
        machine = self.machines.get(packet.to)
        if machine is None or machine.paused or not self.is_connected(packet.sender, packet.to):
            return
        effects = machine.group.step(packet.sender, packet.message, self.now(packet.to))
        self.carry_out(packet.to, effects)

    def deliver_all(self) -> None:
        for _ in range(MAX_DELIVERIES):
            if not self.in_flight:
                return
            self.deliver(self.in_flight.pop(0))
        raise AssertionError("replicas exchange messages without end")

    def deliver_all_to(self, replica: ReplicaId) -> None:
        """Deliver what is on its way to one replica, and leave the rest."""
        packets = [packet for packet in self.in_flight if packet.to == replica]
        self.in_flight = [packet for packet in self.in_flight if packet.to != replica]
        for packet in packets:
            self.deliver(packet)

    def advance(self, *, heartbeats: bool = True) -> None:
        """Let one step of time pass and tick what is due; delivers nothing."""
        self.time += STEP_SECONDS
        self.steps += 1
        if heartbeats and self.steps % NODE_HEARTBEAT_STEPS == 0:
            self.exchange_heartbeats()
        for replica in list(self.machines):
            self.tick(replica)

    def exchange_heartbeats(self) -> None:
        running = [name for name, machine in self.machines.items() if not machine.paused]
        for sender in running:
            for to in running:
                if sender != to and self.is_connected(sender, to):
                    self.group(to).node_alive(sender, self.now(to))

    def run(self, seconds: float) -> None:
        """Let time pass with every message delivered at once."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.advance()
            self.deliver_all()

    def tick(self, replica: ReplicaId) -> None:
        machine = self.machines[replica]
        now = self.now(replica)
        if not machine.paused and machine.group.next_deadline() <= now:
            self.carry_out(replica, machine.group.tick(now))

    # ---------------------------------------------------------------- requests

    def propose(self, replica: ReplicaId, command: bytes) -> Proposal:
        return self._proposed(replica, self.group(replica).propose(command, self.now(replica)))

    def add(self, leader: ReplicaId, member: ReplicaId) -> Proposal:
        return self._proposed(leader, self.group(leader).add_member(member, self.now(leader)))

    def remove(self, leader: ReplicaId, member: ReplicaId) -> Proposal:
        return self._proposed(leader, self.group(leader).remove_member(member, self.now(leader)))

    def _proposed(self, replica: ReplicaId, proposal: Proposal) -> Proposal:
        self.carry_out(replica, list(proposal.effects))
        return proposal

    def transfer(self, leader: ReplicaId, to: ReplicaId) -> None:
        effects = self.group(leader).transfer_leadership(to, self.now(leader))
        self.carry_out(leader, effects)

    def read(self, replica: ReplicaId) -> str:
        token = f"read-{len(self.reads)}"
        self.reads[token] = None
        self.checker.read_asked(token)
        self.carry_out(replica, self.group(replica).read(token, self.now(replica)))
        return token

    def compact(self, replica: ReplicaId) -> None:
        group = self.group(replica)
        group.compact(group.commit_index, SEPARATOR.join(self.machines[replica].commands))

    # ---------------------------------------------------------------- effects

    def carry_out(self, replica: ReplicaId, effects: list[RaftEffect]) -> None:
        for effect in effects:
            self._carry_out_one(replica, effect)
        self.check()

    def _carry_out_one(self, replica: ReplicaId, effect: RaftEffect) -> None:
        machine = self.machines[replica]
        if isinstance(effect, Send):
            self.in_flight.append(Packet(replica, effect.to, effect.message))
        elif isinstance(effect, Committed):
            self.checker.saw_committed(machine.group, effect)
            kept = [item for item in effect.entries if item.kind is EntryKind.COMMAND]
            machine.commands.extend(item.command for item in kept)
        elif isinstance(effect, Restored):
            self.checker.saw_restored(machine.group, effect)
            data = effect.snapshot.data
            machine.commands = data.split(SEPARATOR) if data else []
        elif isinstance(effect, RoleChanged):
            self.checker.saw_role(machine.group, effect)
        elif isinstance(effect, ReadReady):
            self.checker.read_ready(effect.token, effect.index)
            self.reads[effect.token] = effect.index
        elif isinstance(effect, ReadFailed):
            self.reads[effect.token] = -1

    def check(self) -> None:
        self.checker.check_logs(machine.group for machine in self.machines.values())
        holders = [
            machine.group
            for replica, machine in self.machines.items()
            if machine.group.lease_valid(self.now(replica))
        ]
        self.checker.check_leases(holders)

    def configurations(self) -> list[tuple[ReplicaId, ...]]:
        """Return every configuration that is in a log or on its way to one."""
        logs = [machine.group._state.log for machine in self.machines.values()]
        held = [item.members for log in logs for item in log._configurations]
        messages = [packet.message for packet in self.in_flight]
        appends = [message for message in messages if isinstance(message, AppendEntries)]
        sent = [entry.members for message in appends for entry in message.entries]
        return [members for members in [*held, *sent] if members]

    def removed_replicas(self) -> list[ReplicaId]:
        """Return the replicas that no configuration counts on, the committed one or a later."""
        changes = [
            entry for entry in self.checker.committed.values() if entry.kind is EntryKind.MEMBERSHIP
        ]
        if not changes:
            return []
        committed = max(changes, key=lambda entry: entry.index)
        counted = set(committed.members)
        for machine in self.machines.values():
            configuration = machine.group._state.log.configuration
            if configuration.index > committed.index:
                counted.update(configuration.members)
        return [replica for replica in self.machines if replica not in counted]

    def expected_state(self, replica: ReplicaId) -> bytes:
        """Return what the state machine of a replica must hold at its commit index."""
        last = self.group(replica).commit_index
        return encode_state(self.checker.committed[index] for index in range(1, last + 1))
