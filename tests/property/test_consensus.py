"""Raft under lost, doubled and reordered messages, skewed clocks, crashes and changes."""

from __future__ import annotations

import random
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from tests.unit.consensus.cluster import Cluster
from yokeline.consensus.group import RaftSettings
from yokeline.consensus.quorum import quorum_size
from yokeline.identifiers import ReplicaId

SETTINGS = RaftSettings(
    idle_heartbeat_seconds=2.0, append_bytes=150, snapshot_chunk_bytes=16, retained_entries=2
)
CLOCK_RATES = (1.0, 0.96, 1.04, 0.98, 1.02)
MAX_REPLICAS = 12
MAX_IN_FLIGHT = 400
RECOVERY_SECONDS = 30.0

MAX_NUMBER = 1000
FIRST_ELECTION_SECONDS = 3.0
MESSAGE_ROUNDS_PER_STEP = 3

pick = st.integers(min_value=0, max_value=MAX_NUMBER - 1)


class ConsensusMachine(RuleBasedStateMachine):
    """Every call into the cluster checks the invariants."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = Cluster(1, settings=SETTINGS, rates=CLOCK_RATES)
        self.commands = 0

    def choose(self, number: int) -> ReplicaId:
        names = list(self.cluster.machines)
        return names[number % len(names)]

    def choose_leader(self, number: int) -> ReplicaId:
        leaders = self.cluster.leaders()
        return leaders[number % len(leaders)] if leaders else self.choose(number)

    @initialize(size=st.integers(1, 5))
    def elect(self, size: int) -> None:
        self.cluster = Cluster(size, settings=SETTINGS, rates=CLOCK_RATES)
        self.cluster.run(FIRST_ELECTION_SECONDS)

    # ------------------------------------------------------------ network and time

    @rule(seed=pick, steps=st.integers(1, 60), harm=st.sampled_from((0.02, 0.1, 0.3)))
    def run_under_load(self, seed: int, steps: int, harm: float) -> None:
        """Propose, compact and read while the network loses, doubles, delays and reorders."""
        source = random.Random(seed)
        for _ in range(steps):
            self.cluster.advance()
            self.act_randomly(source)
            for _ in range(MESSAGE_ROUNDS_PER_STEP):
                self.handle_randomly(source, harm)

    def act_randomly(self, source: random.Random) -> None:
        number = source.randrange(MAX_NUMBER)
        action = source.choice((self.propose_one, self.propose_one, self.read, self.compact))
        action(number)

    def handle_randomly(self, source: random.Random, harm: float) -> None:
        packets = self.cluster.in_flight
        self.cluster.in_flight = []
        if source.random() < harm:
            source.shuffle(packets)
        for packet in packets:
            if source.random() < harm:
                self.cluster.in_flight.append(packet)
            if source.random() >= harm:
                self.cluster.deliver(packet)

    @rule(steps=st.integers(1, 30))
    def run_healthy(self, steps: int) -> None:
        self.cluster.run(steps * 0.1)

    @rule(steps=st.integers(1, 30), heartbeats=st.booleans())
    def let_time_pass(self, steps: int, heartbeats: bool) -> None:
        for _ in range(steps):
            self.cluster.advance(heartbeats=heartbeats)
        del self.cluster.in_flight[MAX_IN_FLIGHT:]

    @precondition(lambda self: self.cluster.in_flight)
    @rule(numbers=st.lists(pick, min_size=1, max_size=12), fate=st.sampled_from("ddddcx"))
    def handle_messages(self, numbers: list[int], fate: str) -> None:
        """Deliver, deliver a copy of, or drop messages in any order."""
        for number in numbers:
            if not self.cluster.in_flight:
                return
            position = number % len(self.cluster.in_flight)
            packet = self.cluster.in_flight[position]
            if fate != "c":
                del self.cluster.in_flight[position]
            if fate != "x":
                self.cluster.deliver(packet)

    @rule(number=pick, both=st.booleans())
    def cut(self, number: int, both: bool) -> None:
        replicas = [self.choose(number), self.choose(number // 7)]
        self.cluster.isolate(*replicas[: 2 if both else 1])

    @rule(sender=pick, to=pick)
    def cut_one_way(self, sender: int, to: int) -> None:
        self.cluster.blocked.add((self.choose(sender), self.choose(to)))

    @rule()
    def heal(self) -> None:
        self.cluster.heal()

    @rule(number=pick)
    def pause_or_resume(self, number: int) -> None:
        machine = self.cluster.machines[self.choose_leader(number)]
        machine.paused = not machine.paused

    @rule(number=pick, peer=pick)
    def declare_dead(self, number: int, peer: int) -> None:
        """Membership may err: the peer is often alive."""
        replica = self.choose(number)
        effects = self.cluster.group(replica).node_dead(
            self.choose_leader(peer), self.cluster.now(replica)
        )
        self.cluster.carry_out(replica, effects)

    # ------------------------------------------------------------ requests

    @rule(number=pick, count=st.integers(1, 6))
    def propose(self, number: int, count: int) -> None:
        for _ in range(count):
            self.propose_one(number)

    def propose_one(self, number: int) -> None:
        self.commands += 1
        self.cluster.propose(self.choose_leader(number), b"%04d" % self.commands)

    @rule(number=pick)
    def read(self, number: int) -> None:
        self.cluster.read(self.choose_leader(number))

    @rule(number=pick)
    def compact(self, number: int) -> None:
        self.cluster.compact(self.choose(number))

    @rule(number=pick, to=pick)
    def transfer(self, number: int, to: int) -> None:
        self.cluster.transfer(self.choose_leader(number), self.choose(to))

    @precondition(lambda self: self.cluster.started < MAX_REPLICAS)
    @rule(number=pick)
    def add_member(self, number: int) -> None:
        leader = self.choose_leader(number)
        if self.cluster.group(leader).may_change_members():
            self.cluster.add(leader, self.cluster.start())

    @rule(number=pick, member=pick)
    def remove_member(self, number: int, member: int) -> None:
        """Remove any member, as long as a majority of the rest is there."""
        leader = self.choose_leader(number)
        members = self.cluster.group(leader).members
        removed = members[member % len(members)] if members else None
        rest = [other for other in members if other != removed]
        alive = [other for other in rest if other in self.cluster.machines]
        if removed is not None and len(alive) >= quorum_size(len(rest)):
            self.cluster.remove(leader, removed)

    @rule(number=pick)
    def crash_for_good(self, number: int) -> None:
        """Crash a replica, unless a majority of some configuration would be lost."""
        victim = self.choose(number)
        alive = set(self.cluster.machines) - {victim}
        for machine in self.cluster.machines.values():
            for configuration in machine.group._state.log._configurations:
                members = configuration.members
                if members and len(alive & set(members)) < quorum_size(len(members)):
                    return
        self.cluster.crash(victim)

    # ------------------------------------------------------------ recovery

    def teardown(self) -> None:
        """With the network whole again, the group serves and no committed entry is lost."""
        cluster = self.cluster
        cluster.heal()
        for machine in cluster.machines.values():
            machine.paused = False
        cluster.run(RECOVERY_SECONDS)
        leader = cluster.leader()
        proposal = cluster.propose(leader, b"last")
        assert proposal.accepted
        token = cluster.read(leader)
        cluster.run(1.0)
        assert cluster.reads[token] == cluster.group(leader).commit_index >= proposal.index
        for replica in cluster.group(leader).members:
            if replica in cluster.machines:
                assert cluster.group(replica).commit_index == cluster.checker.highest_committed
                state = b",".join(cluster.machines[replica].commands)
                assert state == cluster.expected_state(replica)


class TestConsensus(ConsensusMachine.TestCase):  # type: ignore[name-defined,misc]
    settings = settings(derandomize=True, deadline=None, max_examples=60, stateful_step_count=40)


if __name__ == "__main__":
    unittest.main()
