"""Log lines of a ledger under load: retries by cause, and the leader's counters."""

from __future__ import annotations

import unittest

from tests.unit.ledger.test_storage_nodes import StorageCase, turn
from yokeline.effects import Address, Effect, LogRecord, PeerMessage
from yokeline.identifiers import ReplicaId
from yokeline.ledger.client import LedgerClient
from yokeline.ledger.messages import LeaderAnswer, LeaderHint, LedgerRequest

EDGE = ReplicaId("edge~1")
EDGE_ADDRESS = Address("10.0.9.9", 1)


def lines(effects: list[Effect], event: str) -> list[LogRecord]:
    return [item for item in effects if isinstance(item, LogRecord) and item.event == event]


class ClientLines(unittest.TestCase):
    def test_retries_are_logged_by_cause(self) -> None:
        client = LedgerClient(EDGE_ADDRESS)
        client.set_storage({ReplicaId("a~1"): Address("10.0.0.1", 1)})
        client.tick(0.0)
        client.ask(turn("t"), lambda result, now: [], 0.0, 5.0)
        leader = LeaderHint(ReplicaId("a~1"), Address("10.0.0.1", 1))
        client.take_leader(ReplicaId("b~1"), LeaderAnswer(term=1, leader=leader), 0.0)
        found: list[LogRecord] = []
        for step in range(1, 12):
            found.extend(lines(client.tick(step * 0.1), "ledger_repetitions"))
        self.assertEqual(len(found), 1)
        self.assertGreaterEqual(found[0].fields["silence"] or 0, 2)
        self.assertEqual(found[0].fields["under_way"], 1)
        self.assertGreater(found[0].fields["oldest_seconds"] or 0, 0.9)

    def test_nothing_is_logged_without_retries(self) -> None:
        client = LedgerClient(EDGE_ADDRESS)
        found = [line for step in range(40) for line in client.tick(step * 0.1)]
        self.assertEqual(found, [])


class LeaderLines(StorageCase):
    def test_the_leader_logs_operations_duplicates_and_entries(self) -> None:
        cluster = self.cluster()
        leader = self.leader(cluster)
        operation = turn("t1", text=b"x" * 1000)
        request = LedgerRequest(number=1, asker=EDGE_ADDRESS, operations=(operation,))
        cluster.run(1.1)
        cluster.log.clear()
        for _ in range(2):
            cluster.deliver_event(leader, PeerMessage(sender=EDGE, message=request))
        cluster.run(1.1)
        found = [line.fields for line in cluster.log if line.event == "ledger_load"]
        self.assertEqual(len(found), 1)
        self.assertEqual(found[0]["settlements"], 2)
        self.assertEqual(found[0]["turns_to_keep"], 2)
        self.assertEqual(found[0]["repeated_proposed"], 1)
        self.assertGreater(found[0]["longest_entry_seconds"] or 0, 0)
