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
ANY_REPLICA_EVERY = 4
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
        """Choose a leader, and any replica now and then or if there is no leader."""
        leaders = self.cluster.leaders()
        if not leaders or number % ANY_REPLICA_EVERY == 0:
            return self.choose(number // ANY_REPLICA_EVERY)
        return leaders[number % len(leaders)]

    @initialize(size=st.integers(1, 5))
    def elect(self, size: int) -> None:
        self.cluster = Cluster(size, settings=SETTINGS, rates=CLOCK_RATES)
        self.cluster.run(FIRST_ELECTION_SECONDS)

    # ------------------------------------------------------------ network and time

    @rule(
        seed=pick,
        steps=st.integers(20, 150),
        loss=st.sampled_from((0.0, 0.02, 0.1)),
        delay=st.sampled_from((0.1, 0.4, 0.8)),
    )
    def run_under_load(self, seed: int, steps: int, loss: float, delay: float) -> None:
        """Ask for all there is while the network loses, doubles, delays and reorders."""
        source = random.Random(seed)
        actions = (
            *[self.propose_one] * 6,
            *[self.read, self.heal] * 2,
            *[self.compact, self.hand_over, self.cut_one_off, self.suspect_leader],
        )
        for _ in range(steps):
            self.cluster.advance()
            source.choice(actions)(source.randrange(MAX_NUMBER))
            for _ in range(MESSAGE_ROUNDS_PER_STEP):
                self.handle_randomly(source, loss, delay)

    def handle_randomly(self, source: random.Random, loss: float, delay: float) -> None:
        packets = self.cluster.in_flight
        self.cluster.in_flight = []
        for packet in packets:
            stays = source.random() < delay or source.random() < loss
            if stays:
                self.cluster.in_flight.append(packet)
            if not stays or source.random() < loss:
                self.cluster.deliver(packet)
        del self.cluster.in_flight[MAX_IN_FLIGHT:]

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

    @rule(number=pick, second=st.none() | pick)
    def cut_off(self, number: int, second: int | None) -> None:
        replicas = [self.choose_leader(number)]
        if second is not None:
            replicas.append(self.choose(second))
        self.cluster.isolate(*replicas)

    def cut_one_off(self, number: int) -> None:
        self.cluster.isolate(self.choose(number))

    @rule(number=pick, lost=st.integers(0, 8), kept=st.integers(0, 8), seconds=st.integers(1, 5))
    def diverge(self, number: int, lost: int, kept: int, seconds: int) -> None:
        """A replica (mostly a leader) that is cut off appends what the others never see."""
        alone = self.choose_leader(number)
        self.cluster.isolate(alone)
        self.propose_at(alone, lost)
        self.cluster.run(seconds)
        for leader in self.cluster.leaders():
            self.propose_at(leader, kept)
        self.cluster.run(0.2)
        self.cluster.heal()

    @rule(sender=pick, to=pick)
    def cut_one_way(self, sender: int, to: int) -> None:
        self.cluster.blocked.add((self.choose(sender), self.choose(to)))

    @rule(number=pick)
    def heal(self, number: int) -> None:
        self.cluster.heal()

    @rule(number=pick)
    def pause_or_resume(self, number: int) -> None:
        machine = self.cluster.machines[self.choose_leader(number)]
        machine.paused = not machine.paused

    @rule(number=pick)
    def suspect_leader(self, number: int) -> None:
        """Membership may err: the leader that it calls dead is often alive."""
        replica = self.choose(number)
        group = self.cluster.group(replica)
        if group.leader is not None:
            effects = group.node_dead(group.leader, self.cluster.now(replica))
            self.cluster.carry_out(replica, effects)

    # ------------------------------------------------------------ requests

    @rule(number=pick, count=st.integers(1, 6))
    def propose(self, number: int, count: int) -> None:
        self.propose_at(self.choose_leader(number), count)

    def propose_one(self, number: int) -> None:
        self.propose_at(self.choose_leader(number), 1)

    def propose_at(self, replica: ReplicaId, count: int) -> None:
        for _ in range(count):
            self.commands += 1
            self.cluster.propose(replica, b"%04d" % self.commands)

    @rule(number=pick)
    def read(self, number: int) -> None:
        self.cluster.read(self.choose_leader(number))

    @rule(number=pick)
    def compact(self, number: int) -> None:
        self.cluster.compact(self.choose(number))

    @rule(number=pick)
    def hand_over(self, number: int) -> None:
        self.cluster.transfer(self.choose_leader(number), self.choose(number // 10))

    @rule(number=pick, again=st.booleans())
    def add_member(self, number: int, again: bool) -> None:
        """Add a newcomer, or a replica that was removed (its log may be gone)."""
        leader = self.choose_leader(number)
        removed = self.cluster.removed_replicas()
        if not self.cluster.group(leader).may_change_members():
            return
        if again and removed:
            self.cluster.add(leader, removed[number % len(removed)])
        elif self.cluster.started < MAX_REPLICAS:
            self.cluster.add(leader, self.cluster.start())

    @rule()
    def drop_logs_of_removed(self) -> None:
        for replica in self.cluster.removed_replicas():
            self.cluster.drop_log(replica)

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
        for members in self.cluster.configurations():
            if len(alive & set(members)) < quorum_size(len(members)):
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
    settings = settings(derandomize=True, deadline=None, max_examples=100, stateful_step_count=50)


if __name__ == "__main__":
    unittest.main()
