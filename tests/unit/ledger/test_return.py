"""The ledger after all machines have lost power, also over three regions."""

from __future__ import annotations

import itertools
import random
import unittest

from tests.unit.ledger.cluster import Cluster, EdgeClient, Machine
from tests.unit.ledger.test_storage_nodes import StorageCase, lookup, turn
from yokeline.consensus.types import HardState
from yokeline.effects import Address, SendPeer
from yokeline.identifiers import ReplicaId
from yokeline.ledger.client import START_QUERY_SECONDS, START_SEARCH_SECONDS, LedgerClient
from yokeline.ledger.disk_records import (
    HardStateRecord,
    IdentityRecord,
    encode_record,
    recover,
)
from yokeline.ledger.messages import LeaderAnswer, LeaderHint, LeaderQuery, LedgerRequest
from yokeline.ledger.replica import COMMIT_SAVE_ENTRIES, LedgerReplica

REGIONS = "AABBCCAABC"
BETWEEN_REGIONS_SECONDS = 0.012
SYNC_SECONDS = 0.005


def three_regions(seed: int) -> Cluster:
    """Return a cluster of ten storage nodes over three regions, with slow disks."""
    cluster = Cluster(0, seed)
    cluster.between_regions_seconds = BETWEEN_REGIONS_SECONDS
    for number, region in enumerate(REGIONS):
        machine = cluster.prepare_machine(number)
        machine.region = region
        machine.sync_seconds = SYNC_SECONDS
        cluster.start(machine)
    cluster.run_until(lambda: len(cluster.members()) >= 5, 15.0)
    cluster.run(2.0)
    return cluster


class SavedCommitIndex(StorageCase):
    """All replicas restarted with nothing applied until a leader had committed an entry."""

    def turns(self, cluster: Cluster, count: int) -> list[str]:
        names = [f"t{number}" for number in range(count)]
        for name in names:
            cluster.ask(turn(name))
        return names

    def test_a_replica_that_restarts_alone_holds_most_turns(self) -> None:
        cluster = self.cluster()
        names = self.turns(cluster, 2 * COMMIT_SAVE_ENTRIES)
        for machine in cluster.machines:
            cluster.power_off(machine)
        alone = cluster.machines[0]
        cluster.start(alone)
        cluster.run(0.1)
        assert alone.node is not None
        held = [name for name in names if name in alone.node.replica.state().turns]
        self.assertGreaterEqual(len(held), len(names) - COMMIT_SAVE_ENTRIES - 2)

    def test_turns_are_applied_once(self) -> None:
        cluster = self.cluster()
        names = self.turns(cluster, 2 * COMMIT_SAVE_ENTRIES)
        for machine in cluster.machines:
            cluster.power_off(machine)
        for machine in cluster.machines:
            cluster.start(machine)
        self.assert_kept(cluster, *names)
        states = [item.node.replica.state() for item in cluster.machines if item.node is not None]
        cluster.run(1.0)
        self.assertEqual([len(state.turns) for state in states], [len(names)] * 3)

    def test_a_commit_index_past_the_log_is_not_believed(self) -> None:
        """A record of commitment without its entries must not make others appear committed."""
        records = (IdentityRecord(ReplicaId("a~1")), HardStateRecord(HardState(1), 900))
        data = b"".join(encode_record(record) for record in records)
        replica = LedgerReplica(
            replica=ReplicaId("a~1"),
            address=Address("10.0.0.1", 1),
            recovered=recover(data).unwrap(),
            source=random.Random(1),
            now=0.0,
        )
        self.assertEqual(replica.group.commit_index, 0)

    def test_a_log_without_a_commit_index_is_read(self) -> None:
        """Earlier releases write none."""
        data = encode_record(IdentityRecord(ReplicaId("a~1")))
        data += encode_record(HardStateRecord(HardState(1)))
        self.assertNotIn(b"commit_index", data)
        self.assertEqual(recover(data).unwrap().commit_index, 0)


class ThreeRegions(StorageCase):
    """A round trip of 24 ms between regions and 5 ms a sync."""

    def elections(self, cluster: Cluster) -> int:
        lines = [item for item in cluster.log if item.event == "ledger_role_changed"]
        return sum(line.fields["role"] == "candidate" for line in lines)

    def test_a_healthy_group_holds_no_election(self) -> None:
        for seed in range(4):
            cluster = three_regions(seed)
            cluster.log.clear()
            for number in range(150):
                cluster.ask(turn(f"t{number}", text=b"x" * 3000))
                cluster.run(0.02)
            cluster.run(5.0)
            self.assertEqual(self.elections(cluster), 0, f"seed {seed}")

    def test_a_healthy_group_under_load_on_its_links_holds_no_election(self) -> None:
        """Heartbeats queue behind up to 128 KB of entries on a link of 32 Mbit/s."""
        for seed in range(2):
            cluster = three_regions(seed)
            for machine in cluster.machines:
                machine.link_bytes_per_second = 4_000_000.0
            for region in "ABC":
                edge = cluster.add_edge(f"edge-{region}~1")
                edge.region = region
                self.keep_turns(cluster, edge, every=0.05, size=12_000)
            cluster.log.clear()
            cluster.run(12.0)
            leader = self.leader(cluster)
            assert leader.node is not None
            self.assertGreater(len(leader.node.replica.state().turns), 400)
            self.assertEqual(self.elections(cluster), 0, f"seed {seed}")

    def keep_turns(self, cluster: Cluster, edge: EdgeClient, *, every: float, size: int) -> None:
        """Have a forwarding node keep a turn again and again."""
        number = itertools.count()

        def keep() -> None:
            operation = turn(f"{edge.process}-{next(number)}", text=b"x" * size)
            until = cluster.now + 5.0
            effects = edge.client.ask(operation, lambda result, now: [], cluster.now, until)
            cluster.carry_out_edge(edge.process, effects)
            cluster.at(cluster.now + every, keep)

        keep()

    def test_turns_are_granted_soon_after_all_machines_return(self) -> None:
        """From the return of the processes to the first grant of a node in each region."""
        for seed in range(20):
            cluster = three_regions(seed)
            cluster.ask(turn("t1"))
            for machine in cluster.machines:
                cluster.power_off(machine)
            cluster.run(1.1)
            self.restart_within(cluster, cluster.machines, 0.05)
            led = cluster.run_until(lambda c=cluster: c.leader() is not None, 0.25)
            self.assertTrue(led, f"seed {seed}")
            before = cluster.now
            self.assertIsNotNone(cluster.ask(lookup("t1"), 2.0))
            self.assertLess(cluster.now - before, 0.2, f"seed {seed}")

    def test_a_node_that_restarts_knows_the_leader_before_its_first_turn(self) -> None:
        """The first turn waited for the round trips of the search, and for new connections."""
        for seed in range(4):
            cluster = three_regions(seed)
            edge = cluster.add_edge("edge-b~2", searches_at_start=True)
            edge.region = "B"
            frames = cluster.frames
            cluster.run(0.15)
            self.assertIsNotNone(edge.client.leader, f"seed {seed}")
            cluster.run(1.0)
            self.assertGreater(edge.client._search.heard_at, 0.0)
            self.assertIsNone(edge.client.next_deadline(), "the search goes on")
            self.assertGreater(cluster.frames, frames)

    def test_a_node_that_restarts_asks_the_replicas_of_its_region_in_the_first_round(self) -> None:
        """All nodes asked the first three replicas by name, which may all be in another region."""
        cluster = three_regions(1)
        for region in "ABC":
            edge = cluster.add_edge(f"edge-{region}~2", searches_at_start=True)
            edge.region = region
        cluster.run(0.01 + 0.01)
        for region in "ABC":
            client = cluster.edges[ReplicaId(f"edge-{region}~2")].client
            self.assertIsNotNone(client.leader, region)

    def test_a_leader_that_was_just_found_is_sent_a_query_before_operations(self) -> None:
        """It connected to the node with its first result only, one round trip after the commit."""
        for restarts in (True, False):
            client = LedgerClient(Address("10.0.9.1", 1), searches_at_start=restarts)
            replicas = {ReplicaId(f"s{n}~1"): Address(f"10.0.0.{n}", 1) for n in range(3)}
            client.set_storage(replicas)
            client.ask(lookup("t1"), lambda result, now: [], 0.0, 5.0)
            client.tick(0.0)
            leader = LeaderHint(ReplicaId("s1~1"), replicas[ReplicaId("s1~1")])
            answer = LeaderAnswer(term=3, leader=leader)
            effects = client.take_leader(ReplicaId("s0~1"), answer, 0.02)
            sent = [type(item.message) for item in effects if isinstance(item, SendPeer)]
            self.assertEqual(sent, [LeaderQuery] * restarts + [LedgerRequest])

    def test_the_search_at_the_start_ends_without_a_leader(self) -> None:
        """Each query wakes a storage node, and all nodes may restart together."""
        cluster = three_regions(1)
        client = LedgerClient(Address("10.0.9.1", 1), searches_at_start=True)
        client.set_storage({item.replica: item.address for item in cluster.machines})
        rounds = 0
        for step in range(1000):
            rounds += bool(client.tick(step * 0.01))
        self.assertLessEqual(rounds, START_SEARCH_SECONDS / START_QUERY_SECONDS + 1)
        self.assertIsNone(client.next_deadline())

    def test_an_election_without_a_winner_is_repeated_soon(self) -> None:
        """Three members that start together may split their votes, before the others are up.

        All then waited for a silence of 0.3 to 0.6 s, though no leader had been heard.
        """
        for between_regions_seconds in (0.0, BETWEEN_REGIONS_SECONDS):
            for seed in range(40):
                cluster = Cluster(5, seed)
                cluster.run_until(cluster.all_members, 10.0)
                cluster.between_regions_seconds = between_regions_seconds
                for machine, region in zip(cluster.machines, "ABCAB", strict=True):
                    machine.region = region
                    cluster.power_off(machine)
                cluster.run(1.1)
                self.restart_within(cluster, cluster.machines[:3], 0.03)
                cluster.at(cluster.now + 0.03, lambda c=cluster: c.start(c.machines[3]))
                cluster.at(cluster.now + 0.05, lambda c=cluster: c.start(c.machines[4]))
                led = cluster.run_until(lambda c=cluster: c.leader() is not None, 0.25)
                self.assertTrue(led, f"seed {seed}, {between_regions_seconds} s")

    def test_a_restarted_follower_waits_as_long_as_others_once_it_has_heard_a_leader(self) -> None:
        """The short timeout after a restart would be below the jitter of heartbeats."""
        for seed in range(5):
            cluster = self.cluster(3, seed)
            leader = self.leader(cluster)
            follower = next(item for item in cluster.machines if item is not leader)
            cluster.kill(follower)
            cluster.run(0.2)
            cluster.start(follower)
            cluster.run(0.2)
            assert follower.node is not None
            silent_since = cluster.now
            leader.frozen = True
            group = follower.node.replica.group
            cluster.run_until(lambda g=group: g.leader is None, 2.0)
            # The last heartbeat came up to 0.1 s before.
            self.assertGreaterEqual(cluster.now - silent_since, 0.3 - 0.11, f"seed {seed}")

    def restart_within(self, cluster: Cluster, machines: list[Machine], seconds: float) -> None:
        for machine in machines:
            delay = seconds * cluster.random.random()
            cluster.at(cluster.now + delay, lambda item=machine: cluster.start(item))
        cluster.run(seconds)


if __name__ == "__main__":
    unittest.main()
