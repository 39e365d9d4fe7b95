"""Texts sent to followers by nodes; the replicated log does not depend on them."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from tests.unit.ledger.cluster import Cluster, Machine
from tests.unit.ledger.test_overload import LINK_BYTES_PER_SECOND, PROGRAMS_PER_SECOND, Load
from tests.unit.ledger.test_storage_nodes import StorageCase, turn
from yokeline.consensus.messages import AppendEntries, EntryKind, LogEntry
from yokeline.effects import Address
from yokeline.identifiers import ReplicaId
from yokeline.ledger.codec import LedgerCodec, encode_command
from yokeline.ledger.link_utilization import LinkUtilization
from yokeline.ledger.messages import ReplicaMessage
from yokeline.ledger.operations import KeptTurn, Operation, Settle, Settled
from yokeline.ledger.state import LedgerCommand
from yokeline.ledger.text_copies import (
    FULL_ENTRIES_SECONDS,
    MISSING_TEXT_WAIT_SECONDS,
    TextRestorer,
    TextStripper,
)

FOLLOWER = ReplicaId("b~1")
LEADER = ReplicaId("a~1")
LINK_MBPS = LINK_BYTES_PER_SECOND * 8 / 1e6


def message(entries: tuple[LogEntry, ...]) -> ReplicaMessage:
    append = AppendEntries(1, LEADER, 0, 0, 0, 1, entries)
    return ReplicaMessage(sender_address=Address("10.0.0.1", 1), message=append)


def over_the_wire(envelope: ReplicaMessage) -> ReplicaMessage:
    codec = LedgerCodec()
    frame = codec.decode_peer(codec.encode_peer(LEADER, FOLLOWER, envelope)).unwrap()
    assert isinstance(frame.message, ReplicaMessage)
    return frame.message


class StrippedAndRestored(unittest.TestCase):
    def entry(self, *operations: Operation) -> LogEntry:
        command = encode_command(LedgerCommand(time=1.0, operations=operations))
        return LogEntry(1, 1, EntryKind.COMMAND, command)

    @given(st.lists(st.tuples(st.binary(max_size=40), st.booleans()), min_size=1, max_size=6))
    def test_a_restored_message_equals_the_original(self, texts: list[tuple[bytes, bool]]) -> None:
        """Also with texts that are empty, equal, or contained in each other."""
        settlements = [turn(f"t{n}", text=text) for n, (text, _) in enumerate(texts)]
        entry = self.entry(*settlements)
        copied = [
            item.turn for item, (_, is_copied) in zip(settlements, texts, strict=True) if is_copied
        ]
        stripper = TextStripper()
        stripper.note(1, 1, entry.command, [item for item in copied if item is not None])
        follower = TextRestorer()
        for item in copied:
            assert item is not None
            follower.texts.put(item.turn_id, item.text)
        follower.take(LEADER, over_the_wire(stripper.strip(FOLLOWER, message((entry,)), 0.0)), 0.0)
        complete, dropped_senders = follower.ready(0.0)
        self.assertEqual(dropped_senders, [])
        self.assertEqual(complete, [(LEADER, message((entry,)))])

    def stripped_message(self, stripper: TextStripper, text: bytes = b"x" * 1000) -> ReplicaMessage:
        settlement = turn("t1", text=text)
        assert settlement.turn is not None
        entry = self.entry(settlement)
        stripper.note(1, 1, entry.command, [settlement.turn])
        return stripper.strip(FOLLOWER, message((entry,)), 0.0)

    def test_a_stripped_message_does_not_contain_the_text(self) -> None:
        sent = LedgerCodec().encode_peer(LEADER, FOLLOWER, self.stripped_message(TextStripper()))
        self.assertNotIn(b"x" * 20, sent)

    def test_a_late_text_is_awaited_and_the_order_is_kept(self) -> None:
        follower = TextRestorer()
        follower.take(LEADER, self.stripped_message(TextStripper()), 0.0)
        follower.take(LEADER, message(()), 0.0)
        self.assertEqual(follower.ready(MISSING_TEXT_WAIT_SECONDS / 2), ([], []))
        follower.texts.put("t1", b"x" * 1000)
        complete, _ = follower.ready(MISSING_TEXT_WAIT_SECONDS / 2)
        self.assertEqual(len(complete), 2)
        self.assertEqual(complete[1], (LEADER, message(())))

    def test_a_missing_or_different_text_is_reported(self) -> None:
        for text in (b"", b"y" * 1000, b"x" * 999):
            follower = TextRestorer()
            follower.texts.put("t1", text)
            follower.take(LEADER, self.stripped_message(TextStripper()), 0.0)
            self.assertEqual(follower.ready(MISSING_TEXT_WAIT_SECONDS), ([], [LEADER]))

    def test_a_follower_that_lacked_a_text_gets_complete_entries_for_a_while(self) -> None:
        stripper = TextStripper()
        self.stripped_message(stripper)
        entry = self.entry(turn("t1", text=b"x" * 1000))
        stripper.note_missing(FOLLOWER, 0.0)
        self.assertEqual(stripper.strip(FOLLOWER, message((entry,)), 0.1).cuts, ())
        self.assertNotEqual(stripper.strip(ReplicaId("c~1"), message((entry,)), 0.1).cuts, ())
        self.assertNotEqual(
            stripper.strip(FOLLOWER, message((entry,)), FULL_ENTRIES_SECONDS).cuts, ()
        )

    def test_an_entry_of_another_term_at_the_same_index_is_sent_complete(self) -> None:
        stripper = TextStripper()
        self.stripped_message(stripper)
        other = LogEntry(1, 2, EntryKind.COMMAND, b"other")
        self.assertEqual(stripper.strip(FOLLOWER, message((other,)), 0.0).cuts, ())


class Utilization(unittest.TestCase):
    def test_utilization_follows_the_bytes_with_hysteresis(self) -> None:
        link = LinkUtilization(8.0)  # one million bytes per second
        now = 0.0
        states = []
        for per_second in (100_000, 400_000, 180_000, 60_000):
            for _ in range(50):
                now += 0.1
                link.note(per_second // 10, now)
            states.append(link.is_high(now))
        self.assertEqual(states, [False, True, True, False])

    def test_the_utilization_of_a_link_of_unknown_rate_is_never_high(self) -> None:
        link = LinkUtilization(0.0)
        link.note(10**9, 1.0)
        self.assertFalse(link.is_high(1.0))


class Replicated(StorageCase):
    def with_high_utilization(self, seed: int) -> tuple[Cluster, Load]:
        """Return a cluster under load whose leader requests text copies."""
        cluster = Cluster(3, seed, link_mbps=LINK_MBPS)
        self.assertTrue(cluster.run_until(cluster.all_members, 10.0))
        cluster.run(0.5)
        load = Load(cluster, [cluster.add_edge(f"edge-{number}~1") for number in range(4)])
        load.arrive(cluster.now, cluster.now + 8.0, PROGRAMS_PER_SECOND)
        cluster.run(4.0)
        leader = self.leader(cluster)
        assert leader.node is not None
        self.assertEqual(len(leader.node.replica.copies_to(cluster.now)), 2)
        return cluster, load

    def assert_same_everywhere(self, cluster: Cluster) -> None:
        states = [item.node.replica.state() for item in cluster.machines if item.node is not None]
        turns = [{name: item.turn for name, item in state.turns.items()} for state in states]
        self.assertGreater(len(turns[0]), 50)
        for other in turns[1:]:
            self.assertEqual(other, turns[0])

    def followers(self, cluster: Cluster) -> list[Machine]:
        leader = self.leader(cluster)
        return [item for item in cluster.machines if item is not leader]

    def test_the_leader_sends_few_bytes_and_all_replicas_hold_all_turns(self) -> None:
        cluster, load = self.with_high_utilization(1)
        leader = self.leader(cluster)
        for machine in cluster.machines:
            machine.link_bytes_per_second = LINK_BYTES_PER_SECOND
        before = leader.sent_bytes
        cluster.run(3.0)
        self.assertLess((leader.sent_bytes - before) / 3.0, 0.35 * 2 * 25 * 5_000)
        cluster.run(3.0)
        self.assertTrue(all(is_answered for _, _, is_answered in load.answers))
        self.assert_same_everywhere(cluster)

    def test_a_follower_without_copies_holds_all_turns(self) -> None:
        cluster, _ = self.with_high_utilization(2)
        self.followers(cluster)[0].receives_copies = False
        cluster.run(7.0)
        self.assert_same_everywhere(cluster)

    def test_acknowledged_turns_survive_the_failure_of_the_leader(self) -> None:
        for seed in range(4):
            cluster, load = self.with_high_utilization(seed)
            cluster.kill(self.leader(cluster))
            cluster.run(8.0)
            for name in load.retained:
                self.assert_kept(cluster, name)

    def test_acknowledged_turns_survive_a_power_loss(self) -> None:
        for seed in range(4):
            cluster, load = self.with_high_utilization(seed)
            for machine in cluster.machines:
                cluster.power_off(machine)
            cluster.run(0.5)
            for machine in cluster.machines:
                cluster.start(machine)
            self.assertTrue(cluster.run_until(lambda c=cluster: c.leader() is not None, 3.0))
            cluster.run(1.0)
            leader = self.leader(cluster)
            assert leader.node is not None
            missing = set(load.retained) - set(leader.node.replica.state().turns)
            self.assertEqual(missing, set())

    def test_a_short_text_is_sent_with_its_entry(self) -> None:
        cluster, _ = self.with_high_utilization(3)
        self.assertGreater(len(cluster.text_copies_sent), 0)
        retained = KeptTurn(turn_id="short", previous="", text=b"short", retention=60.0)
        self.assertEqual(cluster.ask(Settle(request_id="short", turn=retained)), Settled())
        self.assertNotIn("short", cluster.text_copies_sent)
