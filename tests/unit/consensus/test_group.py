"""Single rules of the Raft core, each against a small cluster."""

from __future__ import annotations

import random
import unittest
from collections.abc import Iterator

from tests.unit.consensus.cluster import STEP_SECONDS, Cluster, Packet
from yokeline.consensus.group import RaftRole, RaftSettings
from yokeline.consensus.log import RaftLog, entry_bytes
from yokeline.consensus.messages import (
    AppendEntries,
    AppendReply,
    EntryKind,
    InstallSnapshot,
    LogEntry,
    RequestVote,
    VoteReply,
)
from yokeline.identifiers import ReplicaId

LOSS = 0.3
MAX_STEPS = 400
STRANGER = ReplicaId("stranger")


def elected(size: int, settings: RaftSettings | None = None) -> tuple[Cluster, ReplicaId]:
    cluster = Cluster(size, settings=settings)
    cluster.run(3.0)
    return cluster, cluster.leader()


def others(cluster: Cluster, *known: ReplicaId) -> list[ReplicaId]:
    return [replica for replica in cluster.machines if replica not in known]


def sent(cluster: Cluster, kind: type) -> list[Packet]:
    return [packet for packet in cluster.in_flight if isinstance(packet.message, kind)]


def steps_until_leader(cluster: Cluster) -> Iterator[None]:
    """Let time pass step by step until somebody leads."""
    for _ in range(MAX_STEPS):
        if cluster.leaders():
            return
        cluster.advance()
        yield
    raise AssertionError("nobody was elected")


class TestElection(unittest.TestCase):
    def test_single_member_leads_at_once(self) -> None:
        cluster = Cluster(1)
        cluster.tick(ReplicaId("r0"))
        self.assertTrue(cluster.group(cluster.leader()).lease_valid(cluster.now(cluster.leader())))

    def test_partitioned_follower_neither_raises_its_term_nor_disturbs_later(self) -> None:
        cluster, leader = elected(3)
        follower = others(cluster, leader)[0]
        cluster.isolate(follower)
        cluster.run(10.0)
        cluster.heal()
        cluster.run(5.0)
        self.assertEqual([1] * 3, [cluster.group(name).term for name in cluster.machines])
        self.assertEqual([leader], cluster.leaders())

    def test_idle_group_is_quiet_while_nodes_live_and_challenged_when_long_silent(self) -> None:
        cluster, leader = elected(5)
        before = cluster.group(leader)._roles.leadership._replicator.current_round
        cluster.run(20.0)
        rounds = cluster.group(leader)._roles.leadership._replicator.current_round - before
        self.assertEqual((1, True), (cluster.group(leader).term, rounds <= 4 * 5))
        cluster.machines[leader].paused = True
        follower = others(cluster, leader)[0]
        silent_at = cluster.time
        while cluster.group(follower).leader == leader and cluster.time < silent_at + 60:
            for name in others(cluster, leader):
                cluster.group(name).node_alive(leader, cluster.now(name))
            cluster.run(0.25)
        limit = 3 * cluster.settings.idle_heartbeat_seconds
        self.assertTrue(limit - 6.0 <= cluster.time - silent_at <= limit + 3.0)

    def test_declared_death_of_the_leaders_node_shortens_the_wait(self) -> None:
        cluster, leader = elected(3)
        cluster.run(1.5)
        cluster.crash(leader)
        for replica in cluster.machines:
            cluster.carry_out(
                replica, cluster.group(replica).node_dead(leader, cluster.now(replica))
            )
        cluster.run(0.3)
        self.assertEqual(1, len(cluster.leaders()))

    def test_not_even_a_declared_death_overrides_the_lease(self) -> None:
        cluster, leader = elected(3)
        cluster.propose(leader, b"x")
        cluster.deliver_all()
        for follower in others(cluster, leader):
            group, now = cluster.group(follower), cluster.now(follower)
            group.node_dead(leader, now)
            self.assertGreaterEqual(group.next_deadline(), now + 1.0)

    def test_late_vote_request_of_the_leader_does_not_lift_its_lease(self) -> None:
        cluster, leader = elected(3)
        first, second = others(cluster, leader)
        cluster.propose(leader, b"x")
        cluster.deliver_all()
        cluster.deliver(Packet(leader, first, RequestVote(1, leader, 0, 0, pre_vote=True)))
        rival = RequestVote(2, second, 99, 1)
        cluster.deliver(Packet(second, first, rival))
        self.assertEqual((1, leader), (cluster.group(first).term, cluster.group(first).leader))

    def test_messages_of_strangers_do_not_disturb(self) -> None:
        cluster, leader = elected(3)
        follower = others(cluster, leader)[0]
        for to in (leader, follower):
            cluster.deliver(Packet(STRANGER, to, RequestVote(9, STRANGER, 99, 9)))
            cluster.deliver(Packet(STRANGER, to, AppendReply(9, STRANGER, False, 0, 1)))
        cluster.run(3.0)
        self.assertEqual((1, [leader]), (cluster.group(leader).term, cluster.leaders()))


class TestReplication(unittest.TestCase):
    def test_pipelining_stays_within_append_bytes(self) -> None:
        cluster, leader = elected(3, RaftSettings(append_bytes=1000))
        for _ in range(50):
            cluster.propose(leader, b"x" * 100)
        flying = [
            sum(entry_bytes(entry) for entry in packet.message.entries)
            for packet in sent(cluster, AppendEntries)
        ]
        self.assertGreater(len(flying), 2)
        self.assertLessEqual(sum(flying), 2 * 1000)
        cluster.deliver_all()
        self.assertEqual(cluster.group(leader).last_index, cluster.group(leader).commit_index)

    def test_entry_of_an_earlier_term_is_not_committed_by_counting(self) -> None:
        cluster, leader = elected(3)
        follower, behind = others(cluster, leader)
        cluster.propose(leader, b"earlier term")
        cluster.deliver_all_to(follower)
        cluster.crash(leader)
        index = cluster.group(follower).last_index
        for _ in steps_until_leader(cluster):
            cluster.in_flight = [*sent(cluster, RequestVote), *sent(cluster, VoteReply)]
            cluster.deliver_all_to(behind)
            cluster.deliver_all_to(follower)
        reply = AppendReply(cluster.group(follower).term, behind, True, index, 1)
        cluster.deliver(Packet(behind, follower, reply))
        self.assertLess(cluster.group(follower).commit_index, index)

    def test_snapshot_goes_in_chunks_and_survives_loss(self) -> None:
        cluster, leader = elected(3, RaftSettings(snapshot_chunk_bytes=64, retained_entries=2))
        behind = others(cluster, leader)[0]
        cluster.isolate(behind)
        for number in range(100):
            cluster.propose(leader, b"%04d" % number)
        cluster.run(1.0)
        cluster.compact(leader)
        cluster.heal()
        source = random.Random(1)
        chunks = 0
        for _ in range(200):
            cluster.advance()
            chunks += len(sent(cluster, InstallSnapshot))
            for packet in list(cluster.in_flight):
                cluster.in_flight.remove(packet)
                if source.random() > LOSS:
                    cluster.deliver(packet)
        self.assertGreater(chunks, 500 // 64)
        self.assertEqual(cluster.machines[leader].commands, cluster.machines[behind].commands)

    def test_log_reverts_the_configuration_of_a_truncated_entry(self) -> None:
        one, two = (ReplicaId("a"),), (ReplicaId("a"), ReplicaId("b"))
        change = LogEntry(2, 1, EntryKind.MEMBERSHIP, members=two)
        log = RaftLog(members=one, entries=[LogEntry(1, 1, EntryKind.EMPTY), change])
        self.assertEqual(two, log.configuration.members)
        log.merge((LogEntry(2, 2, EntryKind.EMPTY),))
        self.assertEqual(one, log.configuration.members)

    def test_log_keeps_what_follows_a_snapshot_only_if_it_follows_from_it(self) -> None:
        for snapshot_term, last_index in ((1, 3), (2, 2)):
            log = RaftLog(entries=[LogEntry(index, 1, EntryKind.EMPTY) for index in (1, 2, 3)])
            log.reset(2, snapshot_term, (STRANGER,))
            self.assertEqual((2, last_index), (log.base_index, log.last_index))


class TestMembership(unittest.TestCase):
    def test_lost_replica_is_replaced_and_the_newcomer_stays_quiet_until_added(self) -> None:
        cluster, leader = elected(3)
        newcomer = cluster.start()
        cluster.crash(others(cluster, leader, newcomer)[0])
        cluster.run(10.0)
        self.assertEqual((), cluster.group(newcomer).members)
        dead = next(name for name in cluster.group(leader).members if name not in cluster.machines)
        self.assertTrue(cluster.remove(leader, dead).accepted)
        self.assertFalse(cluster.add(leader, newcomer).accepted)
        cluster.deliver_all()
        self.assertTrue(cluster.add(leader, newcomer).accepted)
        cluster.run(1.0)
        self.assertEqual(set(cluster.machines), set(cluster.group(newcomer).members))
        self.assertEqual(cluster.group(leader).commit_index, cluster.group(newcomer).commit_index)

    def test_no_change_before_an_entry_of_the_own_term_is_committed(self) -> None:
        cluster = Cluster(3)
        for _ in steps_until_leader(cluster):
            for packet in list(cluster.in_flight):
                cluster.in_flight.remove(packet)
                cluster.deliver(packet)
        self.assertFalse(cluster.add(cluster.leader(), STRANGER).accepted)

    def test_removal_that_would_leave_no_live_majority_is_refused(self) -> None:
        cluster, leader = elected(3)
        dead, alive = others(cluster, leader)
        cluster.crash(dead)
        cluster.propose(leader, b"x")
        cluster.run(1.5)
        self.assertFalse(cluster.remove(leader, alive).accepted)
        self.assertTrue(cluster.remove(leader, dead).accepted)

    def test_removed_leader_leads_until_the_commit_without_counting_itself(self) -> None:
        cluster, leader = elected(3)
        first, second = others(cluster, leader)
        index = cluster.remove(leader, leader).index
        cluster.deliver_all_to(first)
        cluster.deliver_all_to(leader)
        self.assertLess(cluster.group(leader).commit_index, index)
        self.assertEqual([leader], cluster.leaders())
        cluster.run(1.0)
        self.assertIs(RaftRole.FOLLOWER, cluster.group(leader).role)
        self.assertIn(cluster.leader(), (first, second))
        cluster.run(10.0)
        self.assertEqual(2, cluster.group(cluster.leader()).term)

    def test_replica_that_is_added_again_without_its_log_counts_for_nothing_old(self) -> None:
        cluster, leader = elected(2)
        follower = others(cluster, leader)[0]
        cluster.remove(leader, follower)
        cluster.run(0.2)
        self.assertTrue(cluster.add(leader, follower).accepted)
        group = cluster.group(leader)
        late = AppendReply(group.term, follower, True, group.last_index, round=1)
        cluster.deliver(Packet(follower, leader, late))
        self.assertLess(group.commit_index, group.last_index)

    def test_removed_follower_learns_it(self) -> None:
        cluster, leader = elected(4)
        removed = others(cluster, leader)[0]
        cluster.isolate(removed)
        cluster.remove(leader, removed)
        cluster.run(10.0)
        cluster.heal()
        cluster.run(5.0)
        self.assertNotIn(removed, cluster.group(removed).members)
        self.assertEqual(1, cluster.group(removed).term)


class TestLeaseAndReads(unittest.TestCase):
    def test_lease_runs_from_the_send_time(self) -> None:
        cluster, leader = elected(3)
        cluster.run(3.0)
        cluster.propose(leader, b"x")
        early = list(cluster.in_flight)
        for _ in range(10):
            cluster.advance()
        cluster.in_flight = early
        cluster.deliver_all()
        valid = []
        for _ in range(16):
            # Half a step before the sample times: none falls on the very end of the lease.
            asked_at = cluster.now(leader) - STEP_SECONDS / 2
            valid.append(cluster.group(leader).lease_valid(asked_at))
            cluster.advance()
        self.assertEqual([True] * 9 + [False] * 7, valid)

    def test_handed_over_leader_has_no_lease_any_more(self) -> None:
        cluster, leader = elected(3)
        target = others(cluster, leader)[0]
        cluster.propose(leader, b"x")
        cluster.deliver_all()
        self.assertTrue(cluster.group(leader).lease_valid(cluster.now(leader)))
        cluster.transfer(leader, target)
        self.assertFalse(cluster.group(leader).lease_valid(cluster.now(leader)))
        self.assertFalse(cluster.propose(leader, b"y").accepted)
        cluster.deliver_all()
        self.assertEqual([target], cluster.leaders())

    def test_leader_whose_hand_over_goes_unanswered_has_no_lease_again_in_its_term(self) -> None:
        cluster, leader = elected(3)
        cluster.propose(leader, b"x")
        cluster.deliver_all()
        self.assertTrue(cluster.group(leader).lease_valid(cluster.now(leader)))
        cluster.transfer(leader, others(cluster, leader)[0])
        self.assertFalse(cluster.group(leader).lease_valid(cluster.now(leader)))
        cluster.in_flight.clear()
        cluster.run(1.1)
        self.assertIsNot(RaftRole.LEADER, cluster.group(leader).role)

    def test_read_waits_for_answers_to_messages_sent_after_it(self) -> None:
        cluster, leader = elected(3)
        cluster.propose(leader, b"x")
        for follower in others(cluster, leader):
            cluster.deliver_all_to(follower)
        early = cluster.in_flight
        cluster.in_flight = []
        token = cluster.read(leader)
        for packet in early:
            cluster.deliver(packet)
        self.assertIsNone(cluster.reads[token])
        cluster.deliver_all()
        self.assertEqual(cluster.group(leader).commit_index, cluster.reads[token])

    def test_read_fails_when_leadership_is_lost(self) -> None:
        cluster, leader = elected(3)
        cluster.isolate(leader)
        token = cluster.read(leader)
        cluster.run(3.0)
        self.assertEqual(-1, cluster.reads[token])


if __name__ == "__main__":
    unittest.main()
